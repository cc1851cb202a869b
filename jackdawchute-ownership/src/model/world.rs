//! The complete state of the journal specification at one moment.

use jackdawchute_ports::CommitOutcome;

use super::{
    instance::{CommitPurpose, GroupPhase, Instance, Intent, SharedCommit},
    table::ModelTable,
};
use crate::{
    plan::{CommitPlan, GroupChange, GroupWrite},
    replay::claimed_row,
    rows::GroupRow,
};

/// The only group.
pub const GROUP: &str = "g";

/// One state of the search.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// The clock that all processes and workers share, in ticks.
    pub now: u64,
    /// The platform's table.
    pub table: ModelTable,
    /// The instances.
    pub instances: [Instance; 2],
    /// The commits in the network, each with the index of its sender.
    pub commits: Vec<(usize, SharedCommit)>,
    /// The effects in the network.
    pub effects: Vec<Intent>,
    /// The intents whose effects took place, in order.
    pub executed: Vec<Intent>,
    /// The group's intent according to all commits that took effect; a new owner must find it.
    pub journaled: Option<Intent>,
    /// Whether each instance has told its callers that their request did not run.
    pub refused: [bool; 2],
    /// How often the group was released.
    pub release_count: u8,
    /// Whether the task has ended and needs no further start.
    pub task_ended: bool,
    /// How many effects the network has delivered a second time.
    pub duplicate_count: u8,
    /// The first violated invariant, if any.
    pub violation: Option<Violation>,
}

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// The task runs on both workers.
    TwoPlaces,
    /// A non-idempotent request ran twice.
    RanTwice,
    /// A request ran although its caller was told that it did not.
    RefusedAndRan,
    /// A new owner's state differs from what the journal acknowledged.
    StateLost,
    /// An entry was reported as refused although the journal holds it.
    RefusedAndJournaled,
}

impl World {
    /// Returns the initial world: two instances with rows in the table, the first of which owns the
    /// group, which has no entries.
    pub fn new() -> Self {
        let mut world = Self {
            now: 0,
            table: ModelTable::default(),
            instances: [Instance::new("a"), Instance::new("b")],
            commits: Vec::new(),
            effects: Vec::new(),
            executed: Vec::new(),
            journaled: None,
            refused: [false; 2],
            release_count: 0,
            task_ended: false,
            duplicate_count: 0,
            violation: None,
        };
        world.join(0);
        world.join(1);
        world.claim(0);
        world
    }

    /// Commits the first renewal of an instance.
    fn join(&mut self, number: usize) {
        self.instances[number].send(CommitPlan::default(), CommitPurpose::Renewal);
        self.commit_now(number);
    }

    /// Makes an instance the owner of the empty group.
    fn claim(&mut self, number: usize) {
        let row = claimed_row(&GroupRow::default(), &self.instances[number].id);
        let epoch = row.epoch;
        let claim = GroupWrite {
            group: GROUP.into(),
            expected_version: 0,
            row,
            change: GroupChange::Claim,
        };
        let plan = CommitPlan {
            groups: vec![claim],
            ..CommitPlan::default()
        };
        self.instances[number].send(plan, CommitPurpose::Claim(epoch));
        self.commit_now(number);
        self.instances[number].group_phase = GroupPhase::Complete(epoch);
    }

    /// Applies the pending commit of an instance to the table, without the network.
    fn commit_now(&mut self, number: usize) {
        let me = &mut self.instances[number];
        let Some(pending) = me.pending.take() else {
            return;
        };
        if let CommitOutcome::Committed { version } = self.table.apply(&pending.commit.0) {
            me.own_row_version = version;
            me.own_row = pending.row;
            me.commit_count = 0;
        }
    }

    /// Sorts the messages in the network: it delivers them in any order, so worlds that differ only
    /// in the order of messages are the same.
    pub fn normalize(&mut self) {
        self.effects.sort();
        self.commits
            .sort_by(|a, b| (a.0, &a.1 .0.write_id).cmp(&(b.0, &b.1 .0.write_id)));
    }

    /// Whether the task runs on a worker.
    pub fn runs_on(&self, worker: usize) -> bool {
        self.executed.iter().any(|intent| intent.worker == worker)
    }
}

impl Default for World {
    fn default() -> Self {
        Self::new()
    }
}
