//! Settings of the requests task, which the fleet's configuration provides.

use std::time::Duration;

use jackdawchute_admission::Limits;

use crate::RetrySettings;

/// The settings of every service group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// The admission limits of classes and teams.
    pub limits: Limits,
    /// How long a grant is valid, and how many grants one holder may have.
    pub grants: GrantSettings,
    /// How long keys and answers are retained.
    pub retention: RetentionSettings,
    /// How long a minion that refuses connections is ejected.
    pub ejection: EjectionSettings,
    /// When a failed attempt is retried.
    pub retries: RetrySettings,
}

/// Time limits and counts of grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantSettings {
    /// Time from a grant's arrival within which its request must be sent.
    pub send_within: Duration,
    /// Time from a grant's arrival within which the whole response must be received.
    pub life: Duration,
    /// The longest time in transit from the owner to the holder; a grant that took longer is not
    /// used.
    pub transit_max: Duration,
    /// How long a holder's process may be paused between its last check and the send.
    pub pause_allowance: Duration,
    /// The most slots of one minion that one holder may use without a journaled intent.
    ///
    /// A new owner holds back as many on each minion for every registered holder that has not yet
    /// reported its grants.
    pub hold_back_slots: u32,
    /// The share of a group's slots, in per cent, that requests may use together while their
    /// intents are being journaled.
    pub intents_max_percent: u32,
    /// The most calls of a group that wait for the journal or for their holder's share of slots.
    pub parked_max: usize,
}

impl GrantSettings {
    /// Returns the time after which a grant's request is known to have ended.
    ///
    /// A holder uses no grant that was longer in transit than `transit_max`, is paused for
    /// `pause_allowance` at most, and closes the connection after `life`.
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

/// How long keys and answers are retained after the outcome of the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetentionSettings {
    /// How long an answer is retained.
    pub answer_time: Duration,
    /// The most answers retained in a group; the oldest are dropped first.
    pub answers_max: usize,
    /// The largest response body that is stored; larger ones are dropped.
    pub body_max_bytes: usize,
    /// How long a key is retained after its outcome; its request runs at most once in this time.
    pub key_time: Duration,
    /// The most keys retained in a group; further ones are refused, and none is dropped early.
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

/// How long a minion that refuses connections gets no work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionSettings {
    /// The ejection time after the first refused connection; doubled at each further one.
    pub base: Duration,
    /// The longest ejection time.
    pub max: Duration,
    /// The largest share of a group's live minions, in per cent, that may be ejected.
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
