//! The specification of the journal: ownership, effects, takeover, handover, lost answers, pauses
//! and late delivery.
//!
//! A pause is a step that is not taken while others are: nothing forces an instance to send what it
//! may send before any other step happens. A crash is a pause that never ends, since a restarted
//! process is a new incarnation.

use std::time::{Duration, Instant};

use super::world::{Violation, World};

/// How long after its decision a start may arrive, in ticks.
pub(super) const START_TICKS: u64 = 0;
/// How long a row must be unchanged before it is fenced, in ticks.
pub(super) const TAKEOVER_TICKS: u64 = 1;

/// What kind of effect the only key stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectKind {
    /// A task that a worker starts; the first instance chooses worker 0, the second worker 1.
    Task,
    /// A non-idempotent request to a minion, which runs every request that arrives.
    Request,
}

/// The guards of the protocol; the search shows that each is necessary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// An effect waits for the commit that journals its intent.
    pub intent_first: bool,
    /// A commit is conditional on the version of its sender's row.
    pub own_version_condition: bool,
    /// A lost answer is not taken as a success.
    pub no_assumed_success: bool,
    /// A lost answer is not taken as a failure.
    pub no_assumed_failure: bool,
    /// A worker refuses a start after the intent's `not_after`, and a successor waits until then.
    pub start_deadline: bool,
    /// Only entries of the epochs in `inherited` count in a replay.
    pub source_epochs: bool,
    /// A fence is conditional on the version of the row that was seen unchanged.
    pub fence_version_condition: bool,
    /// A request with an open intent is not sent again.
    pub no_resend: bool,
}

impl Guards {
    /// All guards, as the ownership task has them.
    pub const ALL: Self = Self {
        intent_first: true,
        own_version_condition: true,
        no_assumed_success: true,
        no_assumed_failure: true,
        start_deadline: true,
        source_epochs: true,
        fence_version_condition: true,
        no_resend: true,
    };
}

/// The scenario and the bounds of one search.
#[derive(Clone, Copy, Debug)]
pub struct JournalSpec {
    /// The kind of effect.
    pub kind: EffectKind,
    /// The guards that are switched on.
    pub guards: Guards,
    /// The last tick.
    pub ticks_max: u64,
    /// How many commits each instance may make.
    pub commits_max: [u64; 2],
    /// How often a commit is sent at most.
    pub attempts_max: u8,
    /// How often the group is released at most.
    pub releases_max: u8,
    /// How many effects arrive twice at most.
    pub duplicates_max: u8,
    /// Whether answers of the table may be lost.
    pub loses_answers: bool,
    /// Whether a task may end, so that its entry is removed.
    pub tasks_end: bool,
    /// The only violation to look for; `None` for all.
    pub only_violation: Option<Violation>,
    /// Any instant; the ticks count from it.
    pub start: Instant,
}

impl JournalSpec {
    /// Returns every world that one step can lead to.
    pub fn next(&self, world: &World) -> Vec<World> {
        let mut next = Vec::new();
        if world.violation.is_some() {
            return next;
        }
        for number in 0..world.instances.len() {
            self.decide(world, number, &mut next);
            self.receive(world, number, &mut next);
        }
        self.deliver(world, &mut next);
        self.pass_time(world, &mut next);
        next.iter_mut().for_each(World::normalize);
        next
    }

    pub(super) fn report_violation(&self, world: &mut World, violation: Violation) {
        if self
            .only_violation
            .is_none_or(|only_violation| only_violation == violation)
        {
            world.violation.get_or_insert(violation);
        }
    }

    pub(super) fn instant(&self, tick: u64) -> Instant {
        self.start + Duration::from_secs(tick)
    }

    fn pass_time(&self, world: &World, next: &mut Vec<World>) {
        if world.now < self.ticks_max {
            let mut later = world.clone();
            later.now += 1;
            next.push(later);
        }
    }
}
