//! Answers what other instances of the cell ask.

use std::time::Duration;

use async_trait::async_trait;
use jackdawchute_peer::PeerService;
use jackdawchute_scheduler::AdviceRequest;
use jackdawchute_types::{whole_ms, IncarnationId};
use serde_json::Value;
use spdlog::warn;
use tokio::sync::{oneshot, watch};
use xtra::prelude::*;

use crate::{
    advisor::{self, AdviceOutcome, AdvisorTask},
    election::{ElectionTask, LeaderSeen, LeaderView, TakeOver},
    leader::{AskPending, AskStatus, Cancel, LeaderTask, PeerHeartbeat, PeerState, Submit},
    messages::{CellAnswer, CellCall},
    Routes,
};

/// The calls of this slice.
pub(crate) struct CellService {
    pub(crate) view: watch::Receiver<LeaderView>,
    pub(crate) election: Address<ElectionTask>,
    pub(crate) advisor: Address<AdvisorTask>,
    pub(crate) incarnation: IncarnationId,
    pub(crate) routes: watch::Receiver<Routes>,
}

#[async_trait]
impl PeerService for CellService {
    async fn serve(&self, call: Value) -> Option<Value> {
        let call = match serde_json::from_value(call) {
            Ok(call) => call,
            Err(cause) => {
                warn!("call of a peer does not decode", kv: { cause: = cause });
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
            CellCall::TakeOver { epoch } => match self.election.send(TakeOver(epoch)).await {
                Ok(()) => CellAnswer::Acknowledged,
                Err(_) => CellAnswer::NotLeader,
            },
            CellCall::Configuration => CellAnswer::Configuration {
                routes: self.routes.borrow().clone(),
            },
            CellCall::Superseded { row } => match self.election.send(LeaderSeen(Some(row))).await {
                Ok(()) => CellAnswer::Acknowledged,
                Err(_) => CellAnswer::NotLeader,
            },
            call => {
                let (local, epoch) = {
                    let view = self.view.borrow();
                    let epoch = view.row.as_ref().map(|row| row.record.epoch);
                    (view.local.clone(), epoch)
                };
                if matches!(&call, CellCall::Heartbeat { epoch: asked, .. } if Some(*asked) < epoch)
                {
                    return self.elsewhere();
                }
                match local {
                    Some(leader) => ask_leader(&leader, call).await,
                    None => self.elsewhere(),
                }
            }
        }
    }

    /// Tells which instance schedules, as far as this one knows.
    fn elsewhere(&self) -> CellAnswer {
        let row = self.view.borrow().row.clone();
        let incarnation = self.incarnation.clone();
        row.map_or(CellAnswer::NotLeader, |row| CellAnswer::Redirect {
            row,
            incarnation,
        })
    }

    async fn advise(&self, request: AdviceRequest) -> CellAnswer {
        match advisor::ask(&self.advisor, request).await {
            AdviceOutcome::Answered(answer) => CellAnswer::Advice { answer },
            AdviceOutcome::Busy(busy) => CellAnswer::AdvisorBusy {
                free_in_ms: whole_ms(busy.free_in),
            },
            AdviceOutcome::Unanswered => CellAnswer::Unknown,
        }
    }
}

/// Asks the local scheduling task.
pub(crate) async fn ask_leader(leader: &Address<LeaderTask>, call: CellCall) -> CellAnswer {
    // A scheduling task that ends meanwhile may have done what was asked.
    match call {
        CellCall::Heartbeat {
            address,
            leaving,
            lag_ms,
            processor_millicores,
            ..
        } => leader
            .send(PeerHeartbeat {
                address,
                state: PeerState {
                    leaving,
                    lag: Duration::from_millis(lag_ms),
                    processor_millicores,
                },
            })
            .await
            .unwrap_or(CellAnswer::NotLeader),
        CellCall::Status { job } => {
            let (reply, answer) = oneshot::channel();
            if leader.send(AskStatus(job, reply)).await.is_err() {
                return CellAnswer::NotLeader;
            }
            answer.await.unwrap_or(CellAnswer::NotLeader)
        }
        CellCall::Pending { queue } => leader
            .send(AskPending(queue))
            .await
            .unwrap_or(CellAnswer::NotLeader),
        CellCall::Submit(submit) => {
            let (reply, answer) = oneshot::channel();
            if leader.send(Submit(*submit, reply)).await.is_err() {
                return CellAnswer::Unknown;
            }
            answer.await.unwrap_or(CellAnswer::Unknown)
        }
        CellCall::Cancel { job } => {
            let (reply, answer) = oneshot::channel();
            if leader.send(Cancel(job, reply)).await.is_err() {
                return CellAnswer::Unknown;
            }
            answer.await.unwrap_or(CellAnswer::Unknown)
        }
        CellCall::Advise { .. }
        | CellCall::TakeOver { .. }
        | CellCall::Configuration
        | CellCall::Superseded { .. } => CellAnswer::NotLeader,
    }
}
