//! Accepts a new version by compare-and-swap.

use std::time::SystemTime;

use jackdawchute_ports::{
    Commit, CommitOutcome, Condition, Error as PlatformError, Row, RowVersion, Table, Write,
    WriteId,
};
use jackdawchute_types::ConfigurationVersion;
use jackdawchute_yaml::{Problem, Problems};
use smol_str::SmolStr;

use crate::{
    rows::{history_key, Stored},
    Configuration, Error, Result, CURRENT_KEY,
};

/// The number of versions that the history retains.
pub const HISTORY_VERSIONS_MAX: u64 = 1_000;
/// How many times a commit is sent under its write id while its outcome is unknown.
const COMMIT_ATTEMPTS_MAX: u32 = 3;

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub struct Options {
    /// The new content; its `version` names the accepted version that it was made from, 0 for the
    /// first of all.
    pub candidate: Configuration,
    /// The operator who makes the change; required.
    pub author: SmolStr,
    /// Why the operator makes the change; required.
    pub reason: String,
    /// The id of the change, which must be unique; applying the change again with the same id
    /// returns the outcome of the first time.
    pub write_id: WriteId,
    /// The time of the change, as the history shows it.
    pub written: SystemTime,
}

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The accepted configuration, with its new version.
    pub configuration: Configuration,
    /// The table version of the commit that accepted the configuration.
    pub table_version: RowVersion,
}

/// Checks the candidate and makes it the accepted version, unless another one was accepted since
/// the version that the candidate was made from.
///
/// ```
/// use std::time::SystemTime;
///
/// use jackdawchute_configuration::{apply::{apply, Options}, Configuration};
/// use jackdawchute_ports::MemoryTable;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), jackdawchute_configuration::Error> {
/// let options = Options {
///     candidate: Configuration { version: 0, ..Configuration::embedded()? },
///     author: "ana".into(),
///     reason: "first version".into(),
///     write_id: "w1".into(),
///     written: SystemTime::now(),
/// };
/// let outcome = apply(&MemoryTable::default(), options).await?;
/// assert_eq!(outcome.configuration.version, 1);
/// # Ok(())
/// # }
/// ```
///
/// # Errors
/// Every error but [`Error::OutcomeUnknown`] means that nothing changed.
pub async fn apply(table: &dyn Table, options: Options) -> Result<Outcome> {
    apply_above(table, options, 0).await
}

/// Does the same as [`apply`] for an instance that uses `known_version`: the new version is above
/// that, even if the table lost its rows or was restored from an older copy.
///
/// # Errors
/// The same as those of [`apply`].
pub async fn apply_above(
    table: &dyn Table,
    options: Options,
    known_version: ConfigurationVersion,
) -> Result<Outcome> {
    let row = read_row(table, "read accepted configuration", CURRENT_KEY).await?;
    let current = row.as_ref().map(decode_row).transpose()?.flatten();
    let base_version = options.candidate.version;
    let accepted_version = current.as_ref().map_or(0, |it| it.configuration.version);
    if accepted_version > base_version {
        return resolve_earlier_write(table, &options, base_version + 1).await;
    }
    let row_version = row.map_or(0, |row| row.version);
    let newest_version = accepted_version.max(known_version);
    let accepted = check_candidate(current.as_ref(), &options, newest_version)?;
    let commit = build_commit(&accepted, row_version)?;
    commit_with_retries(table, commit, accepted, &options).await
}

/// Checks that the candidate may follow `current`, and returns it with the version after
/// `newest_version`.
fn check_candidate(
    current: Option<&Stored>,
    options: &Options,
    newest_version: ConfigurationVersion,
) -> Result<Stored> {
    let empty = Configuration::default();
    let old = current.map_or(&empty, |stored| &stored.configuration);
    let mut problems = options.candidate.check();
    problems.extend(options.candidate.check_change(old));
    if options.candidate.version != newest_version {
        let rule = format!("must be {newest_version}, the newest one");
        problems.push(Problem::new("version", rule));
    }
    if options.author.trim().is_empty() {
        problems.push(Problem::new("author", "is required"));
    }
    if options.reason.trim().is_empty() {
        problems.push(Problem::new("reason", "is required"));
    }
    let configuration = Configuration {
        version: newest_version + 1,
        author: options.author.clone(),
        reason: options.reason.clone(),
        written: options.written,
        ..options.candidate.clone()
    };
    for problem in configuration.check() {
        if !problems.contains(&problem) {
            problems.push(problem);
        }
    }
    if !problems.is_empty() {
        return Err(Error::Refused(Problems(problems)));
    }
    Ok(Stored {
        write_id: options.write_id.clone(),
        configuration,
    })
}

/// Builds the transaction that replaces the current row, if it still has `row_version`, adds the
/// history row and deletes the history row that is beyond [`HISTORY_VERSIONS_MAX`].
fn build_commit(accepted: &Stored, row_version: RowVersion) -> Result<Commit> {
    let version = accepted.configuration.version;
    let value = accepted.encode()?;
    let mut writes = vec![
        Write {
            key: CURRENT_KEY.into(),
            value: Some(value.clone()),
        },
        Write {
            key: history_key(version),
            value: Some(value),
        },
    ];
    if let Some(expired) = version
        .checked_sub(HISTORY_VERSIONS_MAX)
        .filter(|it| *it > 0)
    {
        writes.push(Write {
            key: history_key(expired),
            value: None,
        });
    }
    Ok(Commit {
        write_id: accepted.write_id.clone(),
        conditions: vec![Condition {
            key: CURRENT_KEY.into(),
            version: row_version,
        }],
        writes,
    })
}

/// Sends a commit, and sends it again while its outcome is unknown: with the same write id it takes
/// effect at most once.
async fn commit_with_retries(
    table: &dyn Table,
    commit: Commit,
    accepted: Stored,
    options: &Options,
) -> Result<Outcome> {
    let mut unknown_cause = None;
    for _ in 0..COMMIT_ATTEMPTS_MAX {
        match table.commit(commit.clone()).await {
            Ok(CommitOutcome::Committed { version }) => {
                return Ok(Outcome {
                    configuration: accepted.configuration,
                    table_version: version,
                })
            }
            Ok(CommitOutcome::Conflict { .. }) => {
                let version = accepted.configuration.version;
                return match resolve_earlier_write(table, options, version).await {
                    Err(Error::Table(_, cause)) if unknown_cause.is_some() => {
                        Err(Error::OutcomeUnknown(options.write_id.clone(), cause))
                    }
                    resolved => resolved,
                };
            }
            Err(cause @ PlatformError::Unavailable(..)) if unknown_cause.is_none() => {
                return Err(Error::Table("apply configuration", cause))
            }
            Err(cause) => unknown_cause = Some(cause),
        }
    }
    let cause = unknown_cause.unwrap_or_else(|| {
        PlatformError::Unknown("apply configuration", "table".into(), "no attempt".into())
    });
    Err(Error::OutcomeUnknown(options.write_id.clone(), cause))
}

/// Finds out whether an earlier attempt of this change, whose answer was lost, wrote `version` into
/// the history; returns that outcome, or [`Error::Superseded`] if another change wrote it.
async fn resolve_earlier_write(
    table: &dyn Table,
    options: &Options,
    version: ConfigurationVersion,
) -> Result<Outcome> {
    let row = read_row(table, "read winning version", &history_key(version)).await?;
    let recorded = row.as_ref().map(decode_row).transpose()?.flatten();
    if let Some(applied) = recorded.filter(|it| it.write_id == options.write_id) {
        return Ok(Outcome {
            configuration: applied.configuration,
            table_version: row.map_or(0, |row| row.version),
        });
    }
    let row = read_row(table, "read winning version", CURRENT_KEY).await?;
    let winner = row.as_ref().map(decode_row).transpose()?.flatten();
    let winner = winner
        .map(|stored| stored.configuration)
        .unwrap_or_default();
    Err(Error::Superseded(winner.version, winner.author))
}

fn decode_row(row: &Row) -> Result<Option<Stored>> {
    Stored::decode("apply configuration", row)
}

async fn read_row(table: &dyn Table, step: &'static str, key: &str) -> Result<Option<Row>> {
    table
        .read(key)
        .await
        .map_err(|cause| Error::Table(step, cause))
}
