//! The leader task's authority: what confirms it, and what follows where nothing does.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jackdawchute_scheduler::EpochAuthority;
use jackdawchute_timer::{boot_time, BootTime};
use jackdawchute_types::{whole_ms, CallError};
use spdlog::{info, warn};
use tokio::sync::watch;
use xtra::prelude::*;

use super::{handlers::PeerHeartbeat, saving::holds_epoch, LeaderTask};
use crate::{
    authority::{Acknowledged, Authority, AuthorityState, EarlierLeaders, Permission},
    calls::SentAt,
    election::{EpochLost, PredecessorStopped},
    messages::{AcknowledgedBy, CellAnswer, CellCall, SLICE},
    settings::{CONFIRM_PERIOD, CONFIRM_TIMEOUT, HEARTBEAT_TIMEOUT, PROMISE_TIMEOUT},
};

/// A member's answer to a request for a promise, and when it was asked.
pub(super) struct PromiseAnswered {
    address: SocketAddr,
    asked_at: BootTime,
    answer: Result<CellAnswer, CallError>,
}

/// What the leader task knows of its own authority and of that of its predecessors.
pub(super) struct EpochConfirmation {
    authority: Authority,
    /// When the last call was sent that confirmed the epoch at the store.
    confirmed_at: Instant,
    /// When the head row was last read to confirm it.
    read_at: BootTime,
    state: AuthorityState,
    earlier: EarlierLeaders,
    predecessor_stopped: watch::Receiver<Option<PredecessorStopped>>,
    /// What each order checks when it is sent.
    pub(super) permission: Permission,
}

impl EpochConfirmation {
    pub(super) fn new(
        authority: Authority,
        confirmed_at: Instant,
        earlier: EarlierLeaders,
        predecessor_stopped: watch::Receiver<Option<PredecessorStopped>>,
    ) -> Self {
        Self {
            permission: Permission::new(authority.until()),
            read_at: authority.confirmed_at(),
            authority,
            confirmed_at,
            state: AuthorityState::Confirmed,
            earlier,
            predecessor_stopped,
        }
    }

    /// Returns for how long leaders of earlier epochs may still have authority.
    pub(super) fn earlier_left(&self, now: Instant) -> Duration {
        self.earlier.remaining(now)
    }
}

impl Handler<PromiseAnswered> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, message: PromiseAnswered, _context: &mut Context<Self>) {
        let PromiseAnswered {
            address,
            asked_at,
            answer,
        } = message;
        match answer {
            Ok(CellAnswer::Promised {
                for_ms,
                incarnation,
            }) => {
                let promised_for = Duration::from_millis(for_ms);
                let authority = &mut self.epoch_authority.authority;
                authority.promised(address, &incarnation, asked_at, promised_for);
                self.update_authority();
            }
            Ok(CellAnswer::Redirect { row, .. }) if row.record.epoch > self.head.epoch => {
                // The receiver is closed only when the instance ends.
                let _ = self.epoch_lost.send(EpochLost {
                    epoch: self.head.epoch,
                    row: Some(row),
                });
            }
            // A member that does not promise is asked again.
            Ok(_) | Err(_) => {}
        }
    }
}

impl LeaderTask {
    /// Returns whether the leader may act now, as its orders do when they are sent.
    pub(super) fn may_act(&self) -> bool {
        self.epoch_authority.permission.is_valid()
    }

    /// Confirms the epoch where no commit does: by reads of the head row, and by promises of the
    /// members while the store does not answer.
    pub(super) fn confirm_epoch(&mut self, context: &Context<Self>) {
        let boot_now = boot_time();
        let confirmation = &mut self.epoch_authority;
        let latest = confirmation
            .read_at
            .max(confirmation.authority.confirmed_at());
        if boot_now >= latest + CONFIRM_PERIOD {
            confirmation.read_at = boot_now;
            let (store, epoch) = (self.ports.store.clone(), self.head.epoch);
            let task = context.mailbox().address();
            tokio::spawn(async move {
                let sent_at = SentAt::now();
                let read = holds_epoch(store.as_ref(), epoch);
                let holds_epoch = tokio::time::timeout(CONFIRM_TIMEOUT, read).await;
                let _ = task
                    .send(EpochRead(sent_at, holds_epoch.ok().flatten()))
                    .await;
            });
        }
        for address in confirmation.authority.take_promises_due(boot_now) {
            let (peers, epoch) = (self.ports.peers.clone(), self.head.epoch);
            let task = context.mailbox().address();
            tokio::spawn(async move {
                let asked_at = boot_time();
                let call = CellCall::Promise { epoch };
                let answer = peers.call(address, SLICE, &call, PROMISE_TIMEOUT).await;
                let answered = PromiseAnswered {
                    address,
                    asked_at,
                    answer,
                };
                let _ = task.send(answered).await;
            });
        }
        self.update_authority();
    }

    /// Handles a read of the head row that was sent at `sent_at`.
    pub(super) fn epoch_read(&mut self, sent_at: SentAt, holds_epoch: Option<bool>) {
        match holds_epoch {
            Some(true) => self.epoch_confirmed(sent_at),
            Some(false) => {
                warn!("epoch lost to another instance", kv: { epoch = self.head.epoch });
                self.lose_epoch();
            }
            None => {}
        }
    }

    /// Records that a call that was sent at `sent_at` showed this epoch at the store.
    pub(super) fn epoch_confirmed(&mut self, sent_at: SentAt) {
        let confirmation = &mut self.epoch_authority;
        confirmation.authority.confirm(sent_at.boot);
        confirmation.confirmed_at = confirmation.confirmed_at.max(sent_at.at);
        self.update_authority();
    }

    /// Records an instance whose heartbeat is about to be acknowledged, and what it knows of earlier
    /// leaders.
    pub(super) fn record_member(&mut self, heartbeat: &PeerHeartbeat, now: Instant) {
        let confirmation = &mut self.epoch_authority;
        let authority = &mut confirmation.authority;
        if heartbeat.withdrawn {
            authority.withdraw(heartbeat.address);
        } else {
            authority.acknowledge(heartbeat.address, &heartbeat.incarnation, boot_time());
        }
        // The heartbeat may have been under way for as long as its timeout.
        let age = |by: &AcknowledgedBy| Duration::from_millis(by.age_ms) + HEARTBEAT_TIMEOUT;
        let by = heartbeat.acknowledged;
        if let Some((by, sent_at)) = by.and_then(|by| Some((by, now.checked_sub(age(&by))?))) {
            confirmation.earlier.testified(&Acknowledged {
                epoch: by.epoch,
                sent_at,
                earlier_until: now + Duration::from_millis(by.earlier_authority_ms),
                promised_until: now + Duration::from_millis(by.promised_ms),
            });
        }
        // The instance counts as a member from its acknowledgement on, so that the orders need its
        // promise before.
        self.update_authority();
    }

    /// Passes the authority on to the scheduler and to the orders under way, and logs its changes.
    pub(super) fn update_authority(&mut self) {
        if self.fenced {
            return;
        }
        let boot_now = boot_time();
        let epoch = self.head.epoch;
        let confirmation = &mut self.epoch_authority;
        if let Some(stopped) = &*confirmation.predecessor_stopped.borrow_and_update() {
            confirmation.earlier.replaced_stopped(stopped.at);
            if let Some(unanswered) = &stopped.unanswered_extensions {
                self.scheduler.earlier_extensions_told(unanswered);
            }
        }
        let state = confirmation.authority.state(boot_now);
        if state != confirmation.state {
            confirmation.state = state;
            let age = boot_now.saturating_sub(confirmation.authority.confirmed_at());
            info!("authority changed", kv: {
                epoch = epoch, state:? = state, confirmed_ms = whole_ms(age),
                left_ms = whole_ms(confirmation.authority.until().saturating_sub(boot_now)),
                members_without_promise = confirmation.authority.without_promise(boot_now)
            });
        }
        confirmation.permission.set(confirmation.authority.until());
        let authority = EpochAuthority {
            may_act: state != AuthorityState::Ended,
            confirmed_at: confirmation.confirmed_at,
            earlier_until: confirmation.earlier.until(),
        };
        self.metrics.set_authority(state);
        self.scheduler.set_authority(authority);
    }
}

/// When the head row was read to confirm the epoch, and whether this instance still held it.
struct EpochRead(SentAt, Option<bool>);

impl Handler<EpochRead> for LeaderTask {
    type Return = ();

    async fn handle(&mut self, read: EpochRead, _context: &mut Context<Self>) {
        self.epoch_read(read.0, read.1);
    }
}
