//! Formats the status of instances as text tables.

use std::{collections::BTreeMap, fmt::Display};

use jackdawchute_types::{ClassId, ConfigurationVersion, IncarnationId};

use super::InstanceStatus;
use crate::text_table::TextTable;

/// The text of a table cell whose value none of the called instances reported.
const NOT_AVAILABLE: &str = "-";

/// Returns all tables with their titles; tables without rows are left out.
pub(crate) fn render(instances: &[InstanceStatus]) -> String {
    let parts = [
        section("Instances", &incarnations(instances)),
        section("Groups", &groups(instances)),
        section("Queues", &queues(instances)),
        section("Jobs", &jobs(instances)),
        section("Refusals", &refusals(instances)),
        section("Quarantined workers", &quarantined(instances)),
    ];
    let parts: Vec<String> = parts.into_iter().flatten().collect();
    parts.join("\n")
}

fn section<const COLUMNS: usize>(title: &str, table: &TextTable<COLUMNS>) -> Option<String> {
    (!table.is_empty()).then(|| format!("{title}\n{table}"))
}

fn incarnations(instances: &[InstanceStatus]) -> TextTable<5> {
    let headings = [
        "INCARNATION",
        "CONFIGURATION",
        "GROUPS",
        "STANDING",
        "READY",
    ];
    let mut table = TextTable::new(headings);
    for (id, version) in versions(instances) {
        let called = instances.iter().find(|instance| instance.incarnation == id);
        let owned = instances.first().map_or(0, |first| {
            first.owners.values().filter(|owner| **owner == id).count()
        });
        table.add([
            id.to_string(),
            or_not_available(version),
            owned.to_string(),
            called.map_or(NOT_AVAILABLE.into(), |instance| instance.standing.clone()),
            called.map_or(NOT_AVAILABLE.into(), readiness),
        ]);
    }
    table
}

/// Returns the configuration version of each incarnation. What a called instance reports of itself
/// replaces what others read of it from the table.
fn versions(instances: &[InstanceStatus]) -> BTreeMap<IncarnationId, Option<ConfigurationVersion>> {
    let known = instances.iter().flat_map(|instance| &instance.incarnations);
    let known = known.map(|(id, status)| (id.clone(), status.configuration_version));
    let self_reported = instances
        .iter()
        .map(|instance| (instance.incarnation.clone(), instance.configuration_version));
    known.chain(self_reported).collect()
}

fn readiness(instance: &InstanceStatus) -> String {
    match (instance.readiness.ready, instance.draining) {
        (true, _) => "yes".to_owned(),
        (false, true) => "shutting down".to_owned(),
        (false, false) => format!("waits for {}", instance.readiness.missing.join(", ")),
    }
}

fn groups(instances: &[InstanceStatus]) -> TextTable<4> {
    let mut table = TextTable::new(["GROUP", "OWNER", "EPOCH", "SLOTS IN USE"]);
    let Some(first) = instances.first() else {
        return table;
    };
    for (group, owner) in &first.owners {
        let owned_groups = instances
            .iter()
            .flat_map(|instance| &instance.requests.groups);
        let group_status = owned_groups
            .into_iter()
            .find(|status| status.group == *group);
        let slots = group_status.map(|status| {
            let used: u32 = status
                .minions
                .values()
                .map(|minion| minion.in_use_slots)
                .sum();
            let all: u32 = status.minions.values().map(|minion| minion.slots).sum();
            format!("{used} of {all}")
        });
        table.add([
            group.to_string(),
            owner.to_string(),
            or_not_available(group_status.map(|status| status.epoch)),
            slots.unwrap_or_else(|| NOT_AVAILABLE.into()),
        ]);
    }
    table
}

fn queues(instances: &[InstanceStatus]) -> TextTable<3> {
    let requests = instances
        .iter()
        .flat_map(|instance| instance.requests.groups.iter().map(|group| &group.queued));
    let requests = sum(requests);
    let jobs = sum(instances.iter().map(|instance| &instance.jobs.queued));
    let mut classes: Vec<&ClassId> = requests.keys().chain(jobs.keys()).collect();
    classes.sort();
    classes.dedup();
    let mut table = TextTable::new(["CLASS", "QUEUED REQUESTS", "QUEUED TASKS AND GANGS"]);
    for class in classes {
        let count = |counts: &BTreeMap<ClassId, usize>| counts.get(class).copied().unwrap_or(0);
        table.add([
            class.to_string(),
            count(&requests).to_string(),
            count(&jobs).to_string(),
        ]);
    }
    table
}

fn sum<'a>(counts: impl Iterator<Item = &'a BTreeMap<ClassId, usize>>) -> BTreeMap<ClassId, usize> {
    let mut sums = BTreeMap::new();
    for (class, count) in counts.flatten() {
        *sums.entry(class.clone()).or_default() += count;
    }
    sums
}

fn jobs(instances: &[InstanceStatus]) -> TextTable<3> {
    let mut table = TextTable::new(["INCARNATION", "RUNNING TASKS", "OPEN STARTS"]);
    for instance in instances {
        table.add([
            instance.incarnation.to_string(),
            instance.jobs.running.to_string(),
            instance.jobs.open_intents.to_string(),
        ]);
    }
    table
}

fn refusals(instances: &[InstanceStatus]) -> TextTable<3> {
    let mut sums = BTreeMap::new();
    for (class, reasons) in instances.iter().flat_map(|instance| &instance.refusals) {
        for (reason, count) in reasons {
            *sums.entry((class.clone(), *reason)).or_insert(0) += count;
        }
    }
    let mut table = TextTable::new(["CLASS", "REASON", "COUNT"]);
    for ((class, reason), count) in sums {
        table.add([class.to_string(), reason.to_string(), count.to_string()]);
    }
    table
}

fn quarantined(instances: &[InstanceStatus]) -> TextTable<2> {
    let mut table = TextTable::new(["WORKER", "OWNER"]);
    for instance in instances {
        for worker in &instance.jobs.quarantined {
            table.add([worker.to_string(), instance.incarnation.to_string()]);
        }
    }
    table
}

fn or_not_available<T: Display>(value: Option<T>) -> String {
    value.map_or(NOT_AVAILABLE.to_owned(), |value| value.to_string())
}
