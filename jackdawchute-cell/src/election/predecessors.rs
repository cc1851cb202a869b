//! Tells the leaders before a claim of their successor, until each is known to have stopped.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use jackdawchute_types::{CallError, Epoch, WorkerId};
use spdlog::info;
use tokio::sync::watch;

use super::ElectionTask;
use crate::{
    authority::PROMISED_MAX,
    claim::LeaderRow,
    leader::Ports,
    messages::{CellAnswer, CellCall, SLICE},
    rows::EarlierLeader,
    settings::{HEARTBEAT_TIMEOUT, NOTIFY_PAUSE},
};

/// The leaders before a claim that are known to have stopped, and what the replaced one has told.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoppedLeaders {
    /// When each of them is known to have stopped.
    pub(crate) at: BTreeMap<Epoch, Instant>,
    /// The workers to which an order of the replaced leader that extends the lease got no answer;
    /// `None` if it has not told.
    pub(crate) unanswered_extensions: Option<Vec<WorkerId>>,
}

impl StoppedLeaders {
    /// Records that a leader has stopped by now; `unanswered_extensions` is what the replaced one
    /// tells.
    fn record(&mut self, epoch: Epoch, unanswered_extensions: Option<Vec<WorkerId>>) {
        self.at.insert(epoch, Instant::now());
        if unanswered_extensions.is_some() {
            self.unanswered_extensions = unanswered_extensions;
        }
    }
}

impl ElectionTask {
    /// Sends the new leader row to the leader that it replaces and to those before it that may have
    /// authority, which may be cut off from the store, until each answers.
    ///
    /// An answer shows that the leader has stopped: it does so before it answers, and a later
    /// incarnation at its address answers only once it has ended.
    pub(super) fn notify_predecessors(
        &self,
        replaced_row: Option<LeaderRow>,
        row: &LeaderRow,
    ) -> watch::Receiver<StoppedLeaders> {
        let (stopped, receiver) = watch::channel(StoppedLeaders::default());
        let Some(replaced) = replaced_row.map(|row| row.record.as_earlier()) else {
            return receiver;
        };
        let stopped = Arc::new(stopped);
        let named = row.record.earlier.clone();
        for leader in named.unwrap_or_else(|| vec![replaced]) {
            let tells = leader.epoch == replaced.epoch;
            if leader.address == self.parts.settings.peer_address {
                let unanswered = tells.then(|| self.left_by(leader.epoch)).flatten();
                stopped.send_modify(|stopped| stopped.record(leader.epoch, unanswered));
                continue;
            }
            let call = CellCall::Superseded {
                row: row.clone(),
                asks: true,
            };
            tokio::spawn(notify(
                self.parts.ports.clone(),
                leader,
                tells,
                call,
                stopped.clone(),
            ));
        }
        receiver
    }

    /// Returns the workers that the local leader task of an epoch has named as it stopped; `None` if
    /// there was none, or if it has named none yet.
    pub(super) fn left_by(&self, epoch: Epoch) -> Option<Vec<WorkerId>> {
        let stopped = self.stopped.as_ref().filter(|it| it.epoch == epoch)?;
        stopped.unanswered_extensions.clone()
    }
}

/// Sends a call to an earlier leader until it answers that it has stopped; `tells` says whether its
/// answer names workers for the caller.
async fn notify(
    ports: Ports,
    leader: EarlierLeader,
    tells: bool,
    call: CellCall,
    stopped: Arc<watch::Sender<StoppedLeaders>>,
) {
    let give_up_at = Instant::now() + PROMISED_MAX;
    while Instant::now() < give_up_at && !stopped.is_closed() {
        let answer: std::result::Result<CellAnswer, CallError> = ports
            .peers
            .call(leader.address, SLICE, &call, HEARTBEAT_TIMEOUT)
            .await;
        let told = match answer {
            Ok(CellAnswer::Stopped {
                unanswered_extensions,
            }) => Some(unanswered_extensions),
            // An instance of an earlier version tells no more.
            Ok(CellAnswer::Acknowledged) => Some(None),
            _ => None,
        };
        if let Some(unanswered_extensions) = told {
            let unanswered = unanswered_extensions.filter(|_| tells);
            info!("predecessor has stopped", kv: {
                epoch = leader.epoch, predecessor: = leader.address,
                unanswered_extensions:? = unanswered.as_ref().map(Vec::len)
            });
            stopped.send_modify(|stopped| stopped.record(leader.epoch, unanswered));
            return;
        }
        tokio::time::sleep(NOTIFY_PAUSE).await;
    }
    info!("predecessor was not told of its successor", kv: {
        epoch = leader.epoch, predecessor: = leader.address
    });
}
