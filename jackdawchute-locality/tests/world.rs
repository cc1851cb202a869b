//! What waits gain in a small world: one rack with busy slots, tasks that want it, and room for all
//! of them far away. A task's time counts from the moment at which it could start far away.

use std::time::Duration;

use jackdawchute_locality::{decide, Decision, NearRoom, Unit};

const NEAR_TIME: Duration = Duration::from_secs(6);
const FAR_TIME: Duration = Duration::from_secs(12);
const TICK: Duration = Duration::from_millis(10);

/// How long a task with so many others before it waits, at most.
trait Policy {
    fn wait(&self, expected: &[Duration], tasks_before: usize) -> Duration;
}

/// The decisions of the crate.
struct ByGain;

impl Policy for ByGain {
    fn wait(&self, expected: &[Duration], tasks_before: usize) -> Duration {
        let unit = Unit {
            near_time: NEAR_TIME,
            far_time: FAR_TIME,
            slack: Some(Duration::from_secs(10)),
            wait_max: Duration::from_secs(2),
        };
        let room = NearRoom {
            expected: expected.to_vec(),
            needed: tasks_before + 1,
        };
        match decide(&unit, &[room]) {
            Decision::StartHere => Duration::ZERO,
            Decision::Wait { at_most, .. } => at_most,
        }
    }
}

/// The same wait for all, as in delay scheduling.
struct FixedDelay(Duration);

impl Policy for FixedDelay {
    fn wait(&self, _expected: &[Duration], _tasks_before: usize) -> Duration {
        self.0
    }
}

fn no_wait() -> FixedDelay {
    FixedDelay(Duration::ZERO)
}

fn fixed_delay() -> FixedDelay {
    FixedDelay(Duration::from_millis(1_500))
}

struct World {
    tasks: usize,
    /// When the runs on the rack end.
    ends_ms: Vec<u64>,
    /// The expected over the actual time of each end.
    estimate_factor: f64,
    /// When the rack fails, which ends all waits for it.
    fails_at: Option<Duration>,
}

impl World {
    fn new(tasks: usize, ends_ms: &[u64]) -> Self {
        Self {
            tasks,
            ends_ms: ends_ms.to_vec(),
            estimate_factor: 1.0,
            fails_at: None,
        }
    }

    /// Returns the mean seconds that a task takes.
    fn mean_seconds(&self, policy: &dyn Policy) -> f64 {
        let end = |end_ms: &u64| Duration::from_millis(*end_ms);
        let ends: Vec<Duration> = self.ends_ms.iter().map(end).collect();
        let expected: Vec<Duration> = ends
            .iter()
            .map(|end| end.mul_f64(self.estimate_factor))
            .collect();
        let mut waits = Vec::new();
        let mut total = Duration::ZERO;
        for _ in 0..self.tasks {
            match policy.wait(&expected, waits.len()) {
                Duration::ZERO => total += FAR_TIME,
                wait => waits.push(wait),
            }
        }
        let mut now = Duration::ZERO;
        let mut freed = 0;
        while !waits.is_empty() {
            let failed = self.fails_at.is_some_and(|fails_at| now >= fails_at);
            while !failed && freed < ends.len() && ends[freed] <= now && !waits.is_empty() {
                freed += 1;
                waits.remove(0);
                total += now + NEAR_TIME;
            }
            let waiting = waits.len();
            waits.retain(|wait| *wait > now && !failed);
            total += (now + FAR_TIME) * (waiting - waits.len()) as u32;
            now += TICK;
        }
        total.as_secs_f64() / self.tasks as f64
    }
}

#[test]
fn near_room_that_comes_soon_is_waited_for() {
    let world = World::new(1, &[400]);

    let seconds = world.mean_seconds(&ByGain);

    assert!(seconds < 6.5, "{seconds}");
}

#[test]
fn near_room_that_comes_late_costs_less_than_with_a_fixed_delay() {
    let world = World::new(1, &[15_000]);

    let seconds = [
        world.mean_seconds(&ByGain),
        world.mean_seconds(&fixed_delay()),
    ];

    assert_eq!(seconds, [12.0, 13.5]);
}

#[test]
fn near_room_that_never_comes_costs_two_seconds_at_most() {
    let world = World {
        estimate_factor: 0.001,
        ..World::new(1, &[600_000])
    };

    let lost = world.mean_seconds(&ByGain) - world.mean_seconds(&no_wait());

    assert!(lost <= 2.0, "{lost}");
}

#[test]
fn of_ten_tasks_that_want_a_rack_only_those_wait_for_which_room_comes() {
    let world = World::new(10, &[200, 400, 600]);

    let by_gain = world.mean_seconds(&ByGain);
    let others = [
        world.mean_seconds(&no_wait()),
        world.mean_seconds(&fixed_delay()),
    ];

    assert!(
        others.iter().all(|seconds| by_gain < *seconds),
        "{by_gain} {others:?}"
    );
}

#[test]
fn a_rack_that_fails_costs_no_more_than_the_time_until_then() {
    let world = World {
        fails_at: Some(Duration::from_millis(300)),
        ..World::new(2, &[500, 700])
    };

    let lost = world.mean_seconds(&ByGain) - world.mean_seconds(&no_wait());

    assert!(lost <= 0.31, "{lost}");
}

#[test]
fn estimates_wrong_by_three_times_in_both_directions_leave_a_gain() {
    let worlds = [1.0 / 3.0, 3.0].map(|estimate_factor| World {
        estimate_factor,
        ..World::new(10, &[100, 300, 500, 900, 1_500, 3_000])
    });

    let gains = worlds.map(|world| world.mean_seconds(&no_wait()) - world.mean_seconds(&ByGain));

    assert!(gains.iter().all(|gain| *gain > 0.0), "{gains:?}");
}
