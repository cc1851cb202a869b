//! Sends an open-loop load to entry instances and prints one line of JSON for each class.

use std::{net::SocketAddr, time::Duration};

use jackdawchute_standins::{
    balancer::{self, Pick, Target},
    caller::Caller,
    harness::wait_until,
    load::{start, summarize, Plan},
    program::{ProgramOption, ProgramOptions},
    Error, Result,
};

const OPTIONS: &[ProgramOption] = &[
    ProgramOption {
        name: "plan",
        help: "YAML file with the classes, rates and paths of the load",
        default: None,
    },
    ProgramOption {
        name: "entry",
        help: "addresses of an instance as CALLERS,OPERATORS; may be repeated",
        default: None,
    },
    ProgramOption {
        name: "duration-ms",
        help: "duration in milliseconds that replaces the plan's; 0 keeps it",
        default: Some("0"),
    },
    ProgramOption {
        name: "seed",
        help: "seed that replaces the plan's; empty keeps it",
        default: Some(""),
    },
];

#[tokio::main]
async fn main() -> Result<()> {
    let Some(options) = ProgramOptions::parse(OPTIONS)? else {
        return Ok(());
    };
    let plan = plan(&options)?;
    let entries = options.all("entry");
    let targets: Vec<Target> = entries
        .iter()
        .map(|entry| target(entry))
        .collect::<Result<_>>()?;
    let balancer = balancer::spawn(targets);
    wait_until("ready instance", || async {
        balancer.send(Pick).await.ok().flatten()
    })
    .await?;
    let finished = start(&plan, Caller::new()?, balancer).finish().await;
    for summary in summarize(&finished) {
        println!("{}", serde_json::to_string(&summary).unwrap_or_default());
    }
    Ok(())
}

fn plan(options: &ProgramOptions) -> Result<Plan> {
    let path: String = options.get("plan")?;
    let text = std::fs::read_to_string(&path)
        .map_err(|cause| Error::Io("read load plan", path.clone(), cause))?;
    let mut plan = Plan::parse(&text)?;
    let duration = Duration::from_millis(options.get("duration-ms")?);
    if !duration.is_zero() {
        plan.duration = duration;
    }
    if !options.get::<String>("seed")?.is_empty() {
        plan.seed = options.get("seed")?;
    }
    Ok(plan)
}

fn target(text: &str) -> Result<Target> {
    let address = |text: &str| -> Option<SocketAddr> { text.parse().ok() };
    let target = text.split_once(',').and_then(|(callers, operators)| {
        Some(Target {
            callers: address(callers)?,
            operators: address(operators)?,
        })
    });
    let problem = || {
        Error::Invalid(
            "read command line",
            text.into(),
            "expected two addresses as CALLERS,OPERATORS".into(),
        )
    };
    target.ok_or_else(problem)
}
