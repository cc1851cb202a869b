//! Log lines with the load of the cell and of each queue.

use std::{collections::BTreeMap, time::Instant};

use jackdawchute_types::QueueId;
use spdlog::info;

use crate::{job::JobPhase, worker::RunPhase, Scheduler};

/// The load of a queue: its live jobs, and the tasks of their ready steps.
#[derive(Debug, Default)]
struct QueueLoad {
    running_millicores: u64,
    waiting_millicores: u64,
    jobs: usize,
    late_jobs: usize,
}

impl Scheduler {
    /// Logs the capacity and free capacity of the cell, and the running and waiting work of each
    /// queue.
    pub fn log_load(&self, now: Instant) {
        let mut queues: BTreeMap<&QueueId, QueueLoad> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.phase == JobPhase::Live) {
            let load = queues.entry(&job.queue.queue).or_default();
            load.jobs += 1;
            load.late_jobs += usize::from(self.slack(job, now).is_none());
            for occurrence_run in &job.occurrences {
                for (step, (spec, step_run)) in
                    (0u32..).zip(job.graph.steps.iter().zip(&occurrence_run.steps))
                {
                    if !job.step_is_ready(occurrence_run, step) {
                        continue;
                    }
                    let size = spec.resources.processor_millicores;
                    for unit in &step_run.units {
                        load.running_millicores += size * unit.placed.len() as u64;
                        if unit.is_waiting() {
                            load.waiting_millicores += size * u64::from(spec.unit_size());
                        }
                    }
                }
            }
        }
        let mut capacity_millicores = 0;
        let mut free_millicores = 0;
        let (mut capacity_mib, mut free_mib) = (0, 0);
        let mut usable = 0;
        for worker in self.workers.values() {
            if worker.accepts_tasks(self.authority.confirmed_at, now) {
                usable += 1;
                capacity_millicores += worker.entry.capacity.processor_millicores;
                let free = worker.free().unwrap_or_default();
                free_millicores += free.processor_millicores;
                capacity_mib += worker.entry.capacity.memory_mib;
                free_mib += free.memory_mib;
            }
        }
        let orders_open = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.values())
            .filter(|run| run.phase != RunPhase::Running)
            .count();
        info!("cell load", kv: {
            epoch = self.epoch, workers = self.workers.len(), usable_workers = usable,
            capacity_cores = capacity_millicores / 1_000, free_cores = free_millicores / 1_000,
            capacity_gib = capacity_mib / 1_024, free_gib = free_mib / 1_024,
            orders_open = orders_open
        });
        for (queue, load) in queues {
            info!("queue load", kv: {
                queue = queue.as_str(), jobs = load.jobs, late_jobs = load.late_jobs,
                running_cores = load.running_millicores / 1_000,
                waiting_cores = load.waiting_millicores / 1_000,
                run_time_percent = self.run_times.percent(queue)
            });
        }
        self.log_tenant_loads();
    }
}
