//! When faults begin and end, whatever they are.

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

/// The shortest and the longest time that a fault lasts: below and above lease and takeover.
const LASTS_MS: (u64, u64) = (200, 5_000);
/// How many faults begin in each second, on average.
const FAULTS_PER_SECOND: f64 = 0.7;
/// The longest delay of a slow network, table or store.
pub(crate) const DELAY_MAX_MS: u64 = 400;
/// How long the load goes on once all faults are over and all instances ready: longer than an
/// instance that was replaced may go on with what it has begun.
const CALM: Duration = Duration::from_secs(6);
/// How often a stage is supervised.
pub(crate) const SUPERVISION_PERIOD: Duration = Duration::from_millis(100);

/// A part of a cell: its kind, and which of them.
pub(crate) type Part = (&'static str, Option<usize>);

/// A fault of some kind.
pub(crate) trait Strikes: fmt::Debug + Copy {
    /// The part of the cell that it strikes; two faults never strike the same part at once.
    fn part(&self) -> Part;
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance<F> {
    /// When it begins, since the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What goes wrong.
    pub fault: F,
}

impl<F> Disturbance<F> {
    /// When it is over.
    fn ends_at(&self) -> Duration {
        self.at + self.lasts
    }
}

impl<F: fmt::Debug> fmt::Display for Disturbance<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, ends_at) = (self.at.as_secs_f64(), self.ends_at().as_secs_f64());
        write!(f, "{at:.2} to {ends_at:.2} s: {:?}", self.fault)
    }
}

/// Where faults are brought about.
#[async_trait]
pub(crate) trait Stage<F>: Send {
    /// Brings a fault about.
    async fn begin(&mut self, fault: &F) -> Result<()>;
    /// Ends it.
    async fn end(&mut self, fault: &F) -> Result<()>;
    /// Starts again what has ended by itself, maybe at another address.
    async fn supervise(&mut self) -> Result<()>;
    /// Where the instances are at the moment.
    fn targets(&self) -> Vec<Target>;
}

/// Draws faults in the order in which they begin; those on one part do not overlap.
pub(crate) fn draw<F: Strikes>(
    random: &mut StdRng,
    all_last: Duration,
    mut draw_fault: impl FnMut(&mut StdRng) -> F,
) -> Vec<Disturbance<F>> {
    let count = (all_last.as_secs_f64() * FAULTS_PER_SECOND).ceil() as usize;
    let mut draw_one = |random: &mut StdRng| {
        let lasts_ms = random.random_range(LASTS_MS.0..LASTS_MS.1);
        Disturbance {
            at: all_last.mul_f64(random.random_range(0.05..0.95)),
            lasts: Duration::from_millis(lasts_ms),
            fault: draw_fault(random),
        }
    };
    let mut drawn: Vec<Disturbance<F>> = (0..count).map(|_| draw_one(random)).collect();
    drawn.sort_by_key(|it| it.at);
    let mut free_at: BTreeMap<_, Duration> = BTreeMap::new();
    drawn.retain(|it| {
        let free_at = free_at.entry(it.fault.part()).or_default();
        let free = it.at >= *free_at;
        if free {
            *free_at = it.ends_at();
        }
        free
    });
    drawn
}

/// Begins and ends the faults at their times.
pub(crate) async fn play<F: Sync>(
    stage: &mut dyn Stage<F>,
    disturbances: &[Disturbance<F>],
    began_at: Instant,
) -> Result<()> {
    let mut steps: Vec<(Duration, &Disturbance<F>, bool)> = disturbances
        .iter()
        .flat_map(|it| [(it.at, it, true), (it.ends_at(), it, false)])
        .collect();
    steps.sort_by_key(|(at, _, begins)| (*at, *begins));
    for (at, disturbance, begins) in steps {
        stage.supervise().await?;
        while began_at.elapsed() < at {
            let left = at.saturating_sub(began_at.elapsed());
            sleep(left.min(SUPERVISION_PERIOD)).await;
            stage.supervise().await?;
        }
        if begins {
            stage.begin(&disturbance.fault).await?;
        } else {
            stage.end(&disturbance.fault).await?;
        }
    }
    Ok(())
}

/// Waits until all targets have been ready for a while; what must not be if one is not ready again.
pub(crate) async fn wait_until_calm<F>(
    stage: &mut dyn Stage<F>,
    balancer: &Address<BalancerTask>,
) -> Result<Option<String>> {
    let give_up_at = Instant::now() + DEADLINE;
    let mut ready_since = Instant::now();
    while ready_since.elapsed() < CALM {
        stage.supervise().await?;
        let ready = balancer.send(ReadReady).await.unwrap_or_default();
        let targets = stage.targets();
        if let Some(missing) = targets.iter().find(|target| !ready.contains(target)) {
            ready_since = Instant::now();
            if ready_since >= give_up_at {
                let callers = missing.callers;
                return Ok(Some(format!(
                    "the instance at {callers} is not ready again"
                )));
            }
        }
        sleep(SUPERVISION_PERIOD).await;
    }
    Ok(None)
}

/// A network that is cut, cut one way, delayed or refusing.
pub(crate) fn draw_network(random: &mut StdRng) -> ProxyFaults {
    let held = DirectionFaults {
        hold: true,
        ..DirectionFaults::default()
    };
    match random.random_range(0..5) {
        0 => ProxyFaults::frozen(),
        1 => ProxyFaults::refusing(),
        2 => ProxyFaults::delayed(Duration::from_millis(random.random_range(1..DELAY_MAX_MS))),
        3 => ProxyFaults {
            to_client: held,
            ..ProxyFaults::default()
        },
        _ => ProxyFaults {
            to_server: held,
            ..ProxyFaults::default()
        },
    }
}
