//! The fault-injecting TCP proxy as a program.

use jackdawchute_standins::{
    program::{announce, wait_for_end_signal, ProgramOption, ProgramOptions},
    proxy::{control_routes, spawn_proxy},
    Result,
};
use jackdawchute_trial::Listening;

const OPTIONS: &[ProgramOption] = &[
    ProgramOption {
        name: "target",
        help: "address of the server",
        default: None,
    },
    ProgramOption {
        name: "listen",
        help: "address that clients connect to",
        default: Some("127.0.0.1:0"),
    },
    ProgramOption {
        name: "control",
        help: "address of the listener that sets faults",
        default: Some("127.0.0.1:0"),
    },
];

#[tokio::main]
async fn main() -> Result<()> {
    let Some(options) = ProgramOptions::parse(OPTIONS)? else {
        return Ok(());
    };
    let proxy = spawn_proxy(options.get("listen")?, Some(options.get("target")?)).await?;
    let control = options.get("control")?;
    let control = Listening::bind(control, control_routes(proxy.task.clone())).await?;
    announce(&[("proxy", proxy.address), ("control", control.address())]);
    wait_for_end_signal().await
}
