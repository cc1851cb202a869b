//! The bounds of each value, which are the same in defaults and exceptions.

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
    /// Returns the kind of `target`.
    pub(crate) fn of(target: &Target) -> Self {
        match target {
            Target::Service(_) => Self::Service,
            Target::Class(_) => Self::Class,
            Target::Team(_) => Self::Team,
            Target::FailureDomain(_) => Self::FailureDomain,
        }
    }

    /// Returns the name of the field of an exception that gives a target of this kind.
    pub(crate) fn field_name(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Class => "class",
            Self::Team => "team",
            Self::FailureDomain => "failure_domain",
        }
    }
}

/// A value that a configuration sets, with the bounds that it must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BoundedValue {
    /// The name of the field as operators write it.
    pub(crate) field: &'static str,
    /// The value, in the unit that the field's name states; 0 and 1 stand for false and true.
    pub(crate) value: u64,
    /// The smallest allowed value.
    pub(crate) min: u64,
    /// The largest allowed value.
    pub(crate) max: u64,
}

/// A day, in milliseconds.
const DAY_MS: u64 = 86_400_000;
/// The upper bound of the maximum body size, in bytes.
const BODY_BYTES_MAX: u64 = 1_073_741_824;

impl Defaults {
    /// Returns all default values with their bounds.
    pub(crate) fn bounded_values(&self) -> Vec<BoundedValue> {
        let defaults_only = [
            bounded(
                "key_retention_ms",
                whole_ms(self.key_retention),
                1_000,
                7 * DAY_MS,
            ),
            bounded(
                "answer_retention_ms",
                whole_ms(self.answer_retention),
                1_000,
                7 * DAY_MS,
            ),
            bounded("answer_count_max", self.answer_count_max, 1, 1_000_000),
            bounded("answer_bytes_max", self.answer_bytes_max, 0, 1_048_576),
            bounded("grant_life_ms", whole_ms(self.grant_life), 10, 3_600_000),
            bounded(
                "grant_send_within_ms",
                whole_ms(self.grant_send_within),
                1,
                60_000,
            ),
            bounded("task_lease_ms", whole_ms(self.task_lease), 1_000, 600_000),
            bounded(
                "quarantine_share_percent",
                self.quarantine_share_percent.into(),
                0,
                100,
            ),
        ];
        let also_in_exceptions = Override {
            body_bytes: Some(self.body_bytes),
            deadline_max: Some(self.deadline_max),
            retry_budget_percent: Some(self.retry_budget_percent),
            ..Override::default()
        };
        let also_in_exceptions = also_in_exceptions
            .bounded_values()
            .into_iter()
            .map(|(_, value)| value);
        defaults_only
            .into_iter()
            .chain(also_in_exceptions)
            .collect()
    }
}

impl Override {
    /// Returns the values that are set, each with its bounds and the kind of target that it is
    /// allowed for.
    pub(crate) fn bounded_values(&self) -> Vec<(TargetKind, BoundedValue)> {
        let class = [
            self.priority
                .map(|priority| bounded("priority", priority.into(), 0, 1_000)),
            self.queue_max
                .map(|count| bounded("queue_max", count.into(), 1, 1_000_000)),
            self.floor_percent
                .map(|percent| bounded("floor_percent", percent.into(), 0, 100)),
            self.deadline
                .map(|deadline| bounded("deadline_ms", whole_ms(deadline), 1, DAY_MS)),
            self.retry_budget_percent
                .map(|percent| bounded("retry_budget_percent", percent.into(), 0, 100)),
        ];
        let service = [
            self.body_bytes
                .map(|bytes| bounded("body_bytes", bytes, 0, BODY_BYTES_MAX)),
            self.deadline_max
                .map(|deadline| bounded("deadline_max_ms", whole_ms(deadline), 1, DAY_MS)),
        ];
        let team = self
            .quota
            .map(|units| bounded("quota", units.into(), 0, u32::MAX.into()));
        let failure_domain = self
            .leaving
            .map(|leaving| bounded("leaving", leaving.into(), 0, 1));
        let for_kind = |kind: TargetKind| move |value| (kind, value);
        class
            .into_iter()
            .flatten()
            .map(for_kind(TargetKind::Class))
            .chain(
                service
                    .into_iter()
                    .flatten()
                    .map(for_kind(TargetKind::Service)),
            )
            .chain(team.map(for_kind(TargetKind::Team)))
            .chain(failure_domain.map(for_kind(TargetKind::FailureDomain)))
            .collect()
    }
}

impl Class {
    /// Returns the class's values as an override, so that the same check serves both.
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

fn bounded(field: &'static str, value: u64, min: u64, max: u64) -> BoundedValue {
    BoundedValue {
        field,
        value,
        min,
        max,
    }
}
