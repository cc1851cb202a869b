//! Holds for gangs: counted as used capacity, all tasks or none, lapsing by themselves.

use std::time::Instant;

use jackdawchute_ownership::LeaseState;
use jackdawchute_types::{Refusal, TaskId};
use smol_str::format_smolstr;

use crate::{
    rack::state::{Held, RackGroups},
    GroupEpoch, Reply, TaskAttempt, TaskStart,
};

impl RackGroups {
    /// Holds capacity for all the tasks, or for none.
    ///
    /// # Errors
    /// Refuses calls for another epoch; nothing is held then.
    pub fn hold(
        &mut self,
        rack: &GroupEpoch,
        tasks: &[TaskStart],
        now: Instant,
    ) -> Result<Reply, Refusal> {
        self.check_epoch(rack)?;
        let held = tasks.iter().all(|task| self.hold_one(rack, task, now));
        if !held {
            for task in tasks {
                self.release_hold(&task.id);
            }
        }
        Ok(self.answer(rack, Vec::new(), held))
    }

    /// Gives holds back.
    ///
    /// # Errors
    /// Refuses calls for another epoch.
    pub fn release(&mut self, rack: &GroupEpoch, tasks: &[TaskAttempt]) -> Result<Reply, Refusal> {
        self.check_epoch(rack)?;
        for task in tasks {
            self.release_hold(task);
        }
        Ok(self.answer(rack, Vec::new(), false))
    }

    /// Drops holds that lapsed.
    pub(crate) fn lapse_holds(&mut self, now: Instant) {
        let lapsed: Vec<TaskAttempt> = self
            .held
            .iter()
            .filter(|(_, held)| held.lapses <= now)
            .map(|(task, held)| TaskAttempt {
                task: task.clone(),
                attempt: held.attempt,
            })
            .collect();
        for id in lapsed {
            self.release_hold(&id);
        }
    }

    fn hold_one(&mut self, rack: &GroupEpoch, task: &TaskStart, now: Instant) -> bool {
        self.release_hold(&task.id);
        let usable = self.lease_state == LeaseState::Confirmed && !self.is_closed(&task.id);
        if !usable || !self.has_room(task) || self.held.contains_key(&task.id.task) {
            return false;
        }
        self.fleet
            .charge(&task.worker, &hold_key(&task.id), task.resources);
        let held = Held {
            attempt: task.id.attempt,
            group: rack.group.clone(),
            lapses: now + self.settings.hold,
        };
        self.held.insert(task.id.task.clone(), held);
        true
    }

    /// Whether the worker takes tasks and has room beyond all charges.
    pub(crate) fn has_room(&self, task: &TaskStart) -> bool {
        self.fleet
            .get(&task.worker)
            .is_some_and(|slot| slot.accepting && task.resources.fits_in(&slot.free()))
    }

    pub(crate) fn release_hold(&mut self, id: &TaskAttempt) {
        if self.held.get(&id.task).map(|held| held.attempt) == Some(id.attempt) {
            self.held.remove(&id.task);
            self.fleet.release(&hold_key(id));
        }
    }

    pub(crate) fn answer(
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

fn hold_key(id: &TaskAttempt) -> TaskId {
    format_smolstr!("{}#{}#held", id.task, id.attempt)
}
