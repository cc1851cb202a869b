//! Commits of the leader task, and its answers to callers while none succeeds.

use std::time::{Duration, Instant};

use jackdawchute_scheduler::{CommitBatch, JobStatus, QueuePolicy};
use jackdawchute_types::{whole_ms, Epoch};
use spdlog::{info, warn};
use tokio::sync::oneshot;
use xtra::{prelude::*, refcount::Weak};

use super::{answer_all, handlers::EpochChecked, LeaderTask};
use crate::{
    calls::SentAt,
    commit::Head,
    messages::CellAnswer,
    recover::unix_now,
    rows::{HeadRecord, HEAD_TABLE, PART},
    settings::{
        outage_retry_after, COMMIT_BYTES_MAX, COMMIT_OUTAGE_MAX, COMMIT_PERIOD, COMMIT_ROWS_MAX,
        CONFIRM_TIMEOUT, SLOW_COMMIT_MAX,
    },
    Store,
};

impl LeaderTask {
    /// Returns for how long no commit has succeeded; 0 while there is no store outage.
    pub(super) fn store_outage(&self, now: Instant) -> Duration {
        let since =
            |at: Option<Instant>| at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        // A commit without an answer may just be slow; only the time beyond that of a slow store
        // counts.
        let overdue = since(self.commit_started_at).saturating_sub(SLOW_COMMIT_MAX);
        since(self.committer.outage_since()).max(overdue)
    }

    /// Returns the expected time until a job that arrives now is accepted, if each commit takes as
    /// long as the last one.
    ///
    /// The wait is 0 while no commit is under way or due: an outage may have delayed the last
    /// commit, and only the next one shows how long commits take now.
    pub(super) fn expected_acceptance_wait(&self, now: Instant) -> Duration {
        if self.commit_started_at.is_none() && !self.scheduler.has_unsaved() {
            return Duration::ZERO;
        }
        let remaining = |at: Instant| {
            let elapsed = now.saturating_duration_since(at);
            self.last_commit_duration.saturating_sub(elapsed)
        };
        let under_way = self.commit_started_at.map_or(Duration::ZERO, remaining);
        let commits = self.scheduler.commits_until_accepted(COMMIT_ROWS_MAX);
        under_way + self.last_commit_duration.saturating_mul(commits)
    }

    /// Returns whether this leader is too overloaded to accept a new job of a queue.
    pub(super) fn is_too_busy_for(&self, queue: &QueuePolicy) -> bool {
        let routes = self.routes.borrow();
        let configured = routes.queues.iter().map(|route| route.policy.priority);
        self.overload.refuses(queue.priority, configured)
    }

    /// Returns the answer to callers during a store outage.
    pub(super) fn unavailable(&self, now: Instant) -> CellAnswer {
        let outage = self.store_outage(now);
        CellAnswer::Unavailable {
            retry_after_ms: whole_ms(outage_retry_after(outage)),
        }
    }

    /// Starts the commit of the next batch, unless one is under way or it is too early.
    pub(super) fn commit(&mut self, task: &Address<Self, Weak>, now: Instant) {
        if self.commit_started_at.is_some() || self.fenced || now < self.next_commit_at {
            return;
        }
        let unix_ms = whole_ms(unix_now());
        let batch = self
            .scheduler
            .take_batch(COMMIT_ROWS_MAX, COMMIT_BYTES_MAX, unix_ms);
        let head = Head {
            settled: self.head.settled || self.epoch_authority.earlier_left(now).is_zero(),
            ..self.head
        };
        // An idle leader saves too that none before it has authority any more.
        let unsaved_head = (head != self.head).then(CommitBatch::default);
        let Some(mut batch) = batch.or(unsaved_head) else {
            return;
        };
        let rows_left = COMMIT_ROWS_MAX.saturating_sub(batch.changes.len());
        batch
            .changes
            .extend(self.scheduler.take_expired_rows(rows_left, now));
        if batch.changes.is_empty() && head == self.head {
            // Run ends that change no row can be acknowledged without a commit.
            self.scheduler.committed(&batch, now);
            return;
        }
        self.commit_started_at = Some(now);
        self.next_commit_at = now + COMMIT_PERIOD;
        self.committer.commit(head, batch, task.clone());
    }

    /// Refuses the jobs that are not part of a commit yet, once an outage has lasted too long.
    pub(super) fn refuse_unsaved(&mut self, now: Instant) {
        if self.store_outage(now) < COMMIT_OUTAGE_MAX {
            return;
        }
        for job in self.scheduler.withdraw_unsaved() {
            info!("job refused", kv: { job = job.as_str(), reason = "nothing can be saved" });
            let answer = self.unavailable(now);
            answer_all(self.submitters.remove(&job), &answer);
        }
    }

    /// Replies with a job's status.
    ///
    /// An instance that does not know yet that it was replaced may not know a job that its
    /// successor accepted. A job is therefore reported as unknown only after the store has
    /// confirmed the epoch.
    pub(super) fn answer_status(
        &mut self,
        status: JobStatus,
        reply: oneshot::Sender<CellAnswer>,
        context: &Context<Self>,
    ) {
        if status == JobStatus::Unknown {
            self.next_check_replies.push(reply);
            self.check_epoch(context);
            return;
        }
        if !self.may_act() && !matches!(status, JobStatus::Ended(_)) {
            // A later leader may know of a later status.
            let _ = reply.send(self.unavailable(Instant::now()));
            return;
        }
        // A caller that has disconnected needs no answer.
        let _ = reply.send(CellAnswer::Status { status });
    }

    /// Reads in the store whether this instance holds the epoch, once for all waiting callers.
    pub(super) fn check_epoch(&mut self, context: &Context<Self>) {
        if !self.current_check_replies.is_empty() || self.next_check_replies.is_empty() {
            return;
        }
        self.current_check_replies = std::mem::take(&mut self.next_check_replies);
        let store = self.ports.store.clone();
        let task = context.mailbox().address();
        let epoch = self.head.epoch;
        tokio::spawn(async move {
            let sent_at = SentAt::now();
            let read = holds_epoch(store.as_ref(), epoch);
            let holds_epoch = tokio::time::timeout(CONFIRM_TIMEOUT, read).await;
            let checked = EpochChecked(sent_at, holds_epoch.ok().flatten());
            let _ = task.send(checked).await;
        });
    }
}

/// Returns whether the chain's head belongs to an epoch; `None` if the head row cannot be read or
/// decoded.
pub(super) async fn holds_epoch(store: &dyn Store, epoch: Epoch) -> Option<bool> {
    let page = match store.read(HEAD_TABLE, PART, None).await {
        Ok(page) => page,
        Err(error) => {
            warn!("head row cannot be read to confirm the epoch", kv: {
                epoch = epoch, cause: = error
            });
            return None;
        }
    };
    let value = page.rows.into_iter().next()?.value?;
    let head: HeadRecord = serde_json::from_slice(&value).ok()?;
    Some(head.epoch == epoch)
}
