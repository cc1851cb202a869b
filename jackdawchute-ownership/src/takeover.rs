//! Failure detection: decides when an incarnation has expired and may be fenced.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_ports::RowVersion;
use jackdawchute_types::IncarnationId;

use crate::{view::View, Timing};

/// Since when one incarnation's row is unchanged, on the monotonic clock of the challenger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RowObservation {
    /// The row version that was read.
    pub version: RowVersion,
    /// When the first answer that showed this version arrived.
    pub since: Instant,
}

/// The observations of a challenger: since when each unfenced incarnation's row is unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FailureDetector {
    observations: BTreeMap<IncarnationId, RowObservation>,
    last_answer_at: Option<Instant>,
}

/// Returns the observation after a read has shown `version`: the same one if the row is unchanged,
/// or else one that begins now.
///
/// ```
/// use std::time::{Duration, Instant};
/// use jackdawchute_ownership::takeover::{observe, RowObservation};
///
/// let now = Instant::now();
/// let observation = RowObservation { version: 4, since: now };
/// let later = now + Duration::from_secs(9);
/// assert_eq!(observe(Some(observation), 4, later).since, now);
/// assert_eq!(observe(Some(observation), 5, later).since, later);
/// ```
pub fn observe(
    observation: Option<RowObservation>,
    version: RowVersion,
    now: Instant,
) -> RowObservation {
    match observation {
        Some(observation) if observation.version == version => observation,
        _ => RowObservation {
            version,
            since: now,
        },
    }
}

/// Whether the observed row has been unchanged for the takeover time.
pub fn has_expired(observation: RowObservation, takeover: Duration, now: Instant) -> bool {
    now.saturating_duration_since(observation.since) >= takeover
}

/// Whether a row may be fenced: it has been unchanged for the takeover time, and no promise to its
/// holder is valid any more.
pub fn may_fence(
    observation: RowObservation,
    takeover: Duration,
    promised_until: Option<Instant>,
    now: Instant,
) -> bool {
    has_expired(observation, takeover, now) && promised_until.is_none_or(|until| now >= until)
}

/// Returns how long a challenger may promise not to fence a holder: zero while its fence of that
/// holder is in flight, because the fence can take effect at any moment.
pub fn promise_duration(is_fencing: bool, hold_off: Duration) -> Duration {
    match is_fencing {
        true => Duration::ZERO,
        false => hold_off,
    }
}

impl FailureDetector {
    /// Updates the observations after an answered scan. If the previous answer is longer ago than
    /// `gap_max`, all observations begin anew, since the table may have been down in between.
    pub fn scan_answered(&mut self, view: &View, gap_max: Duration, now: Instant) {
        if self
            .last_answer_at
            .is_some_and(|last| now.saturating_duration_since(last) > gap_max)
        {
            self.observations.clear();
        }
        self.last_answer_at = Some(now);
        let unfenced = view.incarnations.iter().filter(|(_, known)| {
            known
                .row
                .as_ref()
                .is_some_and(|row| row.fenced_by.is_none())
        });
        self.observations = unfenced
            .map(|(id, known)| {
                (
                    id.clone(),
                    observe(self.observations.get(id).copied(), known.version, now),
                )
            })
            .collect();
    }

    /// Restarts all observations after a scan that failed.
    pub fn scan_failed(&mut self) {
        self.observations.clear();
    }

    /// Returns the incarnations that may be fenced, with the row version that the fence is
    /// conditional on.
    ///
    /// A holder whose row shows that it last read the rows of other incarnations before the
    /// challenger joined (at version `joined_version`) cannot ask the challenger for a promise. It
    /// gets the longer `newcomer_takeover` before it is fenced.
    pub fn expired(
        &self,
        view: &View,
        me: &str,
        joined_version: RowVersion,
        promises_given: &BTreeMap<IncarnationId, Instant>,
        timing: &Timing,
        now: Instant,
    ) -> Vec<(IncarnationId, RowVersion)> {
        self.observations
            .iter()
            .filter(|(id, _)| id.as_str() != me)
            .filter(|(id, observation)| {
                let knows_me = view
                    .incarnation(id)
                    .is_some_and(|row| row.seen_version >= joined_version);
                let takeover = if knows_me {
                    timing.takeover
                } else {
                    timing.newcomer_takeover
                };
                may_fence(
                    **observation,
                    takeover,
                    promises_given.get(*id).copied(),
                    now,
                )
            })
            .map(|(id, observation)| (id.clone(), observation.version))
            .collect()
    }
}
