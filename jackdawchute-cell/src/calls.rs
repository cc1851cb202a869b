//! What an instance asks of others of its own accord.

use std::net::SocketAddr;

use jackdawchute_peer::PeerClient;
use jackdawchute_types::{CallError, Epoch};
use spdlog::info;

use crate::{
    claim::LeaderRow,
    messages::{CellAnswer, CellCall, SLICE},
    settings::HEARTBEAT_TIMEOUT,
};

/// Asks an instance which one schedules; `None` if it knows no better than the hello does.
pub(crate) async fn ask_for_row(
    peers: &PeerClient,
    address: SocketAddr,
    heartbeat: &CellCall,
) -> Option<LeaderRow> {
    match peers
        .call(address, SLICE, heartbeat, HEARTBEAT_TIMEOUT)
        .await
    {
        Ok(CellAnswer::Redirect { row, .. }) => Some(row),
        // Whoever does not answer is asked again with the next hello.
        Ok(_) | Err(_) => None,
    }
}

/// Asks an instance to take the epoch over.
pub(crate) async fn offer_epoch(peers: &PeerClient, successor: SocketAddr, epoch: Epoch) {
    let call = CellCall::TakeOver { epoch };
    let answer: Result<CellAnswer, CallError> =
        peers.call(successor, SLICE, &call, HEARTBEAT_TIMEOUT).await;
    info!("epoch offered to a successor", kv: {
        epoch = epoch, successor: = successor, reached = answer.is_ok()
    });
}
