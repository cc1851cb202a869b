//! Cancellation of jobs, with one journal entry for the job and none for its queued tasks.

use jackdawchute_ownership::Error as JournalError;
use jackdawchute_types::{JobId, Refusal, RefusalReason};

use crate::{
    effect::{AfterAppend, CallId, Effect, Now},
    home::{
        accept::refuse,
        job::{Acceptance, TaskPhase},
        state::HomeGroups,
    },
    record::{job_key, put_entry},
};

impl HomeGroups {
    /// Cancels a job. Its queued tasks are not placed from now on; the caller is answered once the
    /// cancellation is journaled.
    pub fn cancel(&mut self, call: CallId, id: &JobId) -> Vec<Effect> {
        if let Err(refusal) = self.check_known(id) {
            let result = Err(refusal);
            return vec![Effect::Answer { call, result }];
        }
        let confirmed = self.is_confirmed();
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let class = job.spec().class.clone();
        if job.acceptance != Acceptance::Accepted {
            let detail = "the job is not accepted yet";
            let refusal = Refusal::not_run(RefusalReason::KeyInProgress, detail);
            return refuse(call, class, refusal);
        }
        if job.finished || job.record.cancelled {
            return self.answer_status(id, vec![call]);
        }
        if !confirmed {
            let detail = "the cancellation cannot be journaled";
            let refusal = Refusal::not_run(RefusalReason::StoreUnavailable, detail);
            return refuse(call, class, refusal);
        }
        job.cancel_calls.push(call);
        if job.cancel_calls.len() > 1 {
            return Vec::new();
        }
        let mut record = job.record.clone();
        record.cancelled = true;
        let entries = vec![put_entry(&job.group, job_key(id), &record)];
        let after = AfterAppend::Cancelled(id.clone());
        vec![Effect::Append { entries, after }]
    }

    /// Ends the queued tasks and stops the running ones once the cancellation is journaled. If it
    /// was not, refuses the calls and leaves the job as it is.
    pub fn cancelled(
        &mut self,
        id: &JobId,
        result: Result<(), JournalError>,
        now: Now,
    ) -> Vec<Effect> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let calls = std::mem::take(&mut job.cancel_calls);
        if let Err(error) = result {
            let class = job.spec().class.clone();
            let refusal = Refusal::not_run(RefusalReason::StoreUnavailable, error.to_string());
            let calls = calls.into_iter();
            return calls
                .flat_map(|call| refuse(call, class.clone(), refusal.clone()))
                .collect();
        }
        job.record.cancelled = true;
        job.record_event("cancelled");
        let mut effects = self.abort_hold_round(id, now.instant);
        self.end_job(id, now);
        effects.extend(self.answer_status(id, calls));
        effects.extend(self.send_rack_calls(now.instant));
        effects
    }

    /// Ends the queued tasks of a job and marks its placed ones to be stopped.
    pub(crate) fn end_job(&mut self, id: &JobId, now: Now) {
        self.dequeue_job(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for (index, task) in (0_u32..).zip(&mut job.tasks) {
            match task.phase {
                TaskPhase::Waiting => task.phase = TaskPhase::Cancelled,
                TaskPhase::Assigning { .. } => task.stopping = true,
                TaskPhase::Assigned { .. } => {
                    task.stopping = true;
                    self.pending_rack_calls.insert((id.clone(), index), None);
                }
                TaskPhase::Succeeded | TaskPhase::Failed | TaskPhase::Cancelled => {}
            }
        }
        self.requeue_gang(id, now.instant);
        self.finish_if_over(id, now.instant);
    }
}
