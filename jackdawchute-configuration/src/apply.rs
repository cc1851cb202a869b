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

/// How many versions the history keeps.
pub const HISTORY_VERSIONS_MAX: u64 = 1_000;
/// How often a commit is repeated under its write id after a lost answer.
const COMMIT_ATTEMPTS_MAX: u32 = 3;

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub struct Options {
    /// The new content; its `version` names the accepted version that it was made from, 0 for the
    /// first of all.
    pub candidate: Configuration,
    /// Who asks.
    pub author: SmolStr,
    /// Why.
    pub reason: String,
    /// Names this change, unique for each; the same again finds out the first one's fate.
    pub write_id: WriteId,
    /// The time to write into the history.
    pub written: SystemTime,
}

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The accepted version.
    pub configuration: Configuration,
    /// The table's version at the commit that brought it.
    pub table_version: RowVersion,
}

/// Checks the candidate and makes it the accepted version, unless another one was accepted since.
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
/// All but [`Error::OutcomeUnknown`] mean that nothing changed.
pub async fn apply(table: &dyn Table, options: Options) -> Result<Outcome> {
    apply_above(table, options, 0).await
}

/// As [`apply`], for an instance that uses `known_version`: the new version is above that, even if
/// the table lost its rows or was restored from an older copy.
///
/// # Errors
/// As those of [`apply`].
pub async fn apply_above(
    table: &dyn Table,
    options: Options,
    known_version: ConfigurationVersion,
) -> Result<Outcome> {
    let row = read(table, "read accepted configuration", CURRENT_KEY).await?;
    let current = row.as_ref().map(stored).transpose()?.flatten();
    let base = options.candidate.version;
    let accepted_version = current.as_ref().map_or(0, |it| it.configuration.version);
    if accepted_version > base {
        return fate_of_earlier_write(table, &options, base + 1).await;
    }
    let row_version = row.map_or(0, |row| row.version);
    let newest = accepted_version.max(known_version);
    let accepted = accept(current.as_ref(), &options, newest)?;
    let commit = commit(&accepted, row_version)?;
    commit_until_known(table, commit, accepted, &options).await
}

/// Decides whether the candidate may follow `current`, and gives it with the version after
/// `newest`.
fn accept(
    current: Option<&Stored>,
    options: &Options,
    newest: ConfigurationVersion,
) -> Result<Stored> {
    let none = Configuration::default();
    let old = current.map_or(&none, |stored| &stored.configuration);
    let mut problems = options.candidate.check();
    problems.extend(options.candidate.check_change(old));
    if options.candidate.version != newest {
        let rule = format!("must be {newest}, the newest one");
        problems.push(Problem::new("version", rule));
    }
    if options.author.trim().is_empty() {
        problems.push(Problem::new("author", "is required"));
    }
    if options.reason.trim().is_empty() {
        problems.push(Problem::new("reason", "is required"));
    }
    let configuration = Configuration {
        version: newest + 1,
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

/// The current row, its history row and the end of the oldest one, all in one transaction.
fn commit(accepted: &Stored, row_version: RowVersion) -> Result<Commit> {
    let version = accepted.configuration.version;
    let value = accepted.write()?;
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
    if let Some(oldest) = version
        .checked_sub(HISTORY_VERSIONS_MAX)
        .filter(|it| *it > 0)
    {
        writes.push(Write {
            key: history_key(oldest),
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

/// Repeats a commit whose answer was lost: under the same write id it takes effect once at most.
async fn commit_until_known(
    table: &dyn Table,
    commit: Commit,
    accepted: Stored,
    options: &Options,
) -> Result<Outcome> {
    let mut lost = None;
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
                return match fate_of_earlier_write(table, options, version).await {
                    Err(Error::Table(_, cause)) if lost.is_some() => {
                        Err(Error::OutcomeUnknown(options.write_id.clone(), cause))
                    }
                    fate => fate,
                };
            }
            Err(cause @ PlatformError::Unavailable(..)) if lost.is_none() => {
                return Err(Error::Table("apply configuration", cause))
            }
            Err(cause) => lost = Some(cause),
        }
    }
    let cause = lost.unwrap_or_else(|| {
        PlatformError::Unknown("apply configuration", "table".into(), "no attempt".into())
    });
    Err(Error::OutcomeUnknown(options.write_id.clone(), cause))
}

/// Whether `version` was brought by this very change, whose answer was lost, or by another.
async fn fate_of_earlier_write(
    table: &dyn Table,
    options: &Options,
    version: ConfigurationVersion,
) -> Result<Outcome> {
    let row = read(table, "read winning version", &history_key(version)).await?;
    let kept = row.as_ref().map(stored).transpose()?.flatten();
    if let Some(own) = kept.filter(|kept| kept.write_id == options.write_id) {
        return Ok(Outcome {
            configuration: own.configuration,
            table_version: row.map_or(0, |row| row.version),
        });
    }
    let row = read(table, "read winning version", CURRENT_KEY).await?;
    let winner = row.as_ref().map(stored).transpose()?.flatten();
    let winner = winner
        .map(|stored| stored.configuration)
        .unwrap_or_default();
    Err(Error::Superseded(winner.version, winner.author))
}

fn stored(row: &Row) -> Result<Option<Stored>> {
    Stored::read("apply configuration", row)
}

async fn read(table: &dyn Table, step: &'static str, key: &str) -> Result<Option<Row>> {
    table
        .read(key)
        .await
        .map_err(|cause| Error::Table(step, cause))
}
