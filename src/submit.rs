//! `jackdawchute submit`: submits, awaits or cancels a job.

use std::{net::SocketAddr, time::Duration};

use getopts::{Matches, Options};
use jackdawchute_jobs::JobStatus;
use jackdawchute_types::{JobId, JobKind, JobSpec, JobState};

use crate::{http_api::CallersApi, runtime::block_on, Command, Error, Result};

/// The default address of the callers' listener of a local instance.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7080";
/// The time between two calls for the status of an awaited job.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The `submit` command.
pub(crate) const COMMAND: Command = Command {
    brief: "Submits the job in FILE (YAML or JSON), or cancels one.\n\n\
            Usage: jackdawchute submit [--address IP:PORT] [--wait] FILE\n       \
            jackdawchute submit [--address IP:PORT] --cancel ID",
    options: add_options,
    action: submit,
};

fn add_options(options: &mut Options) {
    options.optopt(
        "a",
        "address",
        "the callers' listener of an instance",
        "IP:PORT",
    );
    options.optflag(
        "w",
        "wait",
        "wait until the job has ended, or a service runs",
    );
    options.optopt("c", "cancel", "cancel the job instead", "ID");
}

fn submit(matches: &Matches) -> Result<()> {
    let address = matches
        .opt_str("address")
        .unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
    let address: SocketAddr = address
        .parse()
        .map_err(|_| Error::Usage(format!("`--address {address}` is no IP:PORT")))?;
    block_on(run(matches, &CallersApi::new(address)))
}

async fn run(matches: &Matches, api: &CallersApi) -> Result<()> {
    if let Some(id) = matches.opt_str("cancel") {
        print(&api.cancel(&JobId::new(id)).await?);
        return Ok(());
    }
    let [path] = matches.free.as_slice() else {
        return Err(Error::Usage("one FILE is needed".to_owned()));
    };
    let text = std::fs::read_to_string(path).map_err(|cause| Error::Read(path.clone(), cause))?;
    let spec: JobSpec = serde_yaml_ng::from_str(&text)
        .map_err(|error| Error::Refused("read job", error.to_string()))?;
    let is_service = spec.kind == JobKind::Service;
    let mut job = api.submit(text).await?;
    if matches.opt_present("wait") {
        while job.state == JobState::Queued || job.state == JobState::Running && !is_service {
            tokio::time::sleep(POLL_INTERVAL).await;
            job = api.status(&job.id).await?;
        }
    }
    print(&job);
    match job.state {
        JobState::Failed | JobState::Refused => Err(Error::Refused(
            "run job",
            format!("{:?}", job.state).to_lowercase(),
        )),
        _ => Ok(()),
    }
}

fn print(job: &JobStatus) {
    println!("{}", serde_json::to_string_pretty(job).unwrap_or_default());
}
