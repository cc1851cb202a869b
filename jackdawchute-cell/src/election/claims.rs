//! Claims of the epoch: from the read that precedes one to the leader task that follows it.

use std::time::Instant;

use jackdawchute_scheduler::Scheduler;
use jackdawchute_types::{whole_ms, Epoch};
use spdlog::{info, warn};
use tokio::sync::watch;
use xtra::prelude::*;

use super::{ElectionTask, PredecessorStopped};
use crate::{
    authority::{Authority, EarlierLeaders, Replaced},
    calls::SentAt,
    claim::{self, ClaimOutcome, LeaderRow},
    commit::Head,
    leader::{self, LeaderParts},
    messages::CellAnswer,
    recover::recover,
    rows::{HeadRecord, LeaderRecord, HEAD_TABLE, LEADER_TABLE, PART},
    settings::{CLAIM_PAUSE, CLAIM_PAUSE_MAX, CLAIM_READ_TIMEOUT},
    Error, Result, Store,
};

/// The rows that a claim depends on, read before it.
pub(super) struct ClaimRead {
    /// The leader row's content that the claim is to write.
    pub(super) record: LeaderRecord,
    /// The row that the claim is to replace.
    pub(super) replaced_row: Option<LeaderRow>,
    pub(super) rows: Result<RowsBeforeClaim>,
}
/// The leader row and the head row; `None` if there is none.
pub(super) struct RowsBeforeClaim {
    leader: Option<LeaderRow>,
    head: Option<HeadRecord>,
}
/// A claim with its outcome.
struct ClaimFinished {
    record: LeaderRecord,
    replaced_row: Option<LeaderRow>,
    head: Option<HeadRecord>,
    sent_at: SentAt,
    outcome: Result<ClaimOutcome>,
}
/// The state of an epoch that begins, and the recovered scheduler; `None` if recovery failed.
struct Recovered(EpochBegun, Option<Box<Scheduler>>);
/// What a leader takes over from its claim.
struct EpochBegun {
    head: Head,
    authority: Authority,
    confirmed_at: Instant,
    earlier: EarlierLeaders,
    predecessor_stopped: watch::Receiver<Option<PredecessorStopped>>,
}
/// A leader's request for a promise not to claim the epoch after this one.
pub(crate) struct PromiseRequested(pub(crate) Epoch);

/// Reads the rows that a claim depends on.
///
/// A store that answers no read gets no claim either, as one without an answer could take effect
/// later and rules out promises until then.
pub(super) async fn read_before_claim(store: &dyn Store) -> Result<RowsBeforeClaim> {
    let read = async {
        let (leader, head) = tokio::join!(
            store.read(LEADER_TABLE, PART, None),
            store.read(HEAD_TABLE, PART, None)
        );
        let head = head?.rows.into_iter().next().and_then(|row| row.value);
        Ok(RowsBeforeClaim {
            leader: super::follow::decode_rows(leader?.rows).pop(),
            head: head.and_then(|value| serde_json::from_slice(&value).ok()),
        })
    };
    tokio::time::timeout(CLAIM_READ_TIMEOUT, read)
        .await
        .unwrap_or_else(|_| {
            let cause = "no answer in time".to_owned();
            Err(Error::Unavailable(
                "read before claim",
                "store".to_owned(),
                cause,
            ))
        })
}

impl Handler<ClaimRead> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, read: ClaimRead, context: &mut Context<Self>) {
        let ClaimRead {
            record,
            replaced_row,
            rows,
        } = read;
        let RowsBeforeClaim { leader, head } = match rows {
            Ok(rows) => rows,
            Err(error) => return self.claim_failed(&record, &error),
        };
        let version = |row: &Option<LeaderRow>| row.as_ref().map_or(0, |row| row.version);
        let is_current = version(&leader) == version(&replaced_row);
        if let Some(row) = leader {
            self.claim_state.epoch_read(row.record.epoch);
            self.update_row(row, context);
        }
        if !is_current || self.is_leaving() {
            self.claiming = false;
            self.next_claim_at = Instant::now() + CLAIM_PAUSE;
            return;
        }
        let wait = self.claim_state.begin_claim(Instant::now());
        let store = self.parts.ports.store.clone();
        let task = context.mailbox().address();
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            let transaction = claim::transaction(replaced_row.as_ref(), &record);
            let sent_at = SentAt::now();
            let outcome = store.transact(&transaction).await;
            let outcome = outcome.map(|outcome| claim::outcome(&record, outcome));
            let finished = ClaimFinished {
                record,
                replaced_row,
                head,
                sent_at,
                outcome,
            };
            let _ = task.send(finished).await;
        });
    }
}

impl Handler<ClaimFinished> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: ClaimFinished, context: &mut Context<Self>) {
        let ClaimFinished {
            record,
            replaced_row,
            head,
            sent_at,
            outcome,
        } = message;
        let now = Instant::now();
        let may_have_arrived = !matches!(outcome, Err(Error::Unavailable(..)));
        self.claim_state
            .end_claim(may_have_arrived, outcome.is_ok());
        match outcome {
            Ok(ClaimOutcome::Won { epoch, version }) => {
                self.claim_pause = CLAIM_PAUSE;
                let row = LeaderRow { record, version };
                let mut earlier = self.earlier_leaders(replaced_row.as_ref(), head, now);
                let predecessor_stopped = self.notify_predecessor(replaced_row, &row);
                if let Some(stopped) = &*predecessor_stopped.borrow() {
                    earlier.replaced_stopped(stopped.at);
                }
                self.update_row(row, context);
                let settled = earlier.remaining(now).is_zero();
                info!("epoch claimed", kv: {
                    epoch = epoch, version = version,
                    earlier_authority_ms = whole_ms(earlier.remaining(now))
                });
                let begun = EpochBegun {
                    head: Head {
                        epoch,
                        commits: 0,
                        version,
                        settled,
                    },
                    authority: Authority::new(sent_at.boot),
                    confirmed_at: sent_at.at,
                    earlier,
                    predecessor_stopped,
                };
                let store = self.parts.ports.store.clone();
                let settings = self.parts.settings.scheduler;
                let task = context.mailbox().address();
                tokio::spawn(async move {
                    let scheduler = recover(store, settings, epoch).await;
                    let _ = task.send(Recovered(begun, scheduler.map(Box::new))).await;
                });
            }
            Ok(ClaimOutcome::Lost(row)) => {
                self.claim_pause = CLAIM_PAUSE;
                self.claiming = false;
                self.next_claim_at = now + CLAIM_PAUSE;
                if let Some(row) = row {
                    self.claim_state.epoch_read(row.record.epoch);
                    self.update_row(row, context);
                }
            }
            Err(error) => self.claim_failed(&record, &error),
        }
    }
}

impl Handler<Recovered> for ElectionTask {
    type Return = ();

    async fn handle(&mut self, message: Recovered, _context: &mut Context<Self>) {
        let Recovered(begun, scheduler) = message;
        self.claiming = false;
        let is_current = self.row.as_ref().map(|row| row.record.epoch) == Some(begun.head.epoch);
        let Some(scheduler) = scheduler.filter(|_| is_current) else {
            self.next_claim_at = Instant::now() + CLAIM_PAUSE;
            return;
        };
        let parts = LeaderParts {
            scheduler: *scheduler,
            head: begun.head,
            authority: begun.authority,
            confirmed_at: begun.confirmed_at,
            earlier: begun.earlier,
            predecessor_stopped: begun.predecessor_stopped,
            lag_takeovers: self.lag_takeovers,
            own_address: self.parts.settings.peer_address,
            processor_millicores: self.parts.settings.processor_millicores,
            ports: self.parts.ports.clone(),
            routes: self.parts.routes.clone(),
            metrics: self.parts.metrics.clone(),
            epoch_lost: self.epoch_lost.clone(),
        };
        let (leader, permission) = leader::spawn(parts, &self.parts.timer).await;
        self.leading = Some((begun.head.epoch, permission));
        let now = Instant::now();
        self.publish(|view| {
            view.local = Some(leader);
            view.leader_heard_at = Some(now);
        });
    }
}

impl Handler<PromiseRequested> for ElectionTask {
    type Return = CellAnswer;

    async fn handle(
        &mut self,
        request: PromiseRequested,
        _context: &mut Context<Self>,
    ) -> CellAnswer {
        let incarnation = self.parts.incarnation.clone();
        match &self.row {
            Some(row) if row.record.epoch > request.0 => CellAnswer::Redirect {
                row: row.clone(),
                incarnation,
            },
            _ => {
                let promised = self.claim_state.promise(request.0, Instant::now());
                CellAnswer::Promised {
                    for_ms: promised.map_or(0, whole_ms),
                    incarnation,
                }
            }
        }
    }
}

impl ElectionTask {
    /// Ends a claim that failed; the next one comes after a pause that doubles each time.
    fn claim_failed(&mut self, record: &LeaderRecord, error: &Error) {
        warn!("claim failed", kv: { epoch = record.epoch, cause: = error });
        self.claiming = false;
        self.store_answers = Some(None);
        self.next_claim_at = Instant::now() + self.claim_pause;
        self.claim_pause = (self.claim_pause * 2).min(CLAIM_PAUSE_MAX);
    }

    /// Returns until when the leaders before a claim may have authority, as far as this instance
    /// knows.
    fn earlier_leaders(
        &self,
        replaced_row: Option<&LeaderRow>,
        head: Option<HeadRecord>,
        claimed_at: Instant,
    ) -> EarlierLeaders {
        let replaced = replaced_row.map(|row| Replaced {
            epoch: row.record.epoch,
            settled: head.is_some_and(|head| head.epoch == row.record.epoch && head.settled),
        });
        let mut earlier = EarlierLeaders::new(replaced, claimed_at);
        if let Some(acknowledged) = self.acknowledged(claimed_at) {
            earlier.testified(&acknowledged);
        }
        earlier
    }
}
