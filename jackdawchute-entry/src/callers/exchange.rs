//! One request on its way, over all its attempts.

use std::time::{Duration, Instant};

use http::HeaderMap;
use jackdawchute_dispatch::Outgoing;
use jackdawchute_requests::Acquire;
use jackdawchute_types::{
    GroupId, IncarnationId, MinionId, Refusal, RefusalReason, RequestKey, RetryReason,
};
use warp::reply::Response;

use super::{complete::Completion, inbound::Inbound, responses::insert_key};
use crate::routing::RouteMatch;

/// One request on its way, over all its attempts.
pub(super) struct Exchange {
    pub(super) inbound: Inbound,
    pub(super) route: RouteMatch,
    /// The key of a non-idempotent request, generated if the caller gave none; a key on an
    /// idempotent route changes nothing.
    pub(super) key: Option<RequestKey>,
    /// The grant of the key's group, while its outcome is open.
    pub(super) reserved: Option<Completion>,
    pub(super) digest: u64,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) tried: Vec<GroupId>,
    /// Why the group that was tried last refused.
    pub(super) refused_by: Option<Refusal>,
    /// The minions at which earlier attempts failed.
    pub(super) failed_on: Vec<MinionId>,
    /// The group whose owner did not answer the last call for a slot.
    pub(super) unreachable: Option<GroupId>,
    pub(super) attempt: u32,
    pub(super) waited: Duration,
    /// Whether a byte of any attempt may have reached a minion.
    pub(super) sent: bool,
}

/// What one attempt led to.
pub(super) enum Attempt {
    Answered(Box<Response>),
    /// The owner is not known or does not answer, and nothing was sent.
    NoOwner(Refusal),
    /// Another attempt may be made.
    Failed(RetryReason, Refusal),
    Refused(Refusal),
}

impl Exchange {
    /// A call for the key's reservation, or without a key for a slot.
    pub(super) fn acquire(
        &self,
        group: GroupId,
        key: Option<RequestKey>,
        holder: IncarnationId,
    ) -> Acquire {
        Acquire {
            group,
            service: self.route.service.clone(),
            class: self.route.class.clone(),
            team: self.route.team.clone(),
            idempotent: key.is_none(),
            key,
            digest: self.digest,
            deadline: self.deadline.saturating_duration_since(Instant::now()),
            holder,
            failed_on: self.failed_on.clone(),
        }
    }

    /// The groups that are passed over when the next slot is asked for. Once no other is left, the
    /// one without an answer is asked again.
    pub(super) fn passed_over(&self) -> Vec<GroupId> {
        self.tried
            .iter()
            .chain(&self.unreachable)
            .cloned()
            .collect()
    }

    /// Whether the caller has stopped waiting.
    pub(super) fn is_late(&self) -> bool {
        Instant::now() >= self.deadline
    }

    pub(super) fn outgoing(&self) -> Outgoing {
        Outgoing {
            method: self.inbound.method.clone(),
            path_and_query: self.inbound.path_and_query(),
            headers: self.inbound_headers(),
            body: self.inbound.body.clone(),
        }
    }

    fn inbound_headers(&self) -> HeaderMap {
        let mut headers = jackdawchute_dispatch::end_to_end(&self.inbound.headers);
        insert_key(&mut headers, self.key.clone());
        headers
    }

    /// Another group may still have room, or answer in time.
    pub(super) fn slot_refused(&mut self, group: GroupId, refusal: Refusal) -> Attempt {
        match refusal.reason {
            RefusalReason::QueueFull
            | RefusalReason::NoMinion
            | RefusalReason::DeadlineUnreachable => {
                self.tried.push(group);
                self.refused_by = Some(refusal.clone());
                Attempt::Failed(RetryReason::NoCapacity, refusal)
            }
            _ => Attempt::Refused(refusal),
        }
    }
}
