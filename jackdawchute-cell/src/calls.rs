//! Calls to peers that the leader task and the election task share.

use std::{net::SocketAddr, time::Instant};

use jackdawchute_peer::PeerClient;
use jackdawchute_timer::{boot_time, BootTime};
use jackdawchute_types::{CallError, Epoch};
use spdlog::info;

use crate::{
    claim::LeaderRow,
    messages::{CellAnswer, CellCall, SLICE},
    settings::HEARTBEAT_TIMEOUT,
};

/// When a call was sent, on both clocks; what it confirms counts from then, not from its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SentAt {
    pub(crate) at: Instant,
    pub(crate) boot: BootTime,
}

impl SentAt {
    pub(crate) fn now() -> Self {
        Self {
            boot: boot_time(),
            at: Instant::now(),
        }
    }
}

/// Asks an instance for the leader row that it knows.
///
/// Returns `None` if the instance does not answer or does not name another one as leader.
pub(crate) async fn fetch_leader_row(
    peers: &PeerClient,
    address: SocketAddr,
    heartbeat: &CellCall,
) -> Option<LeaderRow> {
    match peers
        .call(address, SLICE, heartbeat, HEARTBEAT_TIMEOUT)
        .await
    {
        Ok(CellAnswer::Redirect { row, .. }) => Some(row),
        // An instance that does not answer is asked again in the next period.
        Ok(_) | Err(_) => None,
    }
}

/// Offers the epoch to an instance, which claims the next one if it accepts.
///
/// `lag_takeovers` counts the takeovers in a row, this one included, that happen because of lag.
pub(crate) async fn offer_epoch(
    peers: &PeerClient,
    successor: SocketAddr,
    epoch: Epoch,
    lag_takeovers: u32,
) {
    let call = CellCall::TakeOver {
        epoch,
        lag_takeovers,
    };
    let answer: Result<CellAnswer, CallError> =
        peers.call(successor, SLICE, &call, HEARTBEAT_TIMEOUT).await;
    info!("epoch offered to a successor", kv: {
        epoch = epoch, successor: = successor, reached = answer.is_ok()
    });
}
