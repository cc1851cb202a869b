//! The minions and workers of a cell, each behind a proxy.

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

/// A minion behind a proxy, which counts the minion's connections.
#[derive(Debug)]
pub struct CellMinion {
    /// Its entry in the membership list, with the proxy's address.
    pub member: Member,
    /// The proxy in front of it.
    pub proxy: RunningProxy,
    /// The running minion.
    pub minion: RunningMinion,
    /// The most connections that instances may open to it at a time.
    pub connections: u32,
    /// Whether the published membership list includes it.
    pub is_listed: bool,
}

/// A worker behind a proxy.
#[derive(Debug)]
pub struct CellWorker {
    /// Its entry in the membership list, with the proxy's address.
    pub member: Member,
    /// The proxy in front of it.
    pub proxy: RunningProxy,
    /// The running worker.
    pub worker: RunningWorker,
}

/// Starts the minions of every service; the last `unlisted_minions` are marked as unlisted.
pub(super) async fn start_minions(options: &CellOptions) -> Result<Vec<CellMinion>> {
    let mut minions = Vec::new();
    for plan in &options.services {
        for index in 0..plan.minions {
            let id = format_smolstr!("{}-{index}", plan.service);
            let failure_domain = failure_domain_at(&options.failure_domains, index);
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

/// Starts the workers, rack by rack; a rack lies in one failure domain.
pub(super) async fn start_workers(options: &CellOptions) -> Result<Vec<CellWorker>> {
    let plan = &options.workers;
    let mut workers = Vec::new();
    for index in 0..plan.workers {
        let rack = index / plan.workers_per_rack.max(1);
        let id = format_smolstr!("worker-{index}");
        let failure_domain = failure_domain_at(&options.failure_domains, rack);
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

/// Returns the failure domain of the member at `index`, assigned round-robin.
pub(super) fn failure_domain_at(
    failure_domains: &[FailureDomainId],
    index: usize,
) -> FailureDomainId {
    let position = index.checked_rem(failure_domains.len());
    position.map_or_else(FailureDomainId::default, |position| {
        failure_domains[position].clone()
    })
}
