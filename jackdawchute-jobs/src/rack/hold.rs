//! Holds for gangs: charged as used capacity, granted for all tasks of a call or none, and lapsing
//! by themselves.

use std::time::Instant;

use jackdawchute_ownership::LeaseState;
use jackdawchute_types::{Refusal, TaskId};
use smol_str::format_smolstr;

use crate::{
    rack::state::{Hold, RackGroups},
    GroupEpoch, Reply, TaskAttempt, TaskStart,
};

impl RackGroups {
    /// Holds capacity for all the tasks, or for none of them.
    ///
    /// # Errors
    /// Refuses calls for another epoch and then holds nothing.
    pub fn hold(
        &mut self,
        rack: &GroupEpoch,
        tasks: &[TaskStart],
        now: Instant,
    ) -> Result<Reply, Refusal> {
        self.check_epoch(rack)?;
        let held = tasks.iter().all(|task| self.hold_task(rack, task, now));
        if !held {
            for task in tasks {
                self.release_hold(&task.id);
            }
        }
        Ok(self.rack_reply(rack, Vec::new(), held))
    }

    /// Releases the holds of the given attempts.
    ///
    /// # Errors
    /// Refuses calls for another epoch.
    pub fn release(&mut self, rack: &GroupEpoch, tasks: &[TaskAttempt]) -> Result<Reply, Refusal> {
        self.check_epoch(rack)?;
        for task in tasks {
            self.release_hold(task);
        }
        Ok(self.rack_reply(rack, Vec::new(), false))
    }

    /// Releases holds that lapsed.
    pub(crate) fn lapse_holds(&mut self, now: Instant) {
        let lapsed: Vec<TaskAttempt> = self
            .holds
            .iter()
            .filter(|(_, hold)| hold.lapses_at <= now)
            .map(|(task, hold)| TaskAttempt {
                task: task.clone(),
                attempt: hold.attempt,
            })
            .collect();
        for id in lapsed {
            self.release_hold(&id);
        }
    }

    /// Holds capacity for one task; returns whether it is held.
    fn hold_task(&mut self, rack: &GroupEpoch, task: &TaskStart, now: Instant) -> bool {
        self.release_hold(&task.id);
        let usable = self.lease_state == LeaseState::Confirmed && !self.is_closed(&task.id);
        if !usable || !self.has_capacity(task) || self.holds.contains_key(&task.id.task) {
            return false;
        }
        self.fleet
            .charge(&task.worker, &hold_key(&task.id), task.resources);
        let hold = Hold {
            attempt: task.id.attempt,
            group: rack.group.clone(),
            lapses_at: now + self.settings.hold,
        };
        self.holds.insert(task.id.task.clone(), hold);
        true
    }

    /// Returns whether the worker accepts tasks and has enough free capacity for this one.
    pub(crate) fn has_capacity(&self, task: &TaskStart) -> bool {
        self.fleet
            .get(&task.worker)
            .is_some_and(|worker| worker.accepting && task.resources.fits_in(&worker.free()))
    }

    /// Releases the hold of an attempt, if there is one for just this attempt.
    pub(crate) fn release_hold(&mut self, id: &TaskAttempt) {
        if self.holds.get(&id.task).map(|hold| hold.attempt) == Some(id.attempt) {
            self.holds.remove(&id.task);
            self.fleet.release(&hold_key(id));
        }
    }

    /// Returns a reply with the current view of the rack.
    pub(crate) fn rack_reply(
        &self,
        rack: &GroupEpoch,
        answers: Vec<crate::TaskAnswer>,
        held: bool,
    ) -> Reply {
        Reply::Rack {
            answers,
            held,
            view: self.view(&rack.group),
        }
    }
}

/// Returns the key under which the fleet holds the charge of a hold.
fn hold_key(id: &TaskAttempt) -> TaskId {
    format_smolstr!("{}#{}#held", id.task, id.attempt)
}
