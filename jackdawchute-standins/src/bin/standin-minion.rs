//! A minion behind a fault-injecting proxy, as a program.

use std::time::Duration;

use jackdawchute_standins::{
    program::{announce, wait_for_end_signal, ProgramOption, ProgramOptions},
    proxy::{control_routes, spawn_proxy},
    Result,
};
use jackdawchute_trial::{
    minion::{ReadRecord, SetFailing},
    spawn_minion, Listening, MinionOptions,
};
use jackdawchute_types::MinionId;
use warp::Filter;

const OPTIONS: &[ProgramOption] = &[
    ProgramOption {
        name: "id",
        help: "id of the minion",
        default: None,
    },
    ProgramOption {
        name: "slots",
        help: "most requests that it should get at a time",
        default: Some("8"),
    },
    ProgramOption {
        name: "service-ms",
        help: "service time of a request that sets none",
        default: Some("0"),
    },
    ProgramOption {
        name: "listen",
        help: "address that it listens on",
        default: Some("127.0.0.1:0"),
    },
    ProgramOption {
        name: "control",
        help: "address of the listener that sets faults and serves the record",
        default: Some("127.0.0.1:0"),
    },
];

#[tokio::main]
async fn main() -> Result<()> {
    let Some(options) = ProgramOptions::parse(OPTIONS)? else {
        return Ok(());
    };
    let id: MinionId = options.get::<String>("id")?.into();
    let minion = spawn_minion(MinionOptions {
        service_time: Duration::from_millis(options.get("service-ms")?),
        ..MinionOptions::new(id, options.get("slots")?)
    })
    .await?;
    let proxy = spawn_proxy(options.get("listen")?, Some(minion.address)).await?;
    let (failing_task, record_task) = (minion.task.clone(), minion.task.clone());
    let fail = warp::path!("control" / "failing")
        .and(warp::post())
        .and(warp::body::json::<bool>())
        .then(move |fails| {
            let minion = failing_task.clone();
            async move { warp::reply::json(&minion.send(SetFailing(fails)).await.is_ok()) }
        });
    let record = warp::path!("control" / "record")
        .and(warp::get())
        .then(move || {
            let minion = record_task.clone();
            async move { warp::reply::json(&minion.send(ReadRecord).await.ok()) }
        });
    let routes = fail.or(record).or(control_routes(proxy.task.clone()));
    let control = Listening::bind(options.get("control")?, routes).await?;
    announce(&[("minion", proxy.address), ("control", control.address())]);
    wait_for_end_signal().await
}
