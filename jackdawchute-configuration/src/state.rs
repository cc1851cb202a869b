//! Decides which version is in use and whether it is confirmed, without clocks, sockets or
//! encoding.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_ports::RowVersion;
use jackdawchute_types::ConfigurationVersion;

use crate::{Configuration, Confirmation, KnownConfiguration, PeerAnswers, PeerFailure, Reply};

/// The configuration that one instance uses, and until when it is confirmed.
#[derive(Clone, Debug)]
pub struct State {
    /// How long a confirmation is valid.
    confirm_time: Duration,
    current: Option<Arc<Configuration>>,
    /// The latest time by which it is known that no version above the one in use was accepted;
    /// `None` if nothing has shown that so far.
    confirmed_at: Option<Instant>,
    /// The table version after which the next read starts; 0 to read every row.
    table_version: RowVersion,
    /// Whether the table answered the last read.
    table_answers: bool,
    /// Whether a usable answer of the table arrived since the last poll; initially true, so that
    /// the first poll asks no peers.
    answered_since_poll: bool,
    /// Whether a read of the table has no result yet.
    read_pending: bool,
    /// Whether a query to the peers has no result yet.
    query_pending: bool,
}

/// The calls to start now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Whether to read the table.
    pub read_table: bool,
    /// Whether to ask the peers which version they use.
    pub ask_peers: bool,
}

/// The result of a read of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableRead {
    /// The rows that changed since the last read.
    Changes {
        /// The accepted configuration, if its row changed.
        configuration: Option<Box<Configuration>>,
        /// The table's version at the time of the read.
        table_version: RowVersion,
    },
    /// The table answered with a row that this program cannot decode.
    Unreadable,
    /// The call to the table failed.
    Failed,
}

impl State {
    /// Creates the state of an instance that knows no version; its confirmations are valid for
    /// `confirm_time`.
    pub fn new(confirm_time: Duration) -> Self {
        Self {
            confirm_time,
            current: None,
            confirmed_at: None,
            table_version: 0,
            table_answers: false,
            answered_since_poll: true,
            read_pending: false,
            query_pending: false,
        }
    }

    /// Returns the configuration in use; `None` before the first one.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.current.clone()
    }

    /// Returns the version in use; 0 for none.
    pub fn version(&self) -> ConfigurationVersion {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// Returns the table version after which the next read starts; 0 to read every row.
    pub fn table_version(&self) -> RowVersion {
        self.table_version
    }

    /// Returns whether the table answered the last read.
    pub fn table_answers(&self) -> bool {
        self.table_answers
    }

    /// Returns the calls of a poll: a read of the table and, if no usable answer of the table
    /// arrived since the previous poll, a query to the peers. Neither is repeated while the
    /// previous one of its kind is pending.
    pub fn plan_poll(&mut self) -> Plan {
        let plan = Plan {
            read_table: !self.read_pending,
            ask_peers: !self.query_pending && !self.answered_since_poll,
        };
        self.read_pending = true;
        self.query_pending |= plan.ask_peers;
        self.answered_since_poll = false;
        plan
    }

    /// Returns the calls to start after a failed read of the table: a query to the peers, unless
    /// one is pending.
    pub fn plan_after_failed_read(&mut self) -> Plan {
        let ask_peers = !self.query_pending;
        self.query_pending = true;
        Plan {
            read_table: false,
            ask_peers,
        }
    }

    /// Puts a configuration in use if its version is higher than the one in use, and returns
    /// whether it did. The caller must know that the configuration was accepted.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use jackdawchute_configuration::{Configuration, State};
    ///
    /// let mut state = State::new(Duration::from_secs(10));
    /// assert!(state.update(Configuration { version: 2, ..Configuration::default() }));
    /// assert!(!state.update(Configuration { version: 1, ..Configuration::default() }));
    /// assert_eq!(state.version(), 2);
    /// ```
    pub fn update(&mut self, configuration: Configuration) -> bool {
        let is_newer = configuration.version > self.version();
        if is_newer {
            self.current = Some(Arc::new(configuration));
        }
        is_newer
    }

    /// Updates the configuration in use, as [`State::update`] does, with one that this instance or
    /// a peer committed at `table_version`; returns whether it is put in use.
    ///
    /// Unless the configuration is older than the one in use, the table's changes up to
    /// `table_version` are not read any more.
    pub fn update_committed(
        &mut self,
        configuration: Configuration,
        table_version: RowVersion,
    ) -> bool {
        if configuration.version >= self.version() {
            self.table_version = self.table_version.max(table_version);
        }
        self.update(configuration)
    }

    /// Applies the result of a read of the table that was sent at `sent`; returns whether it puts
    /// another version in use.
    pub fn on_table_read(&mut self, sent: Instant, read: TableRead) -> bool {
        self.read_pending = false;
        self.table_answers = !matches!(read, TableRead::Failed);
        match read {
            TableRead::Changes {
                configuration,
                table_version,
            } => {
                self.answered_since_poll = true;
                if table_version < self.table_version {
                    // The result is older than one applied before, or the table was restored from
                    // an older copy: the next read covers every row.
                    self.table_version = 0;
                    return false;
                }
                self.table_version = table_version;
                let updated = configuration.is_some_and(|it| self.update(*it));
                self.confirm(sent);
                updated
            }
            TableRead::Unreadable | TableRead::Failed => false,
        }
    }

    /// Applies the peers' answers to a query that was sent at `sent`; returns whether they put
    /// another version in use.
    ///
    /// If no instance reaches the table, the version in use is confirmed as of `sent`. Otherwise a
    /// peer whose version is not higher confirms it: nothing above the peer's version was accepted
    /// when that was confirmed.
    pub fn on_peer_answers(&mut self, sent: Instant, answers: PeerAnswers) -> bool {
        self.query_pending = false;
        let table_down_for_all = !self.table_answers && is_table_down_for_all(&answers);
        let mut updated = false;
        let mut confirmed_at = table_down_for_all.then_some(sent);
        for known in answers.answers.into_iter().filter_map(into_known) {
            updated |= known.configuration.is_some_and(|it| self.update(*it));
            let not_higher = known.version > 0 && known.version <= self.version();
            let ago = known.confirmed_ago.filter(|_| not_higher);
            confirmed_at = confirmed_at.max(ago.and_then(|ago| sent.checked_sub(ago)));
        }
        if let Some(at) = confirmed_at {
            self.confirm(at);
        }
        updated
    }

    /// Returns the confirmation of the version in use at `now`.
    pub fn confirmation(&self, now: Instant) -> Confirmation {
        let until = self.confirmed_at.map(|at| at + self.confirm_time);
        match until {
            Some(until) if now < until => Confirmation::Confirmed { until },
            _ => Confirmation::Unconfirmed,
        }
    }

    /// Returns the answer at `now` to the query of a peer that uses `known_version`.
    pub fn known_configuration(
        &self,
        known_version: ConfigurationVersion,
        now: Instant,
    ) -> KnownConfiguration {
        let is_newer = self.version() > known_version;
        let current = self.current.as_deref().filter(|_| is_newer);
        KnownConfiguration {
            version: self.version(),
            configuration: current.cloned().map(Box::new),
            confirmed_ago: self
                .confirmed_at
                .map(|at| now.saturating_duration_since(at)),
            table_answers: self.table_answers,
        }
    }

    /// Records that no version above the one in use, if any, was accepted by `at`.
    fn confirm(&mut self, at: Instant) {
        if self.current.is_some() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }
}

/// Returns whether no other unfenced incarnation can have accepted a version: each one answered
/// that the table does not answer it, or has ended.
fn is_table_down_for_all(answers: &PeerAnswers) -> bool {
    answers.complete
        && answers.answers.iter().all(|answer| match &answer.result {
            Ok(Reply::Known(known)) => !known.table_answers,
            Ok(Reply::Offered) | Err(PeerFailure::Unreachable) => false,
            Err(PeerFailure::Ended) => true,
        })
}

fn into_known(answer: crate::PeerAnswer) -> Option<KnownConfiguration> {
    match answer.result {
        Ok(Reply::Known(known)) => Some(known),
        _ => None,
    }
}
