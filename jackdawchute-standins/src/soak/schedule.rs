//! The random schedule of faults and its execution, for any kind of fault.

use std::{collections::BTreeMap, fmt, time::Duration};

use async_trait::async_trait;
use rand::{rngs::StdRng, Rng};
use tokio::time::{sleep, Instant};
use xtra::Address;

use crate::{
    balancer::{BalancerTask, ReadReady, Target},
    harness::DEADLINE,
    proxy::{DirectionFaults, ProxyFaults},
    Result,
};

/// The shortest and the longest duration of a fault: below and above lease and takeover time.
pub(crate) const FAULT_DURATION_MS: (u64, u64) = (200, 5_000);
/// The mean number of faults that begin per second.
const FAULTS_PER_SECOND: f64 = 0.7;
/// The longest delay that a fault of a network, table or store causes.
pub(crate) const DELAY_MAX_MS: u64 = 400;
/// How long the load continues after all faults have ended and all instances are ready: longer than
/// an instance that was replaced may continue work that it had begun.
const STABLE_TIME: Duration = Duration::from_secs(6);
/// How often instances are checked for unexpected exits.
pub(crate) const SUPERVISION_PERIOD: Duration = Duration::from_millis(100);

/// A part of a cell: its kind, and its index if there are several.
pub(crate) type AffectedPart = (&'static str, Option<usize>);

/// A fault that a soak can schedule.
pub(crate) trait SoakFault: fmt::Debug + Copy {
    /// Returns the part of the cell that the fault affects; faults of one part never overlap.
    fn affected_part(&self) -> AffectedPart;
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance<F> {
    /// When the fault begins, since the start of the load.
    pub at: Duration,
    /// How long the fault lasts.
    pub duration: Duration,
    /// The fault to inject.
    pub fault: F,
}

impl<F> Disturbance<F> {
    /// Returns when the fault ends, since the start of the load.
    fn ends_at(&self) -> Duration {
        self.at + self.duration
    }
}

impl<F: fmt::Debug> fmt::Display for Disturbance<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, ends_at) = (self.at.as_secs_f64(), self.ends_at().as_secs_f64());
        write!(f, "{at:.2} to {ends_at:.2} s: {:?}", self.fault)
    }
}

/// A cell into which faults are injected.
#[async_trait]
pub(crate) trait Environment<F>: Send {
    /// Injects a fault.
    async fn begin_fault(&mut self, fault: &F) -> Result<()>;
    /// Ends a fault.
    async fn end_fault(&mut self, fault: &F) -> Result<()>;
    /// Restarts the instances that exited without a fault, which may change their addresses.
    async fn restart_exited(&mut self) -> Result<()>;
    /// Returns the current addresses of the instances.
    fn targets(&self) -> Vec<Target>;
}

/// Draws faults at random, in the order in which they begin; those of one part do not overlap.
pub(crate) fn draw_disturbances<F: SoakFault>(
    random: &mut StdRng,
    total: Duration,
    (shortest_ms, longest_ms): (u64, u64),
    mut draw_fault: impl FnMut(&mut StdRng) -> F,
) -> Vec<Disturbance<F>> {
    let count = (total.as_secs_f64() * FAULTS_PER_SECOND).ceil() as usize;
    let mut draw_one = |random: &mut StdRng| {
        let duration_ms = random.random_range(shortest_ms..longest_ms);
        Disturbance {
            at: total.mul_f64(random.random_range(0.05..0.95)),
            duration: Duration::from_millis(duration_ms),
            fault: draw_fault(random),
        }
    };
    let mut drawn: Vec<Disturbance<F>> = (0..count).map(|_| draw_one(random)).collect();
    drawn.sort_by_key(|it| it.at);
    let mut free_at: BTreeMap<_, Duration> = BTreeMap::new();
    drawn.retain(|it| {
        let free_at = free_at.entry(it.fault.affected_part()).or_default();
        let free = it.at >= *free_at;
        if free {
            *free_at = it.ends_at();
        }
        free
    });
    drawn
}

/// Injects and ends the faults at their times.
pub(crate) async fn inject_faults<F: Sync>(
    environment: &mut dyn Environment<F>,
    disturbances: &[Disturbance<F>],
    began_at: Instant,
) -> Result<()> {
    let mut steps: Vec<(Duration, &Disturbance<F>, bool)> = disturbances
        .iter()
        .flat_map(|it| [(it.at, it, true), (it.ends_at(), it, false)])
        .collect();
    steps.sort_by_key(|(at, _, begins)| (*at, *begins));
    for (at, disturbance, begins) in steps {
        environment.restart_exited().await?;
        while began_at.elapsed() < at {
            let left = at.saturating_sub(began_at.elapsed());
            sleep(left.min(SUPERVISION_PERIOD)).await;
            environment.restart_exited().await?;
        }
        if begins {
            environment.begin_fault(&disturbance.fault).await?;
        } else {
            environment.end_fault(&disturbance.fault).await?;
        }
    }
    Ok(())
}

/// Waits until all instances have been ready for [`STABLE_TIME`]; returns a violation if one does
/// not become ready.
pub(crate) async fn wait_until_stable<F>(
    environment: &mut dyn Environment<F>,
    balancer: &Address<BalancerTask>,
) -> Result<Option<String>> {
    let give_up_at = Instant::now() + DEADLINE;
    let mut ready_since = Instant::now();
    while ready_since.elapsed() < STABLE_TIME {
        environment.restart_exited().await?;
        let ready = balancer.send(ReadReady).await.unwrap_or_default();
        let targets = environment.targets();
        if let Some(missing) = targets.iter().find(|target| !ready.contains(target)) {
            ready_since = Instant::now();
            if ready_since >= give_up_at {
                let callers = missing.callers;
                return Ok(Some(format!(
                    "the instance at {callers} did not become ready again"
                )));
            }
        }
        sleep(SUPERVISION_PERIOD).await;
    }
    Ok(None)
}

/// Draws faults of a network at random: both directions blocked, one blocked, both delayed, or
/// connections refused.
pub(crate) fn draw_network_faults(random: &mut StdRng) -> ProxyFaults {
    let blocked = DirectionFaults {
        hold: true,
        ..DirectionFaults::default()
    };
    match random.random_range(0..5) {
        0 => ProxyFaults::frozen(),
        1 => ProxyFaults::refusing(),
        2 => ProxyFaults::delayed(Duration::from_millis(random.random_range(1..DELAY_MAX_MS))),
        3 => ProxyFaults {
            to_client: blocked,
            ..ProxyFaults::default()
        },
        _ => ProxyFaults {
            to_server: blocked,
            ..ProxyFaults::default()
        },
    }
}
