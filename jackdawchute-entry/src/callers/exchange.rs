//! The state of one request over all its attempts.

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

/// A request that is being answered, over all its attempts.
pub(super) struct Exchange {
    pub(super) inbound: Inbound,
    pub(super) route: RouteMatch,
    /// The idempotency key of a non-idempotent request, generated if the caller gave none. `None`
    /// on an idempotent route, where a caller's key is ignored.
    pub(super) key: Option<RequestKey>,
    /// The grant for the key from its key group, until its outcome is reported.
    pub(super) key_grant: Option<Completion>,
    /// The hash of the request, see [`Inbound::digest`].
    pub(super) digest: u64,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    /// The groups that refused a slot to this request.
    pub(super) tried_groups: Vec<GroupId>,
    /// The refusal of the last group in `tried_groups`.
    pub(super) last_group_refusal: Option<Refusal>,
    /// The minions to which earlier attempts could not be sent or that did not answer.
    pub(super) failed_on: Vec<MinionId>,
    /// The group whose owner did not answer the last call for a slot.
    pub(super) unreachable_group: Option<GroupId>,
    /// The number of failed attempts so far.
    pub(super) failed_attempts: u32,
    /// The time from the arrival to the grant of the last slot.
    pub(super) slot_wait: Duration,
    /// Whether a byte of any attempt may have reached a minion, so that the request may have run.
    pub(super) maybe_sent: bool,
}

/// The outcome of one attempt.
pub(super) enum AttemptOutcome {
    /// There is a response for the caller, new or stored under the key.
    Answered(Box<Response>),
    /// The group's owner is not known, does not answer or answers too late, and nothing was sent.
    OwnerUnreachable(Refusal),
    /// The attempt failed for a reason that allows another one.
    Failed(RetryReason, Refusal),
    /// The request is refused for good.
    Refused(Refusal),
}

impl Exchange {
    /// Returns the call that asks `group` for the grant of a key, or, without a key, for a slot.
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

    /// Returns the groups not to ask for the next slot. Once no other is left, the unreachable one
    /// is asked again.
    pub(super) fn excluded_groups(&self) -> Vec<GroupId> {
        self.tried_groups
            .iter()
            .chain(&self.unreachable_group)
            .cloned()
            .collect()
    }

    /// Returns whether the caller's deadline has passed.
    pub(super) fn is_past_deadline(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// Returns the request to send to a minion.
    pub(super) fn outgoing(&self) -> Outgoing {
        Outgoing {
            method: self.inbound.method.clone(),
            path_and_query: self.inbound.path_and_query(),
            headers: self.outgoing_headers(),
            body: self.inbound.body.clone(),
        }
    }

    fn outgoing_headers(&self) -> HeaderMap {
        let mut headers = jackdawchute_dispatch::end_to_end(&self.inbound.headers);
        insert_key(&mut headers, self.key.clone());
        headers
    }

    /// Decides whether another group may accept what `group` refused: it may have a free slot or a
    /// minion, or answer before the deadline.
    pub(super) fn on_slot_refused(&mut self, group: GroupId, refusal: Refusal) -> AttemptOutcome {
        match refusal.reason {
            RefusalReason::QueueFull
            | RefusalReason::NoMinion
            | RefusalReason::DeadlineUnreachable => {
                self.tried_groups.push(group);
                self.last_group_refusal = Some(refusal.clone());
                AttemptOutcome::Failed(RetryReason::NoCapacity, refusal)
            }
            _ => AttemptOutcome::Refused(refusal),
        }
    }
}
