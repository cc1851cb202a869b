//! The bounds of each value, the same in defaults and exceptions.

use std::time::Duration;

use crate::{Class, Override, Target};

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
#[derive(Clone, Copy, Debug)]
pub(crate) struct Value {
    pub(crate) field: &'static str,
    pub(crate) kind: TargetKind,
    pub(crate) value: u64,
    pub(crate) least: u64,
    pub(crate) most: u64,
}

/// A day, in milliseconds.
const DAY_MS: u64 = 86_400_000;
/// The largest body, in bytes.
const BODY_BYTES_MAX: u64 = 1_073_741_824;

impl Override {
    /// The values that are set, with their bounds.
    pub(crate) fn values(&self) -> Vec<Value> {
        let class = self.class_values();
        let service = self.service_values();
        let rest = [
            value(
                "quota",
                TargetKind::Team,
                self.quota.map(u64::from),
                0,
                u32::MAX.into(),
            ),
            value(
                "task_lease_ms",
                TargetKind::FailureDomain,
                ms(self.task_lease),
                1_000,
                600_000,
            ),
            value(
                "quarantine_share_percent",
                TargetKind::FailureDomain,
                self.quarantine_share_percent.map(u64::from),
                0,
                100,
            ),
        ];
        class
            .into_iter()
            .chain(service)
            .chain(rest)
            .flatten()
            .collect()
    }

    fn class_values(&self) -> [Option<Value>; 5] {
        let kind = TargetKind::Class;
        [
            value("priority", kind, self.priority.map(u64::from), 0, 1_000),
            value(
                "queue_max",
                kind,
                self.queue_max.map(u64::from),
                1,
                1_000_000,
            ),
            value(
                "floor_percent",
                kind,
                self.floor_percent.map(u64::from),
                0,
                100,
            ),
            value("deadline_ms", kind, ms(self.deadline), 1, DAY_MS),
            value(
                "retry_budget_percent",
                kind,
                self.retry_budget_percent.map(u64::from),
                0,
                100,
            ),
        ]
    }

    fn service_values(&self) -> [Option<Value>; 7] {
        let kind = TargetKind::Service;
        [
            value("body_bytes", kind, self.body_bytes, 0, BODY_BYTES_MAX),
            value("deadline_max_ms", kind, ms(self.deadline_max), 1, DAY_MS),
            value(
                "answer_retention_ms",
                kind,
                ms(self.answer_retention),
                1_000,
                7 * DAY_MS,
            ),
            value(
                "answer_count_max",
                kind,
                self.answer_count_max,
                1,
                1_000_000,
            ),
            value(
                "answer_bytes_max",
                kind,
                self.answer_bytes_max,
                0,
                1_048_576,
            ),
            value("grant_life_ms", kind, ms(self.grant_life), 10, 3_600_000),
            value(
                "grant_send_within_ms",
                kind,
                ms(self.grant_send_within),
                1,
                60_000,
            ),
        ]
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

fn value(
    field: &'static str,
    kind: TargetKind,
    value: Option<u64>,
    least: u64,
    most: u64,
) -> Option<Value> {
    value.map(|value| Value {
        field,
        kind,
        value,
        least,
        most,
    })
}

fn ms(duration: Option<Duration>) -> Option<u64> {
    duration.map(|duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
