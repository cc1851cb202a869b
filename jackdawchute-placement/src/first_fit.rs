//! A baseline: the first worker with room.

use std::collections::HashMap;

use jackdawchute_types::{JobKind, Resources, WorkerId};

use crate::{Fleet, PlacementPolicy, PlacementRequest};

/// Takes the first accepting worker, in the order of ids, that has room.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstFit;

impl PlacementPolicy for FirstFit {
    fn name(&self) -> &'static str {
        "first-fit"
    }

    fn place(&mut self, fleet: &Fleet, ask: &PlacementRequest) -> Vec<WorkerId> {
        let mut chosen = Vec::new();
        let mut extra: HashMap<WorkerId, Resources> = HashMap::new();
        for _ in 0..ask.count {
            let fits = fleet.workers().find(|worker| {
                let taken = extra.get(&worker.id).copied().unwrap_or_default();
                worker.accepting && ask.resources.fits_in(&worker.free().saturating_sub(&taken))
            });
            let Some(worker) = fits else { break };
            let taken = extra.entry(worker.id.clone()).or_default();
            *taken = taken.saturating_add(&ask.resources);
            chosen.push(worker.id.clone());
        }
        if ask.kind == JobKind::Gang && chosen.len() < ask.count as usize {
            chosen.clear();
        }
        chosen
    }
}
