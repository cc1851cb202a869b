//! `jackdawchute config wait`.

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

/// How long an instance may not know of another that joined; a version must be in force for as
/// long before it counts as in force everywhere.
const DIRECTORY_LAG: Duration = Duration::from_millis(3_000);
/// The time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long to wait unless the command line says otherwise, in milliseconds.
const TIMEOUT_MS: u64 = 30_000;

/// The command.
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
    let timeout = Duration::from_millis(timeout.unwrap_or(TIMEOUT_MS));
    let api = OperatorsApi::from_matches(matches)?;
    block_on(wait_for(&api, version, timeout))
}

async fn wait_for(
    api: &OperatorsApi,
    version: ConfigurationVersion,
    timeout: Duration,
) -> Result<()> {
    let start = Instant::now();
    let mut seen: Option<Seen> = None;
    loop {
        let reported = reported(&api.status().await?);
        let outcome = in_force(WaitOptions {
            version,
            reported: &reported,
        });
        match outcome {
            Outcome::InForce => {
                let now = Instant::now();
                let incarnations: BTreeSet<_> = reported.into_keys().collect();
                let first = seen
                    .take()
                    .filter(|seen| seen.incarnations == incarnations)
                    .unwrap_or(Seen {
                        since: now,
                        incarnations,
                    });
                if now - first.since >= DIRECTORY_LAG {
                    first.print(version, start);
                    return Ok(());
                }
                seen = Some(first);
            }
            Outcome::Lagging { incarnations } if start.elapsed() >= timeout => {
                return Err(Error::Refused("wait for version", describe(&incarnations)));
            }
            Outcome::Lagging { .. } => seen = None,
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The incarnations at which the version was in force, and since when.
struct Seen {
    since: Instant,
    incarnations: BTreeSet<IncarnationId>,
}

impl Seen {
    fn print(&self, version: ConfigurationVersion, start: Instant) {
        let instances = self.incarnations.len();
        let after_ms = (self.since - start).as_millis();
        println!("version {version} in force at {instances} instances after {after_ms} ms");
    }
}

/// The versions in the table, and the asked instance's own, which is newer.
fn reported(status: &InstanceStatus) -> BTreeMap<IncarnationId, ConfigurationVersion> {
    let known = status.incarnations.iter();
    let mut reported: BTreeMap<_, _> = known
        .map(|(id, other)| (id.clone(), other.configuration_version.unwrap_or_default()))
        .collect();
    if let Some(own) = reported.get_mut(&status.incarnation) {
        *own = status.configuration_version.unwrap_or_default();
    }
    reported
}

fn describe(lagging: &[Lagging]) -> String {
    if lagging.is_empty() {
        return "the instance does not know any incarnation yet".to_owned();
    }
    let lines = lagging
        .iter()
        .map(|it| format!("{} applies version {}", it.incarnation, it.version));
    format!(
        "not in force everywhere\n{}",
        lines.collect::<Vec<_>>().join("\n")
    )
}
