//! The options of a test cell.

use std::{path::PathBuf, time::Duration};

use jackdawchute_types::{FailureDomainId, Resources, ServiceId};

/// The default configuration of a cell, with the services and classes that the tests use.
const CONFIGURATION: &str = include_str!("configuration.yaml");

/// The minions of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePlan {
    /// The id of the service.
    pub service: ServiceId,
    /// The number of minions, which are assigned to the failure domains round-robin.
    pub minions: usize,
    /// The slots of each minion.
    pub slots: u32,
    /// The most connections that instances may open to each minion at a time.
    pub connections: u32,
}

/// The workers of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerPlan {
    /// The number of workers.
    pub workers: usize,
    /// The number of workers in each rack.
    pub workers_per_rack: usize,
    /// The total resources of each worker.
    pub resources: Resources,
}

/// The timing settings of the entry instances, shorter than in production to keep tests fast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time between two renewals of the owner lease.
    pub renewal_interval: Duration,
    /// How long an owner may act after a renewal.
    pub lease: Duration,
    /// How long an incarnation's row must stay unchanged before its groups are claimed.
    pub takeover: Duration,
    /// The time between two polls of the membership list.
    pub membership_poll: Duration,
    /// The time between two polls of the configuration.
    pub configuration_poll: Duration,
    /// How long a configuration may be used after its last confirmation.
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

/// The options of a test cell.
#[derive(Clone, Debug)]
pub struct CellOptions {
    /// The path of the `jackdawchute` binary.
    pub program: PathBuf,
    /// The number of entry instances at the start.
    pub entries: usize,
    /// The services and their minions.
    pub services: Vec<ServicePlan>,
    /// How many minions, counted from the last, the membership list omits at the start.
    pub unlisted_minions: usize,
    /// The workers and their racks.
    pub workers: WorkerPlan,
    /// The failure domains, to which instances, minions and racks are assigned round-robin.
    pub failure_domains: Vec<FailureDomainId>,
    /// The initial configuration in YAML.
    pub configuration: String,
    /// The timing settings of the entry instances.
    pub timing: Timing,
    /// How long changes of the membership list stay invisible to its readers.
    pub membership_lag: Duration,
}

impl CellOptions {
    /// Returns options for two entry instances, four minions of the repair desk and no worker.
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
