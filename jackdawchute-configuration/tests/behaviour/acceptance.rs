//! Operators' changes: exactly one of two wins, and a lost answer is resolved.

use std::sync::Arc;

use jackdawchute_configuration::{
    apply::{apply, apply_above, Options, HISTORY_VERSIONS_MAX},
    history, Configuration, Error,
};
use jackdawchute_ports::Table;
use tokio::task::JoinSet;

use crate::fixtures::{change, configuration, table_at, Fault, FaultyTable};

async fn accepted(table: &dyn Table) -> Configuration {
    let newest = history::version(table, None).await;
    newest.expect("a version was accepted")
}

#[tokio::test]
async fn the_operator_who_loses_a_race_learns_the_winners_version_and_author() {
    let table = table_at(1).await;
    table.set_rival(change(1, "bogdan"));

    let result = apply(&table, change(1, "carmen")).await;

    assert_eq!(result, Err(Error::Superseded(2, "bogdan".into())));
    assert_eq!(accepted(&table).await.author, "bogdan");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn of_many_racing_operators_exactly_one_wins() {
    const OPERATORS: usize = 16;
    let table = Arc::new(table_at(1).await);
    let mut tasks = JoinSet::new();

    for operator in 0..OPERATORS {
        let table = Arc::clone(&table);
        let options = change(1, &format!("operator-{operator}"));
        tasks.spawn(async move { apply(&*table, options).await });
    }
    let results = tasks.join_all().await;

    let winner = accepted(&*table).await.author;
    let told = Err(Error::Superseded(2, winner));
    assert_eq!(results.iter().filter(|it| it.is_ok()).count(), 1);
    assert_eq!(
        results.iter().filter(|it| **it == told).count(),
        OPERATORS - 1
    );
}

#[tokio::test]
async fn a_change_made_from_an_old_version_is_told_the_newest() {
    let table = table_at(3).await;

    let result = apply(&table, change(1, "carmen")).await;

    assert_eq!(result, Err(Error::Superseded(3, "ana".into())));
}

#[tokio::test]
async fn a_lost_answer_of_a_commit_that_took_effect_counts_as_accepted() {
    let table = table_at(1).await;
    table.set_commits(&[Fault::AnswerLost, Fault::AnswerLost]);

    let outcome = apply(&table, change(1, "bogdan")).await;

    assert_eq!(outcome.map(|it| it.configuration.version), Ok(2));
    assert_eq!(accepted(&table).await.version, 2);
}

#[tokio::test]
async fn a_lost_request_is_sent_again() {
    let table = table_at(1).await;
    table.set_commits(&[Fault::RequestLost]);

    let outcome = apply(&table, change(1, "bogdan")).await;

    assert_eq!(outcome.map(|it| it.configuration.version), Ok(2));
    assert_eq!(accepted(&table).await.author, "bogdan");
}

#[tokio::test]
async fn a_request_lost_before_a_rival_wins_is_told_the_winner() {
    let table = table_at(1).await;
    table.set_rival(change(1, "carmen"));
    table.set_commits(&[Fault::RequestLost]);

    let result = apply(&table, change(1, "bogdan")).await;

    assert_eq!(result, Err(Error::Superseded(2, "carmen".into())));
}

#[tokio::test]
async fn an_outcome_that_stays_unknown_is_found_out_under_its_write_id() {
    let table = table_at(1).await;
    table.set_commits(&[Fault::AnswerLost, Fault::RequestLost, Fault::Down]);

    let first = apply(&table, change(1, "bogdan")).await;
    let again = apply(&table, change(1, "bogdan")).await;

    assert!(matches!(first, Err(Error::OutcomeUnknown(id, _)) if id == "bogdan-1"));
    assert_eq!(again.map(|it| it.configuration.version), Ok(2));
    assert_eq!(accepted(&table).await.version, 2);
}

/// The table may have forgotten the write id; the history row has it.
#[tokio::test]
async fn an_own_change_is_found_after_later_ones() {
    let table = table_at(1).await;
    let own = change(1, "bogdan");
    let later = change(2, "carmen");
    apply(&table, own.clone())
        .await
        .expect("nothing hinders the change");
    apply(&table, later)
        .await
        .expect("nothing hinders the change");

    let again = apply(&table, own).await;

    assert_eq!(again.map(|it| it.configuration.version), Ok(2));
    assert_eq!(accepted(&table).await.author, "carmen");
}

#[tokio::test]
async fn nothing_is_accepted_while_the_table_is_down() {
    let table = table_at(1).await;
    table.set_down(true);

    let result = apply(&table, change(1, "bogdan")).await;

    assert!(matches!(result, Err(Error::Table(..))));
    table.set_down(false);
    assert_eq!(accepted(&table).await.version, 1);
}

#[tokio::test]
async fn a_candidate_with_problems_or_without_reason_changes_nothing() {
    let table = table_at(1).await;
    let mut options = Options {
        reason: " ".into(),
        ..change(1, "bogdan")
    };
    options.candidate.job_partitions = 7;
    options.candidate.routes[0].class = "nowhere".into();

    let result = apply(&table, options).await;

    let Err(Error::Refused(problems)) = result else {
        panic!("not refused: {result:?}");
    };
    let fields: Vec<_> = problems.0.iter().map(|it| it.field.as_str()).collect();
    assert_eq!(fields, ["routes[0].class", "job_partitions", "reason"]);
    assert_eq!(accepted(&table).await.version, 1);
}

#[tokio::test]
async fn the_history_says_who_when_and_why_and_stays_bounded() {
    let table = table_at(HISTORY_VERSIONS_MAX + 2).await;

    let all = history::Options {
        entries_max: u64::MAX,
    };
    let outcome = history::history(&table, all).await;

    let entries = outcome.expect("the table answers").entries;
    assert_eq!(entries.len() as u64, HISTORY_VERSIONS_MAX);
    assert_eq!(entries[0].version, HISTORY_VERSIONS_MAX + 2);
    assert_eq!(
        (&*entries[0].author, &*entries[0].reason),
        ("ana", "a test")
    );
    assert_eq!(entries[0].written, change(0, "ana").written);
    let rows = table.inner.changes("configuration/", 0).rows;
    assert_eq!(rows.len() as u64, HISTORY_VERSIONS_MAX + 1);
}

#[tokio::test]
async fn the_first_version_needs_an_empty_table() {
    let table = FaultyTable::default();

    let first = apply(&table, change(0, "ana")).await;
    let second = apply(&table, change(0, "bogdan")).await;

    assert_eq!(first.map(|it| it.configuration.version), Ok(1));
    assert_eq!(second, Err(Error::Superseded(1, "ana".into())));
    assert_eq!(accepted(&table).await.routes, configuration(1).routes);
}

#[tokio::test]
async fn a_table_that_lost_its_rows_gets_a_version_above_the_one_in_use() {
    let table = FaultyTable::default();

    let too_low = apply_above(&table, change(0, "ana"), 7).await;
    let accepted = apply_above(&table, change(7, "ana"), 7).await;

    assert!(matches!(too_low, Err(Error::Refused(_))));
    assert_eq!(accepted.map(|it| it.configuration.version), Ok(8));
}
