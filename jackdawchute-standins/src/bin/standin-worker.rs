//! A worker behind a fault-injecting proxy, as a program.

use jackdawchute_standins::{
    program::{announce, wait_for_end_signal, ProgramOption, ProgramOptions},
    proxy::{control_routes, spawn_proxy},
    Result,
};
use jackdawchute_trial::{
    spawn_worker,
    worker::{ReadRecord, SetFailing},
    Listening, WorkerOptions,
};
use jackdawchute_types::{Resources, WorkerId};
use warp::Filter;

const OPTIONS: &[ProgramOption] = &[
    ProgramOption {
        name: "id",
        help: "id of the worker",
        default: None,
    },
    ProgramOption {
        name: "processor-millicores",
        help: "processor capacity in thousandths of a core",
        default: Some("32000"),
    },
    ProgramOption {
        name: "memory-mib",
        help: "memory capacity in MiB",
        default: Some("131072"),
    },
    ProgramOption {
        name: "accelerators",
        help: "number of accelerators",
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
    let resources = Resources::new(
        options.get("processor-millicores")?,
        options.get("memory-mib")?,
        options.get("accelerators")?,
    );
    let id: WorkerId = options.get::<String>("id")?.into();
    let worker = spawn_worker(WorkerOptions::new(id, resources)).await?;
    let proxy = spawn_proxy(options.get("listen")?, Some(worker.address)).await?;
    let (failing_task, record_task) = (worker.task.clone(), worker.task.clone());
    let fail = warp::path!("control" / "failing")
        .and(warp::post())
        .and(warp::body::json::<bool>())
        .then(move |fails| {
            let worker = failing_task.clone();
            async move { warp::reply::json(&worker.send(SetFailing(fails)).await.is_ok()) }
        });
    let record = warp::path!("control" / "record")
        .and(warp::get())
        .then(move || {
            let worker = record_task.clone();
            async move { warp::reply::json(&worker.send(ReadRecord).await.ok()) }
        });
    let routes = fail.or(record).or(control_routes(proxy.task.clone()));
    let control = Listening::bind(options.get("control")?, routes).await?;
    announce(&[("worker", proxy.address), ("control", control.address())]);
    wait_for_end_signal().await
}
