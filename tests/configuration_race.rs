//! Operators change the configuration at the same time.

use std::time::{Duration, Instant, SystemTime};

use jackdawchute_configuration::{apply, Configuration, Error};
use jackdawchute_standins::{
    harness::{Cell, CellOptions},
    table::TableFaults,
};

/// How soon an accepted configuration is in force everywhere.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);

async fn cell() -> Cell {
    let options = CellOptions {
        entries: 3,
        ..CellOptions::new(env!("CARGO_BIN_EXE_jackdawchute"))
    };
    Cell::start(options).await.unwrap()
}

fn change(author: &str, deadline_max_s: u64) -> apply::Options {
    let options = CellOptions::new("");
    let mut candidate = Configuration::parse(&options.configuration).unwrap();
    candidate.version = 1;
    candidate.defaults.deadline_max = Duration::from_secs(deadline_max_s);
    apply::Options {
        candidate,
        author: author.into(),
        reason: format!("the longest deadline is {deadline_max_s} s"),
        write_id: format!("change-by-{author}").into(),
        written: SystemTime::now(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_conflicting_changes_wins_and_is_in_force_everywhere() {
    let cell = cell().await;
    let table = cell.operator_table().unwrap();

    let (ana, bek) = tokio::join!(
        apply::apply(&table, change("ana", 100)),
        apply::apply(&table, change("bek", 200)),
    );
    let accepted = Instant::now();
    cell.wait_until_in_force(2).await.unwrap();
    let in_force = accepted.elapsed();

    let (winner, loser) = match (&ana, &bek) {
        (Ok(_), Err(error)) => ("ana", error),
        (Err(error), Ok(_)) => ("bek", error),
        both => panic!("one wins and one loses: {both:?}"),
    };
    println!("in force everywhere after {} ms", in_force.as_millis());
    assert!(
        matches!(loser, Error::Superseded(2, author) if author == winner),
        "{loser:?}"
    );
    assert!(in_force < IN_FORCE_BOUND, "{in_force:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_answers_are_lost_is_accepted_once() {
    let cell = cell().await;
    let table = cell.operator_table().unwrap();
    let lossy = TableFaults {
        lose_commit_answers: 1,
        ..TableFaults::default()
    };
    cell.table
        .set_faults(Some("operator".into()), lossy)
        .await
        .unwrap();

    let outcome = apply::apply(&table, change("ana", 100)).await.unwrap();

    cell.wait_until_in_force(2).await.unwrap();
    assert_eq!(outcome.configuration.version, 2);
}
