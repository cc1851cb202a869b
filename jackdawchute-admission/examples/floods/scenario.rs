//! The simulated users, their classes and the floods.

use std::{collections::BTreeMap, time::Duration};

use jackdawchute_admission::{
    AdmissionPolicy, ClassLimits, FairShare, Fifo, Limits, Rate, StrictPriority, TokenBucket,
};
use jackdawchute_types::ClassId;

/// Number of minions of a service.
pub const MINIONS: u32 = 50;
/// Slots of each minion.
const SLOTS: u32 = 8;
/// Load that a flood offers, as a multiple of the capacity.
pub const FLOOD_FACTOR: f64 = 10.0;
/// Number of teams of each class; the first sends half of its requests.
pub const TEAMS: usize = 10;
/// Rate of the token buckets, as a multiple of the class's normal rate.
const BUCKET_FACTOR: f64 = 1.2;
/// Size of the token buckets, as the time in which their rate fills them.
const BUCKET_BURST: Duration = Duration::from_millis(500);

/// The load and limits of one class of a user.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    pub name: &'static str,
    pub priority: u32,
    pub service_time: Duration,
    pub deadline: Duration,
    pub floor_percent: u32,
    /// The offered load without a flood, as a share of the capacity.
    pub load: f64,
}

impl ClassLoad {
    /// Returns the requests per second that are this share of the capacity of all minions.
    pub fn rate(&self, load: f64) -> f64 {
        load * f64::from(MINIONS * SLOTS) / self.service_time.as_secs_f64()
    }
}

/// A user with its classes of requests.
#[derive(Clone, Debug)]
pub struct User {
    pub name: &'static str,
    /// The most urgent first.
    pub classes: Vec<ClassLoad>,
}

fn class(
    name: &'static str,
    priority: u32,
    (service_ms, deadline_ms): (u64, u64),
    (floor_percent, load): (u32, f64),
) -> ClassLoad {
    ClassLoad {
        name,
        priority,
        service_time: Duration::from_millis(service_ms),
        deadline: Duration::from_millis(deadline_ms),
        floor_percent,
        load,
    }
}

/// Returns both users with the loads that the requirements give.
pub fn users() -> Vec<User> {
    vec![
        User {
            name: "repair-desk",
            classes: vec![
                class("counter", 0, (40, 1_000), (30, 0.20)),
                class("quote", 1, (150, 3_000), (30, 0.20)),
                class("overnight", 2, (800, 30_000), (30, 0.20)),
            ],
        },
        User {
            name: "forecasting",
            classes: vec![
                class("bakery-order", 0, (60, 2_000), (20, 0.10)),
                class("breakfast-evening", 1, (400, 5_000), (45, 0.35)),
                class("batch", 2, (1_000, 30_000), (30, 0.20)),
            ],
        },
    ]
}

/// Which class floods.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    None,
    LeastUrgent,
    MostUrgent,
}

impl Flood {
    /// Every flood, without [`Flood::None`].
    pub const ALL: [Self; 2] = [Self::LeastUrgent, Self::MostUrgent];

    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::LeastUrgent => "least-urgent",
            Self::MostUrgent => "most-urgent",
        }
    }

    /// Returns the index of the class that floods.
    pub fn class_index(self, user: &User) -> Option<usize> {
        match self {
            Self::None => None,
            Self::LeastUrgent => Some(user.classes.len() - 1),
            Self::MostUrgent => Some(0),
        }
    }
}

/// A user's load on a number of minions, with or without a flood.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub user: User,
    pub minions: u32,
    pub flood: Flood,
}

impl Scenario {
    pub fn new(user: &User, minions: u32, flood: Flood) -> Self {
        Self {
            user: user.clone(),
            minions,
            flood,
        }
    }

    pub fn capacity_units(&self) -> u32 {
        self.minions * SLOTS
    }

    /// Returns the requests per second of the class at `index`.
    pub fn rate(&self, index: usize) -> f64 {
        let class = &self.user.classes[index];
        if self.flood.class_index(&self.user) == Some(index) {
            return class.rate(FLOOD_FACTOR);
        }
        class.rate(class.load)
    }

    pub fn limits(&self) -> Limits {
        let limits = |class: &ClassLoad| {
            let limits = ClassLimits {
                priority: class.priority,
                queue_max: 10_000,
                floor_percent: class.floor_percent,
                deadline: class.deadline,
            };
            (ClassId::new(class.name), limits)
        };
        Limits {
            classes: self.user.classes.iter().map(limits).collect(),
            quotas: BTreeMap::new(),
        }
    }

    /// Creates the policy with this name.
    pub fn policy(&self, name: &str) -> Box<dyn AdmissionPolicy> {
        match name {
            "fifo" => Box::new(Fifo::default()),
            "strict-priority" => Box::new(StrictPriority::default()),
            "bucket+fifo" => Box::new(TokenBucket::new(Box::new(Fifo::default()), self.rates())),
            "bucket+strict" => {
                let inner = Box::new(StrictPriority::default());
                Box::new(TokenBucket::new(inner, self.rates()))
            }
            "bucket+fair" => {
                let inner = Box::new(FairShare::default());
                Box::new(TokenBucket::new(inner, self.rates()))
            }
            "fair-no-headroom" => Box::new(FairShare::with_headroom(0)),
            "fair-headroom-5" => Box::new(FairShare::with_headroom(5)),
            _ => Box::new(FairShare::default()),
        }
    }

    fn rates(&self) -> BTreeMap<ClassId, Rate> {
        let rate = |class: &ClassLoad| {
            let units_per_second = class.rate(class.load) * BUCKET_FACTOR;
            let rate = Rate {
                units_per_second,
                burst_units: (units_per_second * BUCKET_BURST.as_secs_f64()).max(1.0),
            };
            (ClassId::new(class.name), rate)
        };
        self.user.classes.iter().map(rate).collect()
    }
}

/// Returns the names of the policies, the fair one last.
pub fn policies(extra: bool) -> Vec<&'static str> {
    let mut names = vec!["fifo", "strict-priority", "bucket+fifo", "bucket+strict"];
    if extra {
        names.extend(["bucket+fair", "fair-no-headroom", "fair-headroom-5"]);
    }
    names.push("fair-share");
    names
}
