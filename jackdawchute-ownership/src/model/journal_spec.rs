//! Ownership, journal, effects, takeover, handover, lost answers, pauses and late delivery.
//!
//! A pause is a step that is not taken while others are: nothing forces an instance to send what
//! it may send, before any other step happens. A crash is a pause without end, since a restarted
//! process is a new incarnation.

use std::time::{Duration, Instant};

use super::world::{Violation, World};

/// How long after its decision a start may arrive, in ticks.
pub(super) const START_TICKS: u64 = 0;
/// How long a row stands still before it is fenced, in ticks.
pub(super) const TAKEOVER_TICKS: u64 = 1;

/// What the only key stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A task that a worker starts; worker 0 is taken by the first instance, 1 by the second.
    Task,
    /// A non-idempotent request to a minion, which runs whatever arrives.
    Request,
}

/// What protects the invariants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// An effect waits for the commit that journals its intent.
    pub intent: bool,
    /// A commit depends on the version of its sender's row.
    pub fence: bool,
    /// A lost answer is not taken as a success.
    pub no_assumed_success: bool,
    /// A lost answer is not taken as a failure.
    pub no_assumed_failure: bool,
    /// A worker refuses a start after its instant, and a successor waits that long.
    pub not_after: bool,
    /// Only entries of the epochs in `inherited` count.
    pub source_epochs: bool,
    /// A fence depends on the version of the row that stood still.
    pub fence_version: bool,
    /// A request with an open intent is not sent again.
    pub no_resend: bool,
}

impl Guards {
    /// Everything that the product does.
    pub const ALL: Self = Self {
        intent: true,
        fence: true,
        no_assumed_success: true,
        no_assumed_failure: true,
        not_after: true,
        source_epochs: true,
        fence_version: true,
        no_resend: true,
    };
}

/// The bounds of one search.
#[derive(Clone, Copy, Debug)]
pub struct JournalSpec {
    /// What is asked for.
    pub kind: Kind,
    /// What protects it.
    pub guards: Guards,
    /// The last tick.
    pub ticks_max: u64,
    /// The commits of each instance.
    pub writes_max: [u64; 2],
    /// How often a commit is sent.
    pub attempts_max: u8,
    /// How often the group is given up.
    pub releases_max: u8,
    /// How many effects arrive twice.
    pub doubled_max: u8,
    /// Whether answers are lost.
    pub loses_answers: bool,
    /// Whether a task may end, so that its entry is forgotten.
    pub tasks_end: bool,
    /// The only violation that counts, or none for all.
    pub wanted: Option<Violation>,
    /// Any instant; the ticks count from it.
    pub start: Instant,
}

impl JournalSpec {
    /// Every world that one step can lead to.
    pub fn next(&self, world: &World) -> Vec<World> {
        let mut next = Vec::new();
        if world.violation.is_some() {
            return next;
        }
        for number in 0..world.instances.len() {
            self.decide(world, number, &mut next);
            self.learn(world, number, &mut next);
        }
        self.network(world, &mut next);
        self.pass_time(world, &mut next);
        next.iter_mut().for_each(World::normalize);
        next
    }

    pub(super) fn note(&self, world: &mut World, violation: Violation) {
        if self.wanted.is_none_or(|wanted| wanted == violation) {
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
