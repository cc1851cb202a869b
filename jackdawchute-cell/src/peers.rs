//! Handles the calls of other instances of the cell.

use std::time::Duration;

use async_trait::async_trait;
use jackdawchute_peer::PeerService;
use jackdawchute_scheduler::AdviceRequest;
use jackdawchute_timer::boot_time;
use jackdawchute_types::{whole_ms, IncarnationId};
use serde_json::Value;
use spdlog::warn;
use tokio::sync::{oneshot, watch};
use xtra::prelude::*;

use crate::{
    advisor::{self, AdviceOutcome, AdvisorTask},
    configuration::ConfirmedConfiguration,
    election::{ElectionTask, LeaderView, PromiseRequested, Superseded, TakeOver},
    leader::{Cancel, LeaderTask, PeerHeartbeat, PeerState, QueryPending, QueryStatus, Submit},
    messages::{CellAnswer, CellCall},
    settings::LEADER_PRIORITY,
    Routes,
};

/// Answers the [`CellCall`]s of peers.
pub(crate) struct CellService {
    pub(crate) view: watch::Receiver<LeaderView>,
    pub(crate) election: Address<ElectionTask>,
    pub(crate) advisor: Address<AdvisorTask>,
    pub(crate) incarnation: IncarnationId,
    pub(crate) routes: watch::Receiver<Routes>,
    pub(crate) confirmed: ConfirmedConfiguration,
}

#[async_trait]
impl PeerService for CellService {
    async fn serve(&self, call: Value) -> Option<Value> {
        let call = match serde_json::from_value(call) {
            Ok(call) => call,
            Err(cause) => {
                // The text of the cause may quote a key.
                warn!("invalid call from a peer", kv: { cause:? = cause.classify() });
                return None;
            }
        };
        let answer = self.answer(call).await;
        serde_json::to_value(answer).ok()
    }
}

impl CellService {
    async fn answer(&self, call: CellCall) -> CellAnswer {
        match call {
            CellCall::Advise { request } => self.advise(request).await,
            CellCall::TakeOver {
                epoch,
                lag_takeovers,
            } => {
                let offer = TakeOver {
                    epoch,
                    lag_takeovers,
                };
                match self.election.send(offer).await {
                    Ok(()) => CellAnswer::Acknowledged,
                    Err(_) => CellAnswer::NotLeader,
                }
            }
            CellCall::Configuration => CellAnswer::Configuration {
                routes: self.routes.borrow().clone(),
                confirmed_ms_ago: Some(whole_ms(self.confirmed.age(boot_time()))),
            },
            CellCall::Promise { epoch } => {
                match self.election.send(PromiseRequested(epoch)).await {
                    Ok(answer) => answer,
                    Err(_) => CellAnswer::NotLeader,
                }
            }
            CellCall::Superseded { row, asks } => match self.election.send(Superseded(row)).await {
                Ok(CellAnswer::Stopped { .. }) if !asks => CellAnswer::Acknowledged,
                Ok(answer) => answer,
                Err(_) => CellAnswer::NotLeader,
            },
            call => {
                let (local, epoch) = {
                    let view = self.view.borrow();
                    let epoch = view.row.as_ref().map(|row| row.record.epoch);
                    (view.local.clone(), epoch)
                };
                if matches!(&call, CellCall::Heartbeat { epoch: known, .. } if Some(*known) < epoch)
                {
                    return self.redirect();
                }
                match local {
                    Some(leader) => call_local_leader(&leader, call).await,
                    None => self.redirect(),
                }
            }
        }
    }

    /// Returns the answer that names the leader, if this instance knows one.
    fn redirect(&self) -> CellAnswer {
        let row = self.view.borrow().row.clone();
        let incarnation = self.incarnation.clone();
        row.map_or(CellAnswer::NotLeader, |row| CellAnswer::Redirect {
            row,
            incarnation,
        })
    }

    async fn advise(&self, request: AdviceRequest) -> CellAnswer {
        match advisor::request_advice(&self.advisor, request).await {
            AdviceOutcome::Answered(answer) => CellAnswer::Advice { answer },
            AdviceOutcome::Busy(busy) => CellAnswer::AdvisorBusy {
                free_in_ms: whole_ms(busy.free_in),
            },
            AdviceOutcome::Unanswered => CellAnswer::Unknown,
        }
    }
}

/// Sends a call to the local leader task and returns its answer.
pub(crate) async fn call_local_leader(leader: &Address<LeaderTask>, call: CellCall) -> CellAnswer {
    // A leader task that ends before it answers may have executed a submission or cancellation, so
    // their outcome is unknown.
    match call {
        CellCall::Heartbeat {
            address,
            leaving,
            lag_ms,
            processor_millicores,
            incarnation,
            withdrawn,
            acknowledged,
            ..
        } => leader
            .send(PeerHeartbeat {
                address,
                incarnation,
                withdrawn,
                acknowledged,
                state: PeerState {
                    leaving,
                    lag: Duration::from_millis(lag_ms),
                    processor_millicores,
                },
            })
            .priority(LEADER_PRIORITY)
            .await
            .unwrap_or(CellAnswer::NotLeader),
        CellCall::Status(call) => {
            let (reply, answer) = oneshot::channel();
            if leader.send(QueryStatus(call, reply)).await.is_err() {
                return CellAnswer::NotLeader;
            }
            answer.await.unwrap_or(CellAnswer::NotLeader)
        }
        CellCall::Pending { queue, caller } => leader
            .send(QueryPending(queue, caller))
            .await
            .unwrap_or(CellAnswer::NotLeader),
        CellCall::Submit(submit) => {
            let (reply, answer) = oneshot::channel();
            if leader.send(Submit(*submit, reply)).await.is_err() {
                return CellAnswer::Unknown;
            }
            answer.await.unwrap_or(CellAnswer::Unknown)
        }
        CellCall::Cancel(call) => {
            let (reply, answer) = oneshot::channel();
            if leader.send(Cancel(call, reply)).await.is_err() {
                return CellAnswer::Unknown;
            }
            answer.await.unwrap_or(CellAnswer::Unknown)
        }
        CellCall::Advise { .. }
        | CellCall::TakeOver { .. }
        | CellCall::Configuration
        | CellCall::Promise { .. }
        | CellCall::Superseded { .. } => CellAnswer::NotLeader,
    }
}
