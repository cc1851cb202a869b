//! Which version is in use, and whether it is confirmed. No clock, socket or codec.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_ports::RowVersion;
use jackdawchute_types::ConfigurationVersion;

use crate::{Configuration, Confirmation, KnownConfiguration, PeerAnswers, PeerFailure, Reply};

/// What one instance knows of the configuration.
#[derive(Clone, Debug)]
pub struct State {
    confirm_time: Duration,
    current: Option<Arc<Configuration>>,
    /// When the current version was surely the highest accepted one.
    confirmed_at: Option<Instant>,
    /// The table's version at the last read that could be used.
    table_version: RowVersion,
    table_answers: bool,
    answered_since_plan: bool,
    reading: bool,
    asking: bool,
}

/// What to ask for now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Read the table.
    pub read_table: bool,
    /// Ask the peers.
    pub ask_peers: bool,
}

/// What a read of the table gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableRead {
    /// The rows that changed since the last read.
    Changes {
        /// The accepted configuration, if it changed.
        configuration: Option<Box<Configuration>>,
        /// The table's version at the read.
        table_version: RowVersion,
    },
    /// The table answered with a row that this program cannot read.
    Unreadable,
    /// The table did not answer.
    Failed,
}

impl State {
    /// An instance that knows no version and whose confirmations hold for `confirm_time`.
    pub fn new(confirm_time: Duration) -> Self {
        Self {
            confirm_time,
            current: None,
            confirmed_at: None,
            table_version: 0,
            table_answers: false,
            answered_since_plan: true,
            reading: false,
            asking: false,
        }
    }

    /// The configuration in use.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.current.clone()
    }

    /// Its version; 0 for none.
    pub fn version(&self) -> ConfigurationVersion {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// The version of the table to read changes after.
    pub fn table_version(&self) -> RowVersion {
        self.table_version
    }

    /// Whether the last read of the table was answered.
    pub fn table_answers(&self) -> bool {
        self.table_answers
    }

    /// Says what to ask for at a tick; peers are asked only if the table kept silent since the
    /// last one.
    pub fn plan(&mut self) -> Plan {
        let plan = Plan {
            read_table: !self.reading,
            ask_peers: !self.asking && !self.answered_since_plan,
        };
        self.reading = true;
        self.asking |= plan.ask_peers;
        self.answered_since_plan = false;
        plan
    }

    /// Says whether to ask the peers at once, after a read that failed.
    pub fn plan_after_failure(&mut self) -> Plan {
        let ask_peers = !self.asking;
        self.asking = true;
        Plan {
            read_table: false,
            ask_peers,
        }
    }

    /// Takes a configuration that was surely accepted; gives whether it is put in use.
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
        let newer = configuration.version > self.version();
        if newer {
            self.current = Some(Arc::new(configuration));
        }
        newer
    }

    /// Takes a configuration that a peer accepted with the commit at `table_version`; gives whether
    /// it is put in use. What the table had up to then need not be read any more.
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

    /// Takes the result of a read of the table that was sent at `sent`; gives whether another
    /// version is in use.
    pub fn on_table(&mut self, sent: Instant, read: TableRead) -> bool {
        self.reading = false;
        self.table_answers = !matches!(read, TableRead::Failed);
        match read {
            TableRead::Changes {
                configuration,
                table_version,
            } => {
                self.answered_since_plan = true;
                if table_version < self.table_version {
                    // The read is older than what is known, or the table was restored from a copy:
                    // the next read takes everything.
                    self.table_version = 0;
                    return false;
                }
                self.table_version = table_version;
                let newer = configuration.is_some_and(|it| self.update(*it));
                self.confirm(sent);
                newer
            }
            TableRead::Unreadable | TableRead::Failed => false,
        }
    }

    /// Takes the peers' answers to a call that was sent at `sent`; gives whether another version
    /// is in use.
    pub fn on_peers(&mut self, sent: Instant, answers: PeerAnswers) -> bool {
        self.asking = false;
        let table_down_for_all = !self.table_answers && table_down_for_all(&answers);
        let mut newer = false;
        let mut confirmed_at = table_down_for_all.then_some(sent);
        for held in answers.answers.into_iter().filter_map(held) {
            newer |= held.configuration.is_some_and(|it| self.update(*it));
            let known = held.version > 0 && held.version <= self.version();
            let ago = held.confirmed_ago.filter(|_| known);
            confirmed_at = confirmed_at.max(ago.and_then(|ago| sent.checked_sub(ago)));
        }
        if let Some(at) = confirmed_at {
            self.confirm(at);
        }
        newer
    }

    /// Whether new work may be taken at `now`.
    pub fn confirmation(&self, now: Instant) -> Confirmation {
        let until = self.confirmed_at.map(|at| at + self.confirm_time);
        match until {
            Some(until) if now < until => Confirmation::Confirmed { until },
            _ => Confirmation::Unconfirmed,
        }
    }

    /// What a peer that knows `known_version` is told at `now`.
    pub fn known_configuration(
        &self,
        known_version: ConfigurationVersion,
        now: Instant,
    ) -> KnownConfiguration {
        let newer = self.version() > known_version;
        let current = self.current.as_deref().filter(|_| newer);
        KnownConfiguration {
            version: self.version(),
            configuration: current.cloned().map(Box::new),
            confirmed_ago: self
                .confirmed_at
                .map(|at| now.saturating_duration_since(at)),
            table_answers: self.table_answers,
        }
    }

    fn confirm(&mut self, at: Instant) {
        if self.current.is_some() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }
}

/// Whether no unfenced incarnation can have accepted anything: each one answered that the table
/// does not answer it, or has ended.
fn table_down_for_all(answers: &PeerAnswers) -> bool {
    answers.complete
        && answers.answers.iter().all(|answer| match &answer.result {
            Ok(Reply::Known(held)) => !held.table_answers,
            Ok(Reply::Offered) | Err(PeerFailure::Unreachable) => false,
            Err(PeerFailure::Ended) => true,
        })
}

fn held(answer: crate::PeerAnswer) -> Option<KnownConfiguration> {
    match answer.result {
        Ok(Reply::Known(held)) => Some(held),
        _ => None,
    }
}
