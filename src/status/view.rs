//! The fields of an instance's status that the tables and `config wait` use.

use std::collections::BTreeMap;

use jackdawchute_types::{
    ClassId, ConfigurationVersion, Epoch, GroupId, IncarnationId, MinionId, RefusalReason, WorkerId,
};
use serde::Deserialize;

/// The status of one instance: what it knows of others and the state of its own groups.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct InstanceStatus {
    pub(crate) incarnation: IncarnationId,
    /// The lease state in lower case.
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

/// Whether the instance accepts new calls, and if not, what is missing.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Readiness {
    pub(crate) ready: bool,
    pub(crate) missing: Vec<String>,
}

/// An incarnation's row in the table, as the instance last read it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct IncarnationStatus {
    pub(crate) configuration_version: Option<ConfigurationVersion>,
}

/// The status of the requests slice.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct RequestsStatus {
    pub(crate) groups: Vec<GroupStatus>,
}

/// The status of a service group that the instance owns.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct GroupStatus {
    pub(crate) group: GroupId,
    pub(crate) epoch: Epoch,
    pub(crate) queued: BTreeMap<ClassId, usize>,
    pub(crate) minions: BTreeMap<MinionId, MinionStatus>,
}

/// The slots of a minion.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct MinionStatus {
    pub(crate) slots: u32,
    pub(crate) in_use_slots: u32,
}

/// The status of the jobs slice.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct JobsStatus {
    pub(crate) queued: BTreeMap<ClassId, usize>,
    pub(crate) running: usize,
    /// The number of attempts on the owned racks that are not known to have ended.
    pub(crate) open_intents: usize,
    pub(crate) quarantined: Vec<WorkerId>,
}
