//! The part of an instance's status that people look at.

use std::collections::BTreeMap;

use jackdawchute_types::{
    ClassId, ConfigurationVersion, Epoch, GroupId, IncarnationId, MinionId, RefusalReason, WorkerId,
};
use serde::Deserialize;

/// What one instance knows and does.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct InstanceStatus {
    pub(crate) incarnation: IncarnationId,
    pub(crate) standing: String,
    pub(crate) draining: bool,
    pub(crate) readiness: Readiness,
    pub(crate) configuration_version: Option<ConfigurationVersion>,
    pub(crate) incarnations: BTreeMap<IncarnationId, IncarnationStatus>,
    pub(crate) owners: BTreeMap<GroupId, IncarnationId>,
    pub(crate) refusals: BTreeMap<ClassId, BTreeMap<RefusalReason, u64>>,
    pub(crate) requests: RequestsStatus,
    pub(crate) jobs: JobsStatus,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Readiness {
    pub(crate) ready: bool,
    pub(crate) missing: Vec<String>,
}

/// What the table says of an incarnation.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct IncarnationStatus {
    pub(crate) configuration_version: Option<ConfigurationVersion>,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct RequestsStatus {
    pub(crate) groups: Vec<GroupStatus>,
}

/// An owned service group.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct GroupStatus {
    pub(crate) group: GroupId,
    pub(crate) epoch: Epoch,
    pub(crate) queued: BTreeMap<ClassId, usize>,
    pub(crate) minions: BTreeMap<MinionId, MinionStatus>,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct MinionStatus {
    pub(crate) slots: u32,
    pub(crate) in_use_slots: u32,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct JobsStatus {
    pub(crate) queued: BTreeMap<ClassId, usize>,
    pub(crate) running: usize,
    pub(crate) open_intents: usize,
    pub(crate) quarantined: Vec<WorkerId>,
}
