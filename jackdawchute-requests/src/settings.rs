//! What the configuration sets for this slice.

use std::time::Duration;

use jackdawchute_admission::Limits;

use crate::RetrySettings;

/// The settings of every service group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// The bounds of classes and teams.
    pub limits: Limits,
    /// How long a grant is good for, and how many one holder may have.
    pub grants: GrantSettings,
    /// How long keys and answers are kept.
    pub retention: RetentionSettings,
    /// When a minion that refuses connections gets no work.
    pub ejection: EjectionSettings,
    /// When a failed attempt is repeated.
    pub retries: RetrySettings,
}

/// Times and counts of grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantSettings {
    /// A grant must be sent within this time of its arrival.
    pub send_within: Duration,
    /// The answer must be whole within this time of the grant's arrival.
    pub life: Duration,
    /// A grant that was longer on its way to its holder is not used.
    pub transit_max: Duration,
    /// How long a holder may stand still between its last check and its send.
    pub pause_allowance: Duration,
    /// The most slots of one minion that one holder may have without a journaled intent.
    ///
    /// A new owner holds back as many for each incarnation that did not tell what it holds.
    pub hold_back_slots: u32,
    /// The share of a group's slots, in per cent, that intents on their way to the journal may
    /// take together.
    pub intents_max_percent: u32,
    /// The most requests that wait for the journal or for their holder's share.
    pub parked_max: usize,
}

impl GrantSettings {
    /// The time after which a grant's request has surely ended, however it was delayed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_requests::GrantSettings;
    ///
    /// let grants = GrantSettings {
    ///     transit_max: Duration::from_secs(2),
    ///     life: Duration::from_secs(30),
    ///     pause_allowance: Duration::from_secs(5),
    ///     ..GrantSettings::default()
    /// };
    /// assert_eq!(grants.ended_after(), Duration::from_secs(37));
    /// ```
    pub fn ended_after(&self) -> Duration {
        self.transit_max + self.life + self.pause_allowance
    }
}

impl Default for GrantSettings {
    fn default() -> Self {
        Self {
            send_within: Duration::from_secs(1),
            life: Duration::from_secs(30),
            transit_max: Duration::from_secs(2),
            pause_allowance: Duration::from_secs(5),
            hold_back_slots: 3,
            intents_max_percent: 50,
            parked_max: 1_000,
        }
    }
}

/// How long keys and answers are kept after their outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetentionSettings {
    /// How long an answer is kept.
    pub answer_time: Duration,
    /// The most answers kept in a group.
    pub answers_max: usize,
    /// The largest body kept.
    pub body_max_bytes: usize,
    /// How long a key is known after its outcome; it runs at most once in this time.
    pub key_time: Duration,
    /// The most keys known in a group; more are refused, none is forgotten early.
    pub keys_max: usize,
}

impl Default for RetentionSettings {
    fn default() -> Self {
        Self {
            answer_time: Duration::from_secs(600),
            answers_max: 4_096,
            body_max_bytes: 16 * 1024,
            key_time: Duration::from_secs(3_600),
            keys_max: 65_536,
        }
    }
}

/// When a minion that refuses connections gets no work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionSettings {
    /// The time without work after the first refused connection; doubled at each next one.
    pub base: Duration,
    /// The longest time without work.
    pub max: Duration,
    /// The largest share of a group's minions, in per cent, without work for this reason.
    pub share_max_percent: u32,
}

impl Default for EjectionSettings {
    fn default() -> Self {
        Self {
            base: Duration::from_secs(1),
            max: Duration::from_secs(30),
            share_max_percent: 50,
        }
    }
}
