//! The minions and workers of a cell.

use jackdawchute_ports::{Member, MemberRole, MemberState};
use jackdawchute_trial::{
    spawn_minion, spawn_worker, MinionOptions, RunningMinion, RunningWorker, WorkerOptions,
};
use jackdawchute_types::{FailureDomainId, MinionId, RackId, WorkerId};
use smol_str::format_smolstr;

use super::{options::WorkerPlan, CellOptions, ServicePlan};
use crate::{
    proxy::{spawn_proxy, RunningProxy},
    Result,
};

/// A minion behind a proxy, which counts its connections.
#[derive(Debug)]
pub struct CellMinion {
    /// Its line in the membership list.
    pub member: Member,
    /// The proxy in front of it.
    pub proxy: RunningProxy,
    /// The minion.
    pub minion: RunningMinion,
    /// The most connections that it may have.
    pub connections: u32,
    /// Whether it is in the membership list.
    pub is_listed: bool,
}

/// A worker behind a proxy.
#[derive(Debug)]
pub struct CellWorker {
    /// Its line in the membership list.
    pub member: Member,
    /// The proxy in front of it.
    pub proxy: RunningProxy,
    /// The worker.
    pub worker: RunningWorker,
}

/// Starts the minions of every service.
pub(super) async fn start_minions(options: &CellOptions) -> Result<Vec<CellMinion>> {
    let mut minions = Vec::new();
    for plan in &options.services {
        for index in 0..plan.minions {
            let id = format_smolstr!("{}-{index}", plan.service);
            let failure_domain = spread(&options.failure_domains, index);
            minions.push(start_minion(plan, id, failure_domain).await?);
        }
    }
    let unlisted = minions.iter_mut().rev().take(options.unlisted_minions);
    unlisted.for_each(|minion| minion.is_listed = false);
    Ok(minions)
}

async fn start_minion(
    plan: &ServicePlan,
    id: MinionId,
    failure_domain: FailureDomainId,
) -> Result<CellMinion> {
    let minion = spawn_minion(MinionOptions::new(id.clone(), plan.slots)).await?;
    let proxy = spawn_proxy(([127, 0, 0, 1], 0).into(), Some(minion.address)).await?;
    let member = Member {
        id,
        address: proxy.address,
        failure_domain,
        state: MemberState::Live,
        role: MemberRole::Minion {
            service: plan.service.clone(),
            slots: plan.slots,
            connections: plan.connections,
        },
    };
    Ok(CellMinion {
        member,
        proxy,
        minion,
        connections: plan.connections,
        is_listed: true,
    })
}

/// Starts the workers, rack by rack.
pub(super) async fn start_workers(options: &CellOptions) -> Result<Vec<CellWorker>> {
    let plan = &options.workers;
    let mut workers = Vec::new();
    for index in 0..plan.workers {
        let rack = index / plan.workers_per_rack.max(1);
        let id = format_smolstr!("worker-{index}");
        let failure_domain = spread(&options.failure_domains, rack);
        workers.push(start_worker(plan, id, format_smolstr!("r{rack}"), failure_domain).await?);
    }
    Ok(workers)
}

async fn start_worker(
    plan: &WorkerPlan,
    id: WorkerId,
    rack: RackId,
    failure_domain: FailureDomainId,
) -> Result<CellWorker> {
    let worker = spawn_worker(WorkerOptions::new(id.clone(), plan.resources)).await?;
    let proxy = spawn_proxy(([127, 0, 0, 1], 0).into(), Some(worker.address)).await?;
    let member = Member {
        id,
        address: proxy.address,
        failure_domain,
        state: MemberState::Live,
        role: MemberRole::Worker {
            rack,
            resources: plan.resources,
        },
    };
    Ok(CellWorker {
        member,
        proxy,
        worker,
    })
}

/// The failure domain in turn.
pub(super) fn spread(failure_domains: &[FailureDomainId], index: usize) -> FailureDomainId {
    let place = index.checked_rem(failure_domains.len());
    place.map_or_else(FailureDomainId::default, |place| {
        failure_domains[place].clone()
    })
}
