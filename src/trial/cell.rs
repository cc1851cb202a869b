//! The embedded cell: a table in memory, two instances, minions and workers on loopback.

use std::{net::SocketAddr, sync::Arc, time::SystemTime};

use jackdawchute_configuration::{apply, Configuration};
use jackdawchute_entry::{HttpWorkerPorts, Instance, Platform};
use jackdawchute_ports::{Member, MemberRole, MemberState, MemoryTable};
use jackdawchute_settings::Settings;
use jackdawchute_trial::{
    spawn_minion, spawn_worker, MemoryMembership, MinionOptions, RunningMinion, RunningWorker,
    WorkerOptions,
};
use jackdawchute_types::Resources;
use smol_str::format_smolstr;

use crate::Result;

/// The number of entry instances.
const INSTANCES: usize = 2;
/// The number of minions of each service, each in a failure domain of its own.
const MINIONS_PER_SERVICE: usize = 2;
/// The number of workers, spread over two racks.
const WORKERS: usize = 4;
/// The resources of each worker.
const WORKER_SIZE: Resources = Resources::new(16_000, 32_768, 2);
/// The slots of each minion.
const SLOTS: u32 = 8;
/// The maximum number of connections to a minion.
const CONNECTIONS: u32 = 64;

/// A running cell, which ends when it is dropped.
pub(crate) struct Cell {
    pub(crate) instances: Vec<Instance>,
    pub(crate) minions: Vec<RunningMinion>,
    pub(crate) workers: Vec<RunningWorker>,
}

impl Cell {
    /// Starts a cell with the embedded configuration.
    pub(crate) async fn start() -> Result<Self> {
        let configuration = Configuration::embedded()?;
        let table = Arc::new(MemoryTable::default());
        apply_configuration(&table, &configuration).await?;
        let membership = Arc::new(MemoryMembership::default());
        let mut members = Vec::new();
        let minions = start_minions(&configuration, &mut members).await?;
        let workers = start_workers(&mut members).await?;
        membership.set(members);
        let worker_ports = Arc::new(HttpWorkerPorts);
        let platform = Platform {
            table,
            membership,
            workers: worker_ports,
        };
        let mut instances = Vec::new();
        for number in 1..=INSTANCES {
            instances.push(Instance::start(settings(number)?, platform.clone()).await?);
        }
        Ok(Self {
            instances,
            minions,
            workers,
        })
    }

    /// Returns the callers' addresses of all instances.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.instances
            .iter()
            .map(|instance| instance.addresses.callers)
            .collect()
    }

    /// Returns the operators' addresses of all instances.
    pub(crate) fn operators(&self) -> Vec<SocketAddr> {
        self.instances
            .iter()
            .map(|instance| instance.addresses.operators)
            .collect()
    }
}

/// Makes `configuration` the accepted version 1.
async fn apply_configuration(
    table: &Arc<MemoryTable>,
    configuration: &Configuration,
) -> Result<()> {
    let options = apply::Options {
        candidate: Configuration {
            version: 0,
            ..configuration.clone()
        },
        author: "try".into(),
        reason: "embedded default".to_owned(),
        write_id: "try".into(),
        written: SystemTime::now(),
    };
    apply::apply(table.as_ref(), options).await?;
    Ok(())
}

async fn start_minions(
    configuration: &Configuration,
    members: &mut Vec<Member>,
) -> Result<Vec<RunningMinion>> {
    let mut minions = Vec::new();
    for service in &configuration.services {
        for number in 1..=MINIONS_PER_SERVICE {
            let id = format_smolstr!("{service}-{number}");
            let minion = spawn_minion(MinionOptions::new(id.clone(), SLOTS)).await?;
            members.push(Member {
                id,
                address: minion.address,
                failure_domain: format_smolstr!("domain-{number}"),
                state: MemberState::Live,
                role: MemberRole::Minion {
                    service: service.clone(),
                    slots: SLOTS,
                    connections: CONNECTIONS,
                },
            });
            minions.push(minion);
        }
    }
    Ok(minions)
}

async fn start_workers(members: &mut Vec<Member>) -> Result<Vec<RunningWorker>> {
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        let id = format_smolstr!("worker-{number}");
        let worker = spawn_worker(WorkerOptions::new(id.clone(), WORKER_SIZE)).await?;
        let domain = number % 2 + 1;
        members.push(Member {
            id,
            address: worker.address,
            failure_domain: format_smolstr!("domain-{domain}"),
            state: MemberState::Live,
            role: MemberRole::Worker {
                rack: format_smolstr!("rack-{domain}"),
                resources: WORKER_SIZE,
            },
        });
        workers.push(worker);
    }
    Ok(workers)
}

/// Returns the settings of an instance. Their platform addresses are placeholders: the instances
/// get the platform from [`Cell::start`].
fn settings(number: usize) -> Result<Settings> {
    let text = format!(
        "instance: try-{number}
failure_domain: domain-{number}
listen: {{ callers: 127.0.0.1:0, operators: 127.0.0.1:0, peers: 127.0.0.1:0 }}
platform: {{ table: 127.0.0.1:1, membership: 127.0.0.1:1 }}
"
    );
    Ok(Settings::parse(&text)?)
}
