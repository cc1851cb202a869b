//! Measures the time that decisions of home and rack owners take, without I/O:
//! `cargo run --release -p jackdawchute-jobs --example costs`.
//!
//! The sizes are fixed: 6,700 workers, 8 to a rack. A job of 10,000 tasks is submitted, assigned
//! and started; a successor recovers a journal with 10,000 open intents; 10,000 queued jobs are
//! cancelled.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_admission::{ClassLimits, FairShare, Limits};
use jackdawchute_jobs::{
    effect::{AfterAppend, AfterCall, Effect, Now, WorkerCall},
    home::HomeGroups,
    rack::RackGroups,
    rack_group, Call, Reply, Settings,
};
use jackdawchute_ownership::{Directory, EntryKey, LeaseState, Owner};
use jackdawchute_placement::ByKind;
use jackdawchute_ports::{
    Member, MemberRole, MemberState, MembershipList, StartOutcome, WorkerReport,
};
use jackdawchute_types::{Epoch, JobId, JobKind, JobSpec, Refusal, Resources};
use serde_json::json;
use smol_str::format_smolstr;

const WORKERS: usize = 6_700;
const WORKERS_PER_RACK: usize = 8;
const TASKS: u32 = 10_000;
const SEED: u64 = 7;
/// The epoch of the owner of every rack.
const RACK_EPOCH: Epoch = 1;

fn main() {
    let mut cell = Cell::new();
    let elapsed = cell.run_job();
    report("submit, assign and start a task", elapsed, TASKS);
    let elapsed = cell.recover_intents();
    report("adopt an intent", elapsed, TASKS);
    let elapsed = cell.cancel_queued_jobs();
    report("cancel a queued job", elapsed, TASKS);
    let elapsed = cell.tick_idle();
    report("tick with nothing to do", elapsed, 100);
}

/// Prints the time of each step and the rate, as text and as a line of JSON.
fn report(what: &str, elapsed: Duration, count: u32) {
    let each_us = elapsed.as_secs_f64() * 1e6 / f64::from(count);
    println!(
        "{what}: {each_us:.1} us each, {:.0} a second",
        1e6 / each_us
    );
    println!(
        "{}",
        json!({"what": what, "each_us": each_us, "count": count})
    );
}

fn settings() -> Settings {
    let class = ClassLimits {
        priority: 1,
        queue_max: 100_000,
        floor_percent: 0,
        deadline: Duration::ZERO,
    };
    Settings {
        partitions: 1,
        limits: Limits {
            classes: [("overnight".into(), class)].into(),
            quotas: Default::default(),
        },
        ..Settings::default()
    }
}

fn spec(tasks: u32, resources: Resources) -> JobSpec {
    JobSpec {
        kind: JobKind::Batch,
        class: "overnight".into(),
        team: "ovens".into(),
        tasks,
        resources,
        run_time: Duration::ZERO,
        deadline: Duration::ZERO,
        idempotency_key: None,
        command: "".into(),
    }
}

fn members() -> MembershipList {
    let member = |number: usize| Member {
        id: format_smolstr!("w{number:05}"),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "d1".into(),
        state: MemberState::Live,
        role: MemberRole::Worker {
            rack: format_smolstr!("r{:04}", number / WORKERS_PER_RACK),
            resources: Resources::new(32_000, 131_072, 2),
        },
    };
    MembershipList {
        version: 1,
        members: (0..WORKERS).map(member).collect(),
    }
}

fn now() -> Now {
    Now {
        instant: Instant::now(),
        unix: Duration::from_secs(1_000),
    }
}

/// One instance that owns the only home group and all racks.
struct Cell {
    homes: HomeGroups,
    racks: RackGroups,
    members: Arc<MembershipList>,
    /// The intents journaled so far.
    intents: Vec<(EntryKey, String)>,
}

impl Cell {
    fn new() -> Self {
        let members = Arc::new(members());
        let settings = Arc::new(settings());
        let mut racks = RackGroups::new(Arc::clone(&settings));
        let mut owners = std::collections::BTreeMap::new();
        for rack in 0..WORKERS.div_ceil(WORKERS_PER_RACK) {
            let group = rack_group(&format_smolstr!("r{rack:04}"));
            let owner = Owner {
                incarnation: "a".into(),
                epoch: RACK_EPOCH,
                peer_address: ([127, 0, 0, 1], 1).into(),
            };
            racks.claimed(
                &group,
                RACK_EPOCH,
                &[],
                false,
                &MembershipList::default(),
                Instant::now(),
            );
            owners.insert(group, owner);
        }
        racks.set_members(&members, Instant::now());
        racks.set_lease_state(LeaseState::Confirmed);
        let policy = Box::new(ByKind::default());
        let admission = Box::new(FairShare::with_headroom(0));
        let mut homes = HomeGroups::new(settings, policy, admission, SEED);
        homes.set_lease_state(LeaseState::Confirmed);
        homes.set_directory(Arc::new(Directory {
            owners,
            ..Directory::default()
        }));
        homes.set_members(Arc::clone(&members));
        homes.claimed(&"jobs/0".into(), 1, &[], now());
        let mut cell = Self {
            homes,
            racks,
            members,
            intents: Vec::new(),
        };
        cell.report_all();
        cell
    }

    /// Reports every worker as idle, so that it accepts tasks.
    fn report_all(&mut self) {
        let members = Arc::clone(&self.members);
        for member in &members.members {
            let report = WorkerReport {
                clock: Duration::from_secs(100),
                boot: "b".into(),
                tasks: Vec::new(),
            };
            self.racks
                .reported(&member.id, Some(report), Instant::now());
        }
    }

    /// Carries out effects at once: every append and every start succeeds.
    fn run_effects(&mut self, effects: Vec<Effect>) {
        let mut pending = effects;
        while let Some(effect) = pending.pop() {
            let more = match effect {
                Effect::Append { entries, after } => self.append(entries, after),
                Effect::Call { call, after, .. } => self.call(call, after),
                Effect::Worker {
                    worker,
                    call: WorkerCall::Start(start),
                } => {
                    let id = jackdawchute_jobs::TaskAttempt {
                        task: start.task,
                        attempt: start.attempt,
                    };
                    let started = Ok(StartOutcome::Started);
                    self.racks.started(&worker, &id, started, Instant::now());
                    Vec::new()
                }
                _ => Vec::new(),
            };
            pending.extend(more);
        }
    }

    fn append(
        &mut self,
        entries: Vec<jackdawchute_ownership::JournalEntry>,
        after: AfterAppend,
    ) -> Vec<Effect> {
        match after {
            AfterAppend::Accepted(id) => self.homes.accepted(&id, Ok(()), now()),
            AfterAppend::Cancelled(id) => self.homes.cancelled(&id, Ok(()), now()),
            AfterAppend::Assigned(id, tasks) => self.homes.assigned(&id, &tasks, Ok(()), now()),
            AfterAppend::Ended(call) => self.homes.ends_journaled(call, &entries, Ok(())),
            AfterAppend::Intents { rack, answers, .. } => {
                let intents = entries.into_iter();
                let intents = intents.filter_map(|entry| Some((entry.key, entry.value?)));
                self.intents.extend(intents);
                let ids = answers.iter().map(|answer| answer.id.clone()).collect();
                let effects = self
                    .racks
                    .intents_journaled(0, &rack, answers, true, Instant::now());
                self.pass_answers(effects, AfterCall::RackAnswered(RACK_EPOCH, ids))
            }
            AfterAppend::Lapsed(rack, ids) => {
                self.racks
                    .lapses_journaled(&rack, &ids, true, Instant::now())
            }
            AfterAppend::PredecessorNoted(_) | AfterAppend::Nothing => Vec::new(),
        }
    }

    /// Passes answers of the rack owner to the home owner; returns the other effects.
    fn pass_answers(&mut self, effects: Vec<Effect>, after: AfterCall) -> Vec<Effect> {
        let mut rest = Vec::new();
        for effect in effects {
            match (effect, &after) {
                (Effect::Answer { result, .. }, AfterCall::RackAnswered(epoch, ids)) => {
                    rest.extend(self.homes.rack_answered(*epoch, ids, Ok(result), now()));
                }
                (effect, _) => rest.push(effect),
            }
        }
        rest
    }

    fn call(&mut self, call: Call, after: AfterCall) -> Vec<Effect> {
        match call {
            Call::Start { rack, home, tasks } => {
                self.racks.start(0, &rack, &home, tasks, Instant::now())
            }
            Call::View { rack } => {
                let reply: Result<Reply, Refusal> = self.racks.release(&rack, &[]);
                let effects = vec![Effect::Answer {
                    call: 0,
                    result: reply,
                }];
                self.pass_answers(effects, after)
            }
            _ => Vec::new(),
        }
    }

    /// Submits the job and runs it until all tasks have an open intent.
    fn run_job(&mut self) -> Duration {
        let started_at = Instant::now();
        let spec = spec(TASKS, Resources::new(2_000, 4_096, 0));
        let effects = self.homes.submit(1, &"large".into(), spec, now());
        self.run_effects(effects);
        while self.racks.open_intents() < TASKS as usize {
            let effects = self.homes.tick(now());
            self.run_effects(effects);
        }
        started_at.elapsed()
    }

    /// Lets a successor recover all intents, as if they were of one rack.
    fn recover_intents(&mut self) -> Duration {
        let started_at = Instant::now();
        let mut racks = RackGroups::new(Arc::new(settings()));
        let intents = std::mem::take(&mut self.intents);
        let group = rack_group(&"r0000".into());
        let errors = racks.claimed(&group, 2, &intents, true, &self.members, Instant::now());
        assert!(errors.is_empty() && racks.open_intents() == TASKS as usize);
        started_at.elapsed()
    }

    /// Cancels jobs that wait: each needs two accelerators, of which the fleet has 13,400.
    fn cancel_queued_jobs(&mut self) -> Duration {
        let ids: Vec<JobId> = (0..TASKS)
            .map(|number| format_smolstr!("c{number}"))
            .collect();
        self.homes.set_lease_state(LeaseState::Confirmed);
        for id in &ids {
            self.homes
                .submit(1, id, spec(1, Resources::new(1_000, 1_024, 2)), now());
        }
        self.homes.set_lease_state(LeaseState::StoreDown);
        for id in &ids {
            self.homes.accepted(id, Ok(()), now());
        }
        self.homes.set_lease_state(LeaseState::Confirmed);
        let started_at = Instant::now();
        for id in &ids {
            let effects = self.homes.cancel(2, id);
            self.run_effects(effects);
        }
        started_at.elapsed()
    }

    /// Ticks both owners while nothing is due.
    fn tick_idle(&mut self) -> Duration {
        let started_at = Instant::now();
        for _ in 0..100 {
            let _ = self.homes.tick(now());
            let _ = self.racks.tick(Instant::now());
        }
        started_at.elapsed()
    }
}
