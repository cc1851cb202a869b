//! The membership list as a program.

use std::time::Duration;

use jackdawchute_ports::Member;
use jackdawchute_standins::{
    membership::{control_routes, spawn_membership},
    program::{announce, wait_for_end_signal, ProgramOption, ProgramOptions},
    Error, Result,
};
use jackdawchute_trial::Listening;

const OPTIONS: &[ProgramOption] = &[
    ProgramOption {
        name: "members",
        help: "YAML or JSON file with the initial members",
        default: Some(""),
    },
    ProgramOption {
        name: "lag-ms",
        help: "time in milliseconds before changes become visible",
        default: Some("0"),
    },
    ProgramOption {
        name: "listen",
        help: "address of the listener that serves the list",
        default: Some("127.0.0.1:0"),
    },
    ProgramOption {
        name: "control",
        help: "address of the listener that changes the list",
        default: Some("127.0.0.1:0"),
    },
];

#[tokio::main]
async fn main() -> Result<()> {
    let Some(options) = ProgramOptions::parse(OPTIONS)? else {
        return Ok(());
    };
    let lag = Duration::from_millis(options.get("lag-ms")?);
    let membership = spawn_membership(options.get("listen")?, lag).await?;
    let path: String = options.get("members")?;
    if !path.is_empty() {
        membership.set(read_members(&path)?).await?;
    }
    let control = options.get("control")?;
    let control = Listening::bind(control, control_routes(membership.task.clone())).await?;
    announce(&[
        ("membership", membership.address),
        ("control", control.address()),
    ]);
    wait_for_end_signal().await
}

fn read_members(path: &str) -> Result<Vec<Member>> {
    let text = std::fs::read_to_string(path)
        .map_err(|cause| Error::Io("read members", path.into(), cause))?;
    serde_yaml_ng::from_str(&text)
        .map_err(|cause| Error::Invalid("read members", path.into(), cause.to_string()))
}
