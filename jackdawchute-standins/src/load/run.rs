//! Sends a load.

use std::{fmt, time::Duration};

use smol_str::{format_smolstr, SmolStr};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};
use xtra::prelude::*;

use super::{Arrivals, ClassPlan, Plan};
use crate::{
    balancer::{BalancerTask, Pick},
    caller::{Call, Caller, Outcome},
};

/// A request that is over.
#[derive(Clone, Debug)]
pub struct Finished {
    /// Its class.
    pub class: SmolStr,
    /// What was asked.
    pub call: Call,
    /// When it was to be sent, since the start of the load.
    pub intended: Duration,
    /// The time from that instant to its end.
    pub latency: Duration,
    /// What became of it.
    pub outcome: Outcome,
}

impl fmt::Display for Finished {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} at {} ms after {} ms: {:?}",
            self.call.tag,
            self.intended.as_millis(),
            self.latency.as_millis(),
            self.outcome
        )
    }
}

/// A load under way; dropping it stops new requests.
#[derive(Debug)]
pub struct RunningLoad {
    stop: watch::Sender<bool>,
    finished: mpsc::UnboundedReceiver<Finished>,
}

impl RunningLoad {
    /// Stops sending and waits for the requests in flight.
    pub async fn stop(self) -> Vec<Finished> {
        self.stop.send_replace(true);
        self.finish().await
    }

    /// Waits until everything was sent and is over.
    pub async fn finish(mut self) -> Vec<Finished> {
        let mut all = Vec::new();
        while let Some(finished) = self.finished.recv().await {
            all.push(finished);
        }
        all
    }

    /// Waits for the next request that is over.
    pub async fn next(&mut self) -> Option<Finished> {
        self.finished.recv().await
    }
}

/// What all the requests of a load share.
#[derive(Clone)]
struct Sender {
    caller: Caller,
    balancer: Address<BalancerTask>,
    finished: mpsc::UnboundedSender<Finished>,
    started: Instant,
}

/// Starts a load on the instances that `balancer` finds ready.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> jackdawchute_standins::Result<()> {
/// use jackdawchute_standins::{balancer, caller::Caller, load};
///
/// let plan = load::Plan::parse("{ seed: 1, duration_ms: 10, classes: [] }")?;
/// let load = load::start(&plan, Caller::new()?, balancer::spawn(Vec::new()));
/// assert!(load.finish().await.is_empty());
/// # Ok(())
/// # }
/// ```
pub fn start(plan: &Plan, caller: Caller, balancer: Address<BalancerTask>) -> RunningLoad {
    let (stop, stopped) = watch::channel(false);
    let (sender, finished) = mpsc::unbounded_channel();
    let sender = Sender {
        caller,
        balancer,
        finished: sender,
        started: Instant::now(),
    };
    for (index, class) in plan.classes.iter().enumerate() {
        let class = class.clone();
        let stop_at = class.stop.unwrap_or(plan.duration).min(plan.duration);
        let seed = plan.seed.wrapping_add(index as u64);
        let arrivals = Arrivals::new(seed, class.rate_per_second)
            .map(move |arrival| arrival + class.start)
            .take_while(move |arrival| *arrival < stop_at)
            .take(plan.count_max);
        let class = plan.classes[index].clone();
        tokio::spawn(send_class(class, arrivals, sender.clone(), stopped.clone()));
    }
    RunningLoad { stop, finished }
}

async fn send_class(
    class: ClassPlan,
    arrivals: impl Iterator<Item = Duration>,
    sender: Sender,
    mut stopped: watch::Receiver<bool>,
) {
    for (number, intended) in arrivals.enumerate() {
        tokio::select! {
            _ = tokio::time::sleep_until(sender.started + intended) => {}
            _ = stopped.changed() => return,
        }
        let call = class.call(number);
        tokio::spawn(send(class.name.clone(), call, intended, sender.clone()));
    }
}

async fn send(class: SmolStr, call: Call, intended: Duration, sender: Sender) {
    let outcome = match sender.balancer.send(Pick).await.ok().flatten() {
        Some(entry) => sender.caller.call(entry, &call).await,
        None => Outcome::NotDelivered("no instance is ready".into()),
    };
    let latency = sender.started.elapsed().saturating_sub(intended);
    let finished = Finished {
        class,
        call,
        intended,
        latency,
        outcome,
    };
    let _ = sender.finished.send(finished);
}

impl ClassPlan {
    fn call(&self, number: usize) -> Call {
        let tag = format_smolstr!("{}-{number}", self.name);
        Call {
            method: self.method.clone(),
            path: self.path.clone(),
            key: self.keyed.then(|| format_smolstr!("key-{tag}")),
            deadline: self.deadline,
            body: vec![b'x'; self.body_bytes],
            tag,
        }
    }
}
