//! A baseline: the first worker with enough free capacity.

use std::collections::HashMap;

use jackdawchute_types::{JobKind, Resources, WorkerId};

use crate::{Fleet, PlacementPolicy, PlacementRequest};

/// Chooses the first accepting worker, in the order of ids, with enough free capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstFit;

impl PlacementPolicy for FirstFit {
    fn name(&self) -> &'static str {
        "first-fit"
    }

    fn place(&mut self, fleet: &Fleet, request: &PlacementRequest) -> Vec<WorkerId> {
        let mut chosen = Vec::new();
        let mut used_by_choice: HashMap<WorkerId, Resources> = HashMap::new();
        for _ in 0..request.count {
            let fits = fleet.workers().find(|worker| {
                let used = used_by_choice.get(&worker.id).copied().unwrap_or_default();
                worker.accepting
                    && request
                        .resources
                        .fits_in(&worker.free().saturating_sub(&used))
            });
            let Some(worker) = fits else { break };
            let used = used_by_choice.entry(worker.id.clone()).or_default();
            *used = used.saturating_add(&request.resources);
            chosen.push(worker.id.clone());
        }
        if request.kind == JobKind::Gang && chosen.len() < request.count as usize {
            chosen.clear();
        }
        chosen
    }
}
