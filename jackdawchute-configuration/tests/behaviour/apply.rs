//! Operators' changes: of two made from the same version exactly one is accepted, and the outcome
//! of a change whose answer was lost can be determined.

use std::sync::Arc;

use jackdawchute_configuration::{
    apply::{apply, apply_above, Options, HISTORY_VERSIONS_MAX},
    history, Configuration, Error,
};
use jackdawchute_ports::Table;
use tokio::task::JoinSet;

use crate::fixtures::{change, configuration, table_at, Fault, FaultyTable};

async fn accepted_configuration(table: &dyn Table) -> Configuration {
    let newest = history::version(table, None).await;
    newest.expect("the table has an accepted version")
}

#[tokio::test]
async fn an_operator_who_loses_a_race_gets_the_winners_version_and_author() {
    let table = table_at(1).await;
    table.set_rival_change(change(1, "bogdan"));

    let result = apply(&table, change(1, "carmen")).await;

    assert_eq!(result, Err(Error::Superseded(2, "bogdan".into())));
    assert_eq!(accepted_configuration(&table).await.author, "bogdan");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn exactly_one_of_many_concurrent_changes_is_accepted() {
    const OPERATORS: usize = 16;
    let table = Arc::new(table_at(1).await);
    let mut tasks = JoinSet::new();

    for operator in 0..OPERATORS {
        let table = Arc::clone(&table);
        let options = change(1, &format!("operator-{operator}"));
        tasks.spawn(async move { apply(&*table, options).await });
    }
    let results = tasks.join_all().await;

    let winner = accepted_configuration(&*table).await.author;
    let superseded = Err(Error::Superseded(2, winner));
    assert_eq!(results.iter().filter(|it| it.is_ok()).count(), 1);
    assert_eq!(
        results.iter().filter(|it| **it == superseded).count(),
        OPERATORS - 1
    );
}

#[tokio::test]
async fn a_change_made_from_an_old_version_is_refused_with_the_newest_version() {
    let table = table_at(3).await;

    let result = apply(&table, change(1, "carmen")).await;

    assert_eq!(result, Err(Error::Superseded(3, "ana".into())));
}

#[tokio::test]
async fn a_commit_that_took_effect_is_accepted_after_its_answers_were_lost() {
    let table = table_at(1).await;
    table.set_commit_faults(&[Fault::AnswerLost, Fault::AnswerLost]);

    let outcome = apply(&table, change(1, "bogdan")).await;

    assert_eq!(outcome.map(|it| it.configuration.version), Ok(2));
    assert_eq!(accepted_configuration(&table).await.version, 2);
}

#[tokio::test]
async fn a_commit_without_effect_or_answer_is_sent_again() {
    let table = table_at(1).await;
    table.set_commit_faults(&[Fault::RequestLost]);

    let outcome = apply(&table, change(1, "bogdan")).await;

    assert_eq!(outcome.map(|it| it.configuration.version), Ok(2));
    assert_eq!(accepted_configuration(&table).await.author, "bogdan");
}

#[tokio::test]
async fn a_lost_commit_whose_repetition_conflicts_with_a_rival_is_superseded() {
    let table = table_at(1).await;
    table.set_rival_change(change(1, "carmen"));
    table.set_commit_faults(&[Fault::RequestLost]);

    let result = apply(&table, change(1, "bogdan")).await;

    assert_eq!(result, Err(Error::Superseded(2, "carmen".into())));
}

#[tokio::test]
async fn an_unknown_outcome_is_determined_by_applying_again_with_the_same_write_id() {
    let table = table_at(1).await;
    table.set_commit_faults(&[Fault::AnswerLost, Fault::RequestLost, Fault::Down]);

    let first = apply(&table, change(1, "bogdan")).await;
    let again = apply(&table, change(1, "bogdan")).await;

    assert!(matches!(first, Err(Error::OutcomeUnknown(id, _)) if id == "bogdan-1"));
    assert_eq!(again.map(|it| it.configuration.version), Ok(2));
    assert_eq!(accepted_configuration(&table).await.version, 2);
}

/// The table may have deleted the write id by then, so the history row must show the outcome.
#[tokio::test]
async fn a_repeated_change_is_found_in_the_history_after_a_later_change() {
    let table = table_at(1).await;
    let first = change(1, "bogdan");
    let later = change(2, "carmen");
    apply(&table, first.clone())
        .await
        .expect("the change is made from the accepted version");
    apply(&table, later)
        .await
        .expect("the change is made from the accepted version");

    let again = apply(&table, first).await;

    assert_eq!(again.map(|it| it.configuration.version), Ok(2));
    assert_eq!(accepted_configuration(&table).await.author, "carmen");
}

#[tokio::test]
async fn no_change_is_accepted_while_the_table_is_down() {
    let table = table_at(1).await;
    table.set_down(true);

    let result = apply(&table, change(1, "bogdan")).await;

    assert!(matches!(result, Err(Error::Table(..))));
    table.set_down(false);
    assert_eq!(accepted_configuration(&table).await.version, 1);
}

#[tokio::test]
async fn a_candidate_with_problems_and_a_blank_reason_changes_nothing() {
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
    assert_eq!(accepted_configuration(&table).await.version, 1);
}

#[tokio::test]
async fn the_history_has_author_reason_and_time_and_a_bounded_number_of_versions() {
    let table = table_at(HISTORY_VERSIONS_MAX + 2).await;

    let all_entries = history::Options {
        entries_max: u64::MAX,
    };
    let outcome = history::history(&table, all_entries).await;

    let entries = outcome.expect("the table has no fault").entries;
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
async fn a_first_version_is_accepted_only_into_an_empty_table() {
    let table = FaultyTable::default();

    let first = apply(&table, change(0, "ana")).await;
    let second = apply(&table, change(0, "bogdan")).await;

    assert_eq!(first.map(|it| it.configuration.version), Ok(1));
    assert_eq!(second, Err(Error::Superseded(1, "ana".into())));
    assert_eq!(
        accepted_configuration(&table).await.routes,
        configuration(1).routes
    );
}

#[tokio::test]
async fn after_a_table_lost_its_rows_the_next_version_is_above_the_one_in_use() {
    let table = FaultyTable::default();

    let too_low = apply_above(&table, change(0, "ana"), 7).await;
    let accepted = apply_above(&table, change(7, "ana"), 7).await;

    assert!(matches!(too_low, Err(Error::Refused(_))));
    assert_eq!(accepted.map(|it| it.configuration.version), Ok(8));
}
