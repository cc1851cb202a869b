//! Everything that the specification of the journal knows at one moment.

use jackdawchute_ports::CommitOutcome;

use super::{
    instance::{Holding, Instance, Intent, Message, Work},
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
    /// The clock of every process and worker.
    pub now: u64,
    /// The platform's table.
    pub table: ModelTable,
    /// The instances.
    pub instances: [Instance; 2],
    /// Commits in the network, with the number of their sender.
    pub commits: Vec<(usize, Message)>,
    /// Effects in the network.
    pub effects: Vec<Intent>,
    /// The intents whose effect took place, in order.
    pub done: Vec<Intent>,
    /// What the journal holds by every commit that took effect: the truth to adopt.
    pub truth: Option<Intent>,
    /// Which instance's callers were told that their request did not run.
    pub refused: [bool; 2],
    /// How often the group was given up.
    pub releases: u8,
    /// Whether the task has ended and is not wanted again.
    pub has_ended: bool,
    /// How many effects the network delivered a second time.
    pub doubled: u8,
    /// What went wrong.
    pub violation: Option<Violation>,
}

/// A broken invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// A task runs on two workers, or a worker runs more than it can hold.
    TwoPlaces,
    /// A non-idempotent request ran twice.
    RanTwice,
    /// A request ran although its caller was told that it did not.
    RefusedAndRan,
    /// An owner's state differs from what the journal acknowledged.
    StateLost,
    /// An entry was reported as refused, and the journal holds it.
    RefusedAndJournaled,
}

impl World {
    /// Two instances that the table knows; the first one owns the group, which is empty.
    pub fn new() -> Self {
        let mut world = Self {
            now: 0,
            table: ModelTable::default(),
            instances: [Instance::new("a"), Instance::new("b")],
            commits: Vec::new(),
            effects: Vec::new(),
            done: Vec::new(),
            truth: None,
            refused: [false; 2],
            releases: 0,
            has_ended: false,
            doubled: 0,
            violation: None,
        };
        world.join(0);
        world.join(1);
        world.own(0);
        world
    }

    fn join(&mut self, number: usize) {
        self.instances[number].send(CommitPlan::default(), Work::Renewal);
        self.take_effect(number);
    }

    fn own(&mut self, number: usize) {
        let row = claimed_row(&GroupRow::default(), &self.instances[number].id);
        let epoch = row.epoch;
        let claim = GroupWrite {
            group: GROUP.into(),
            expected: 0,
            row,
            change: GroupChange::Claim,
        };
        let plan = CommitPlan {
            groups: vec![claim],
            ..CommitPlan::default()
        };
        self.instances[number].send(plan, Work::Claim(epoch));
        self.take_effect(number);
        self.instances[number].holding = Holding::Complete(epoch);
    }

    fn take_effect(&mut self, number: usize) {
        let me = &mut self.instances[number];
        let Some(sending) = me.sending.take() else {
            return;
        };
        if let CommitOutcome::Committed { version } = self.table.apply(&sending.commit.0) {
            me.own_version = version;
            me.own_row = sending.row;
            me.writes = 0;
        }
    }

    /// The network keeps no order, so worlds that differ only in it are the same.
    pub fn normalize(&mut self) {
        self.effects.sort();
        self.commits
            .sort_by(|a, b| (a.0, &a.1 .0.write_id).cmp(&(b.0, &b.1 .0.write_id)));
    }

    /// Whether the task runs on a worker.
    pub fn runs_on(&self, worker: usize) -> bool {
        self.done.iter().any(|intent| intent.worker == worker)
    }
}

impl Default for World {
    fn default() -> Self {
        Self::new()
    }
}
