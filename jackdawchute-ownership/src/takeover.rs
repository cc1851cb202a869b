//! Decides when an incarnation counts as gone and may be fenced.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use jackdawchute_ports::RowVersion;
use jackdawchute_types::IncarnationId;

use crate::{view::View, Timing};

/// How long one incarnation's row has stood still, on the challenger's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RowObservation {
    /// The row version that was seen.
    pub version: RowVersion,
    /// When the first answer that showed it arrived.
    pub since: Instant,
}

/// The watches of a challenger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FailureDetector {
    observations: BTreeMap<IncarnationId, RowObservation>,
    last_answer: Option<Instant>,
}

/// Continues a watch with an answered read, or begins it anew if the row has changed.
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

/// Whether a row that stood still for the whole `observation` may be fenced.
pub fn has_expired(observation: RowObservation, takeover: Duration, now: Instant) -> bool {
    now.saturating_duration_since(observation.since) >= takeover
}

/// Whether a row may be fenced: it has stood still, and no promise to its holder is running.
pub fn may_fence(
    observation: RowObservation,
    takeover: Duration,
    held_off: Option<Instant>,
    now: Instant,
) -> bool {
    has_expired(observation, takeover, now) && held_off.is_none_or(|until| now >= until)
}

/// How long a challenger may promise not to fence a holder: not at all while a fence of it is
/// under way, since that can take effect at any moment.
pub fn promise(is_fencing: bool, hold_off: Duration) -> Duration {
    match is_fencing {
        true => Duration::ZERO,
        false => hold_off,
    }
}

impl FailureDetector {
    /// Takes in an answered scan. A long gap between two answers restarts all watches, since the
    /// table may have been down in between.
    pub fn answered(&mut self, view: &View, gap_max: Duration, now: Instant) {
        if self
            .last_answer
            .is_some_and(|last| now.saturating_duration_since(last) > gap_max)
        {
            self.observations.clear();
        }
        self.last_answer = Some(now);
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

    /// A read brought no answer: every watch begins anew.
    pub fn failed(&mut self) {
        self.observations.clear();
    }

    /// The incarnations that may be fenced, with the row version that the fence depends on.
    ///
    /// A holder that cannot know of the challenger (its row says that it last looked before the
    /// challenger joined at `joined`) does not ask it for a promise; it gets the longer
    /// `newcomer_takeover`.
    pub fn expired(
        &self,
        view: &View,
        me: &str,
        joined: RowVersion,
        held_off: &BTreeMap<IncarnationId, Instant>,
        timing: &Timing,
        now: Instant,
    ) -> Vec<(IncarnationId, RowVersion)> {
        self.observations
            .iter()
            .filter(|(id, _)| id.as_str() != me)
            .filter(|(id, observation)| {
                let knows_me = view
                    .incarnation(id)
                    .is_some_and(|row| row.seen_version >= joined);
                let takeover = if knows_me {
                    timing.takeover
                } else {
                    timing.newcomer_takeover
                };
                may_fence(**observation, takeover, held_off.get(*id).copied(), now)
            })
            .map(|(id, observation)| (id.clone(), observation.version))
            .collect()
    }
}
