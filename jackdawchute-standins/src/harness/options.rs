//! What a cell is made of.

use std::{path::PathBuf, time::Duration};

use jackdawchute_types::{FailureDomainId, Resources, ServiceId};

/// The configuration that a cell starts with: both services and every class of the tests.
const CONFIGURATION: &str = include_str!("configuration.yaml");

/// The minions of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePlan {
    /// The service.
    pub service: ServiceId,
    /// How many minions it has, spread over the failure domains.
    pub minions: usize,
    /// The slots of each.
    pub slots: u32,
    /// The connections of each.
    pub connections: u32,
}

/// The workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerPlan {
    /// How many.
    pub workers: usize,
    /// How many of them are in one rack.
    pub workers_per_rack: usize,
    /// What each has.
    pub resources: Resources,
}

/// The periods of the entry instances, shorter than in production so that tests are short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time between two renewals.
    pub renewal_interval: Duration,
    /// How long an owner acts after a renewal.
    pub lease: Duration,
    /// How long a row stands still before it is taken over.
    pub takeover: Duration,
    /// The time between two reads of the membership list.
    pub membership_poll: Duration,
    /// The time between two reads of the configuration.
    pub configuration_poll: Duration,
    /// How long a configuration needs no confirmation.
    pub configuration_confirm: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            renewal_interval: Duration::from_millis(300),
            lease: Duration::from_millis(1_500),
            takeover: Duration::from_millis(2_500),
            membership_poll: Duration::from_millis(300),
            configuration_poll: Duration::from_millis(500),
            configuration_confirm: Duration::from_millis(6_000),
        }
    }
}

/// What a cell is made of.
#[derive(Clone, Debug)]
pub struct CellOptions {
    /// The shipped binary.
    pub program: PathBuf,
    /// The number of entry instances.
    pub entries: usize,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// How many minions, from the last one on, are not in the membership list at the start.
    pub unlisted_minions: usize,
    /// The workers.
    pub workers: WorkerPlan,
    /// The failure domains, over which everything is spread.
    pub failure_domains: Vec<FailureDomainId>,
    /// The configuration in YAML.
    pub configuration: String,
    /// The periods of the entry instances.
    pub timing: Timing,
    /// How long changes of the membership list do not show.
    pub membership_lag: Duration,
}

impl CellOptions {
    /// Two entry instances, four minions of the repair desk and no worker.
    ///
    /// ```
    /// use jackdawchute_standins::harness::CellOptions;
    ///
    /// let options = CellOptions::new("target/debug/jackdawchute");
    /// assert_eq!(options.entries, 2);
    /// ```
    pub fn new(program: impl Into<PathBuf>) -> Self {
        Self {
            program: program.into(),
            entries: 2,
            services: vec![ServicePlan {
                service: "repair-desk".into(),
                minions: 4,
                slots: 8,
                connections: 64,
            }],
            unlisted_minions: 0,
            workers: WorkerPlan {
                workers: 0,
                workers_per_rack: 4,
                resources: Resources::new(8_000, 32_768, 2),
            },
            failure_domains: vec!["ala-1".into(), "ala-2".into(), "ala-3".into()],
            configuration: CONFIGURATION.into(),
            timing: Timing::default(),
            membership_lag: Duration::ZERO,
        }
    }
}
