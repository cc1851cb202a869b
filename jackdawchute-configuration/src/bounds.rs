//! The bounds of each value, the same in defaults and exceptions.

use jackdawchute_types::whole_ms;

use crate::{Class, Defaults, Override, Target};

/// The kind of target whose exceptions may set a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetKind {
    Service,
    Class,
    Team,
    FailureDomain,
}

impl TargetKind {
    pub(crate) fn of(target: &Target) -> Self {
        match target {
            Target::Service(_) => Self::Service,
            Target::Class(_) => Self::Class,
            Target::Team(_) => Self::Team,
            Target::FailureDomain(_) => Self::FailureDomain,
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Class => "class",
            Self::Team => "team",
            Self::FailureDomain => "failure_domain",
        }
    }
}

/// One value that is set, with its bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Value {
    pub(crate) field: &'static str,
    pub(crate) value: u64,
    pub(crate) least: u64,
    pub(crate) most: u64,
}

/// A day, in milliseconds.
const DAY_MS: u64 = 86_400_000;
/// The largest body, in bytes.
const BODY_BYTES_MAX: u64 = 1_073_741_824;

impl Defaults {
    /// The values, with their bounds.
    pub(crate) fn values(&self) -> Vec<Value> {
        let own = [
            value(
                "key_retention_ms",
                whole_ms(self.key_retention),
                1_000,
                7 * DAY_MS,
            ),
            value(
                "answer_retention_ms",
                whole_ms(self.answer_retention),
                1_000,
                7 * DAY_MS,
            ),
            value("answer_count_max", self.answer_count_max, 1, 1_000_000),
            value("answer_bytes_max", self.answer_bytes_max, 0, 1_048_576),
            value("grant_life_ms", whole_ms(self.grant_life), 10, 3_600_000),
            value(
                "grant_send_within_ms",
                whole_ms(self.grant_send_within),
                1,
                60_000,
            ),
            value("task_lease_ms", whole_ms(self.task_lease), 1_000, 600_000),
            value(
                "quarantine_share_percent",
                self.quarantine_share_percent.into(),
                0,
                100,
            ),
        ];
        let shared = Override {
            body_bytes: Some(self.body_bytes),
            deadline_max: Some(self.deadline_max),
            retry_budget_percent: Some(self.retry_budget_percent),
            ..Override::default()
        };
        let shared = shared.values().into_iter().map(|(_, value)| value);
        own.into_iter().chain(shared).collect()
    }
}

impl Override {
    /// The values that are set, with their bounds and the kind of target that each is for.
    pub(crate) fn values(&self) -> Vec<(TargetKind, Value)> {
        let class = [
            self.priority
                .map(|it| value("priority", it.into(), 0, 1_000)),
            self.queue_max
                .map(|it| value("queue_max", it.into(), 1, 1_000_000)),
            self.floor_percent
                .map(|it| value("floor_percent", it.into(), 0, 100)),
            self.deadline
                .map(|it| value("deadline_ms", whole_ms(it), 1, DAY_MS)),
            self.retry_budget_percent
                .map(|it| value("retry_budget_percent", it.into(), 0, 100)),
        ];
        let service = [
            self.body_bytes
                .map(|it| value("body_bytes", it, 0, BODY_BYTES_MAX)),
            self.deadline_max
                .map(|it| value("deadline_max_ms", whole_ms(it), 1, DAY_MS)),
        ];
        let team = self
            .quota
            .map(|it| value("quota", it.into(), 0, u32::MAX.into()));
        let domain = self.leaving.map(|it| value("leaving", it.into(), 0, 1));
        let of = |kind: TargetKind| move |value| (kind, value);
        class
            .into_iter()
            .flatten()
            .map(of(TargetKind::Class))
            .chain(service.into_iter().flatten().map(of(TargetKind::Service)))
            .chain(team.map(of(TargetKind::Team)))
            .chain(domain.map(of(TargetKind::FailureDomain)))
            .collect()
    }
}

impl Class {
    /// The class in the form of an override, so that one check serves both.
    pub(crate) fn as_override(&self) -> Override {
        Override {
            priority: Some(self.priority),
            queue_max: Some(self.queue_max),
            floor_percent: Some(self.floor_percent),
            deadline: Some(self.deadline),
            ..Override::default()
        }
    }
}

fn value(field: &'static str, value: u64, least: u64, most: u64) -> Value {
    Value {
        field,
        value,
        least,
        most,
    }
}
