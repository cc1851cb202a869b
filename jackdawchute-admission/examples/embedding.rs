//! Admission control of a function: `cargo run -p jackdawchute-admission --example embedding`.
//!
//! Three threads share a policy behind a mutex; each takes the item that goes next, calls the
//! function and releases the unit. A thread without an item sleeps on a condition variable.

use std::{
    process::ExitCode,
    sync::{Condvar, Mutex, PoisonError},
    time::{Duration, Instant},
};

use jackdawchute_admission::{AdmissionPolicy, ClassLimits, FairShare, Limits, WorkItem};

const THREADS: u32 = 3;
const CALLS: u64 = 60;
const QUEUE_MAX: usize = 40;
const DEADLINE: Duration = Duration::from_secs(5);

/// The function that may run at most [`THREADS`] times concurrently.
fn quote(order: u64) -> u64 {
    (0..200_000).fold(order, |hash, step| hash.wrapping_mul(31).wrapping_add(step))
}

/// A policy that threads share, and whether it is closed to new items.
struct Gate {
    policy: Mutex<(FairShare, bool)>,
    changed: Condvar,
}

impl Gate {
    fn new() -> Self {
        let class = |priority, floor_percent| ClassLimits {
            priority,
            queue_max: QUEUE_MAX,
            floor_percent,
            deadline: DEADLINE,
        };
        let mut policy = FairShare::default();
        policy.set_limits(Limits {
            classes: [
                ("counter".into(), class(0, 60)),
                ("overnight".into(), class(1, 40)),
            ]
            .into(),
            ..Limits::default()
        });
        policy.set_capacity(THREADS);
        Self {
            policy: Mutex::new((policy, false)),
            changed: Condvar::new(),
        }
    }

    /// Changes the policy and wakes the waiting threads.
    fn change<T>(&self, change: impl FnOnce(&mut FairShare, &mut bool) -> T) -> T {
        let mut guard = self.policy.lock().unwrap_or_else(PoisonError::into_inner);
        let (policy, closed) = &mut *guard;
        let result = change(policy, closed);
        self.changed.notify_all();
        result
    }

    /// Waits for the next item; returns `None` when the gate is closed and the queues are empty.
    fn take(&self) -> Option<WorkItem> {
        let mut guard = self.policy.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(item) = guard.0.next(Instant::now()) {
                return Some(item);
            }
            if guard.1 && guard.0.queued().is_empty() {
                return None;
            }
            guard = self
                .changed
                .wait(guard)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Calls the function for each item; returns the number of calls.
    fn work(&self) -> u64 {
        let mut calls = 0;
        while let Some(item) = self.take() {
            let begin = Instant::now();
            std::hint::black_box(quote(item.id));
            self.change(|policy, _| policy.release(&item, begin.elapsed()));
            calls += 1;
        }
        calls
    }
}

fn main() -> ExitCode {
    let gate = Gate::new();
    let mut refused = 0;
    let answered: u64 = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(|| gate.work())).collect();
        for id in 0..CALLS {
            let now = Instant::now();
            let item = WorkItem {
                id,
                class: if id % 2 == 0 { "counter" } else { "overnight" }.into(),
                team: "almaty".into(),
                arrived: now,
                deadline: Some(now + DEADLINE),
                cost: 1,
            };
            if let Err(refusal) = gate.change(|policy, _| policy.offer(item, now)) {
                println!("call {id}: refused, {}: {}", refusal.reason, refusal.detail);
                refused += 1;
            }
        }
        gate.change(|_, closed| *closed = true);
        threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .sum()
    });
    println!("answered {answered}, refused {refused} of {CALLS}");
    if answered + refused == CALLS {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
