//! Reports of rack owners that reach a home owner which may have a successor.

mod fixtures;

use std::time::Duration;

use fixtures::{
    home::{answers, at, claimed, homes, now, HOME},
    rack::attempt_id,
};
use jackdawchute_jobs::{
    effect::Now, home::HomeGroups, AttemptEnd, AttemptState, Reply, TaskEvent,
};
use jackdawchute_ownership::LeaseState;

/// Reports the end of a task that the home owner does not know; returns whether that is
/// acknowledged.
fn acknowledges_unknown_end(homes: &mut HomeGroups, now: Now) -> bool {
    let ended = TaskEvent {
        id: attempt_id("j-0", 1),
        state: AttemptState::Ended(AttemptEnd::Succeeded),
    };
    let effects = homes.report(1, &HOME.into(), &[ended], now);
    let answer = answers(&effects)[0];
    matches!(answer, Ok(Reply::Acknowledged))
}

/// The rack owner forgets what is acknowledged, and the successor waits for it for ever.
#[test]
fn a_home_owner_that_may_have_a_successor_acknowledges_no_end_of_a_task_that_it_does_not_know() {
    for (lease_state, acknowledged) in [
        (LeaseState::Confirmed, true),
        (LeaseState::StoreDown, true),
        (LeaseState::CutOff, false),
        (LeaseState::Fenced, false),
    ] {
        let now = now();
        let mut homes = homes(now);
        homes.set_lease_state(lease_state);

        let answered = acknowledges_unknown_end(&mut homes, now);

        assert_eq!(answered, acknowledged, "{lease_state:?}");
    }
}

/// The lease state that it knows may be that of before the pause.
#[test]
fn a_home_owner_that_was_paused_acknowledges_nothing_until_a_new_lease_state_can_have_arrived() {
    let start = now();
    let after = |seconds| at(start.instant, Duration::from_secs_f64(seconds));
    let mut homes = claimed(1, &[], start);
    homes.tick(start);

    let resumed = acknowledges_unknown_end(&mut homes, after(10.0));
    homes.tick(after(10.0));
    let ticked = acknowledges_unknown_end(&mut homes, after(10.5));
    homes.tick(after(10.9));
    homes.tick(after(11.0));
    let later = acknowledges_unknown_end(&mut homes, after(11.0));

    assert_eq!((resumed, ticked, later), (false, false, true));
}
