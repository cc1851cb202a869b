//! Measures the processor time of an owner's decisions on a request, by the number of minions and
//! holders.
//!
//! `cargo run --release -p jackdawchute-requests --example grant_cost` prints, for each size, the
//! mean time of acquiring and releasing a grant while every slot is in use and calls wait.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_admission::{ClassLimits, FairShare};
use jackdawchute_ownership::{Directory, GroupEvent};
use jackdawchute_ports::{Member, MemberRole, MemberState, MembershipList};
use jackdawchute_requests::{
    service_group, Acquire, AppendOutcome, Call, Complete, Effect, Grant, GrantOutcome, Reply,
    Settings, State,
};
use jackdawchute_types::IncarnationId;
use smol_str::format_smolstr;

/// The slots of each minion.
const SLOTS: u32 = 8;
/// How many calls are measured for each size.
const DECISIONS: u64 = 100_000;
/// How many calls wait for a slot.
const WAITING: u64 = 500;
/// The numbers of minions and holders that are measured.
const SIZES: [(u16, u16); 4] = [(17, 7), (50, 7), (100, 50), (400, 100)];

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn minions(count: u16) -> MembershipList {
    let minion = |index| Member {
        id: format_smolstr!("m{index}"),
        address: address(index),
        failure_domain: "ala-1".into(),
        state: MemberState::Live,
        role: MemberRole::Minion {
            service: "repair-desk".into(),
            slots: SLOTS,
            connections: 64,
        },
    };
    MembershipList {
        version: 1,
        members: (0..count).map(minion).collect(),
    }
}

fn settings() -> Settings {
    let mut settings = Settings::default();
    let class = ClassLimits {
        priority: 0,
        queue_max: 10_000,
        floor_percent: 50,
        deadline: Duration::from_secs(60),
    };
    settings.limits.classes.insert("counter".into(), class);
    settings.grants.hold_back_slots = SLOTS;
    settings
}

/// Returns the state of an owner with registered holders.
fn owner(minion_count: u16, holders: &[IncarnationId], now: Instant) -> State {
    let policy = Box::new(|| Box::<FairShare>::default() as _);
    let mut state = State::new("h0".into(), Arc::new(settings()), policy);
    state.set_membership(&minions(minion_count), now);
    let directory = Directory {
        incarnations: holders.iter().cloned().zip((1..).map(address)).collect(),
        ..Directory::default()
    };
    state.set_directory(Arc::new(directory), now);
    let claimed = GroupEvent::Claimed {
        group: service_group(&"repair-desk".into(), &"ala-1".into()),
        epoch: 1,
        entries: Arc::default(),
        fenced_owner: None,
    };
    for effect in state.group_event(claimed, now) {
        if let Effect::RegisterHolders {
            group,
            epoch,
            holders,
        } = effect
        {
            state.holders_appended(&group, epoch, &holders, AppendOutcome::Journaled, now);
        }
    }
    state
}

fn acquire(holder: &IncarnationId) -> Call {
    Call::Acquire(Acquire {
        group: service_group(&"repair-desk".into(), &"ala-1".into()),
        service: "repair-desk".into(),
        class: "counter".into(),
        team: "almaty".into(),
        idempotent: true,
        key: None,
        digest: 0,
        deadline: Duration::from_secs(60),
        holder: holder.clone(),
        failed_on: Vec::new(),
    })
}

fn collect(effects: Vec<Effect>, granted: &mut VecDeque<(u64, Grant)>) {
    for effect in effects {
        if let Effect::Reply {
            call,
            result: Ok(Reply::Granted(grant)),
        } = effect
        {
            granted.push_back((call, grant));
        }
    }
}

/// Returns the mean time of acquiring and releasing a grant, in nanoseconds.
fn measure(minion_count: u16, holder_count: u16) -> f64 {
    let now = Instant::now();
    let holders: Vec<IncarnationId> = (0..holder_count)
        .map(|index| format_smolstr!("h{index}"))
        .collect();
    let mut state = owner(minion_count, &holders, now);
    let mut granted = VecDeque::new();
    let holder_of = |call: u64| &holders[call as usize % holders.len()];
    let initial_calls = u64::from(minion_count) * u64::from(SLOTS) + WAITING;
    for call in 0..initial_calls {
        let effects = state.incoming(call, acquire(holder_of(call)), now);
        collect(effects, &mut granted);
    }
    let started_at = Instant::now();
    for call in initial_calls..initial_calls + DECISIONS {
        let effects = state.incoming(call, acquire(holder_of(call)), now);
        collect(effects, &mut granted);
        let Some((granted_call, grant)) = granted.pop_front() else {
            continue;
        };
        let complete = Call::Complete(Complete {
            group: grant.group,
            grant: grant.id,
            epoch: grant.epoch,
            holder: holder_of(granted_call).clone(),
            outcome: GrantOutcome::Answered { answer: None },
        });
        let effects = state.incoming(u64::MAX, complete, now);
        collect(effects, &mut granted);
    }
    started_at.elapsed().as_nanos() as f64 / DECISIONS as f64
}

fn main() {
    println!("{:>8} {:>8} {:>10}", "minions", "holders", "ns");
    for (minions, holders) in SIZES {
        println!(
            "{minions:>8} {holders:>8} {:>10.0}",
            measure(minions, holders)
        );
    }
}
