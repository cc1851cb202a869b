//! Commits of the scheduling task, and what callers are told while none succeeds.

use std::time::{Duration, Instant};

use jackdawchute_scheduler::JobStatus;
use jackdawchute_types::{whole_ms, Epoch};
use spdlog::{info, warn};
use tokio::sync::oneshot;
use xtra::{prelude::*, refcount::Weak};

use super::{
    answer_all,
    handlers::{Appended, EpochConfirmed},
    LeaderTask,
};
use crate::{
    commit::append,
    messages::CellAnswer,
    recover::unix_now,
    rows::{HeadRecord, HEAD_TABLE, PART},
    settings::{
        outage_retry_after, COMMIT_BYTES_MAX, COMMIT_OUTAGE_MAX, COMMIT_PERIOD, COMMIT_ROWS_MAX,
        COMMIT_SLOW,
    },
    Store,
};

impl LeaderTask {
    /// How long nothing could be committed.
    pub(super) fn store_trouble(&self, now: Instant) -> Duration {
        let since =
            |at: Option<Instant>| at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        // A call without an answer may be slow; only what a slow store would exceed counts.
        let silent = since(self.commit_asked_at).saturating_sub(COMMIT_SLOW);
        since(*self.trouble.borrow()).max(silent)
    }

    /// How long it takes until a job that comes now is accepted, if commits go on as they do.
    ///
    /// Nothing is expected of an idle chain: its last commit may be one that an outage held up,
    /// and only the next one tells.
    pub(super) fn expected_acceptance(&self, now: Instant) -> Duration {
        if self.commit_asked_at.is_none() && !self.scheduler.has_unsaved() {
            return Duration::ZERO;
        }
        let left = |at: Instant| {
            let elapsed = now.saturating_duration_since(at);
            self.commit_took.saturating_sub(elapsed)
        };
        let under_way = self.commit_asked_at.map_or(Duration::ZERO, left);
        let commits = self.scheduler.commits_until_accepted(COMMIT_ROWS_MAX);
        under_way + self.commit_took.saturating_mul(commits)
    }

    /// The answer while nothing can be saved.
    pub(super) fn unavailable(&self, now: Instant) -> CellAnswer {
        let trouble = self.store_trouble(now);
        CellAnswer::Unavailable {
            retry_after_ms: whole_ms(outage_retry_after(trouble)),
        }
    }

    pub(super) fn commit(&mut self, own: &Address<Self, Weak>, now: Instant) {
        if self.commit_asked_at.is_some() || self.fenced || now < self.commit_after {
            return;
        }
        let unix_ms = whole_ms(unix_now());
        let batch = self
            .scheduler
            .take_batch(COMMIT_ROWS_MAX, COMMIT_BYTES_MAX, unix_ms);
        let Some(mut batch) = batch else {
            return;
        };
        let left = COMMIT_ROWS_MAX.saturating_sub(batch.changes.len());
        batch
            .changes
            .extend(self.scheduler.take_expired_rows(left, now));
        if batch.changes.is_empty() {
            // Ends that change nothing need no row before they are forgotten.
            self.scheduler.committed(&batch, now);
            return;
        }
        self.commit_asked_at = Some(now);
        self.commit_after = now + COMMIT_PERIOD;
        let store = self.ports.store.clone();
        let (own, trouble, metrics) = (own.clone(), self.trouble.clone(), self.metrics.clone());
        let head = self.head;
        tokio::spawn(async move {
            let appended = append(store, head, &batch, COMMIT_OUTAGE_MAX, &trouble, &metrics).await;
            let _ = own.send(Appended(batch, appended)).await;
        });
    }

    /// Refuses jobs that are in no commit yet while none succeeds.
    pub(super) fn refuse_unsaved(&mut self, now: Instant) {
        if self.store_trouble(now) < COMMIT_OUTAGE_MAX {
            return;
        }
        for job in self.scheduler.withdraw_unsaved() {
            info!("job refused", kv: { job = job.as_str(), reason = "nothing can be saved" });
            let answer = self.unavailable(now);
            answer_all(self.submitters.remove(&job), &answer);
        }
    }

    /// Answers what a job's status is.
    ///
    /// An instance that was replaced unawares may not know a job that its successor accepted, so
    /// that a job is unknown is told only once the store has confirmed the epoch.
    pub(super) fn answer_status(
        &mut self,
        status: JobStatus,
        reply: oneshot::Sender<CellAnswer>,
        context: &Context<Self>,
    ) {
        if status == JobStatus::Unknown {
            self.unconfirmed.push(reply);
            self.confirm_epoch(context);
            return;
        }
        // A caller that went away needs no answer.
        let _ = reply.send(CellAnswer::Status { status });
    }

    /// Asks the store whether this instance holds the epoch, for all that wait for it.
    pub(super) fn confirm_epoch(&mut self, context: &Context<Self>) {
        if !self.confirming.is_empty() || self.unconfirmed.is_empty() {
            return;
        }
        self.confirming = std::mem::take(&mut self.unconfirmed);
        let store = self.ports.store.clone();
        let own = context.mailbox().address();
        let epoch = self.head.epoch;
        tokio::spawn(async move {
            let confirmed = holds_epoch(store.as_ref(), epoch).await;
            let _ = own.send(EpochConfirmed(confirmed)).await;
        });
    }
}

/// Whether the chain's head belongs to an epoch; `None` if the store did not tell.
async fn holds_epoch(store: &dyn Store, epoch: Epoch) -> Option<bool> {
    let page = match store.read(HEAD_TABLE, PART, None).await {
        Ok(page) => page,
        Err(error) => {
            warn!("epoch could not be confirmed", kv: { epoch = epoch, cause: = error });
            return None;
        }
    };
    let value = page.rows.into_iter().next()?.value?;
    let head: HeadRecord = serde_json::from_slice(&value).ok()?;
    Some(head.epoch == epoch)
}
