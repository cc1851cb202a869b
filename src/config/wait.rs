//! `jackdawchute config wait`: waits until a version is in force at every instance.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use getopts::{Matches, Options};
use jackdawchute_configuration::wait::{in_force, Lagging, Options as WaitOptions, Outcome};
use jackdawchute_types::{ConfigurationVersion, IncarnationId};

use super::number;
use crate::{
    operators_api, operators_api::OperatorsApi, runtime::block_on, status::InstanceStatus, Command,
    Error, Result,
};

/// How long it may take until an instance knows of another one that joined. A version counts as in
/// force everywhere only after it has been in force at the same incarnations for this long.
const DIRECTORY_LAG: Duration = Duration::from_millis(3_000);
/// The time between two calls for the status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The default of `--timeout-ms` in milliseconds; its help text repeats it.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// The `config wait` command.
pub(super) const COMMAND: Command = Command {
    brief: "Waits until every unfenced instance applies VERSION or a higher one; else names \
            those that lag.\n\n\
            Usage: jackdawchute config wait [--address IP:PORT] [--timeout-ms N] VERSION",
    options: add_options,
    action: wait,
};

fn add_options(options: &mut Options) {
    operators_api::add_options(options);
    options.optopt("m", "timeout-ms", "how long to wait (30000)", "N");
}

fn wait(matches: &Matches) -> Result<()> {
    let [version] = matches.free.as_slice() else {
        return Err(Error::Usage("one VERSION is needed".to_owned()));
    };
    let version = number("VERSION", version)?;
    let timeout = matches.opt_str("timeout-ms");
    let timeout = timeout
        .map(|text| number("--timeout-ms", &text))
        .transpose()?;
    let timeout = Duration::from_millis(timeout.unwrap_or(DEFAULT_TIMEOUT_MS));
    let api = OperatorsApi::from_matches(matches)?;
    block_on(wait_for(&api, version, timeout))
}

/// Polls the instance until the version is in force everywhere.
///
/// # Errors
/// The instance did not answer, or the version was not in force before the timeout.
async fn wait_for(
    api: &OperatorsApi,
    version: ConfigurationVersion,
    timeout: Duration,
) -> Result<()> {
    let start = Instant::now();
    let mut in_force_since: Option<InForceSince> = None;
    loop {
        let reported_versions = reported_versions(&api.status().await?);
        let outcome = in_force(WaitOptions {
            version,
            reported: &reported_versions,
        });
        match outcome {
            Outcome::InForce => {
                let now = Instant::now();
                let incarnations: BTreeSet<_> = reported_versions.into_keys().collect();
                let current = in_force_since
                    .take()
                    .filter(|previous| previous.incarnations == incarnations)
                    .unwrap_or(InForceSince {
                        since: now,
                        incarnations,
                    });
                if now - current.since >= DIRECTORY_LAG {
                    current.print(version, start);
                    return Ok(());
                }
                in_force_since = Some(current);
            }
            Outcome::Lagging { incarnations } if start.elapsed() >= timeout => {
                return Err(Error::Refused("wait for version", describe(&incarnations)));
            }
            Outcome::Lagging { .. } => in_force_since = None,
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The incarnations at which the version is in force, and when that was first seen.
struct InForceSince {
    since: Instant,
    incarnations: BTreeSet<IncarnationId>,
}

impl InForceSince {
    /// Prints after how long the version was in force everywhere.
    fn print(&self, version: ConfigurationVersion, start: Instant) {
        let instances = self.incarnations.len();
        let after_ms = (self.since - start).as_millis();
        println!("version {version} in force at {instances} instances after {after_ms} ms");
    }
}

/// Returns the version that each incarnation applies, as last read from the table; for the called
/// instance the version of its status, which is newer.
fn reported_versions(status: &InstanceStatus) -> BTreeMap<IncarnationId, ConfigurationVersion> {
    let known = status.incarnations.iter();
    let mut reported_versions: BTreeMap<_, _> = known
        .map(|(id, row)| (id.clone(), row.configuration_version.unwrap_or_default()))
        .collect();
    if let Some(own_version) = reported_versions.get_mut(&status.incarnation) {
        *own_version = status.configuration_version.unwrap_or_default();
    }
    reported_versions
}

fn describe(lagging: &[Lagging]) -> String {
    if lagging.is_empty() {
        return "the instance does not know any incarnation yet".to_owned();
    }
    let lines = lagging
        .iter()
        .map(|entry| format!("{} applies version {}", entry.incarnation, entry.version));
    format!(
        "not in force everywhere\n{}",
        lines.collect::<Vec<_>>().join("\n")
    )
}
