//! Sends the requests of a load.

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

/// A completed request.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The name of the request's class.
    pub class: SmolStr,
    /// The request as sent.
    pub call: Call,
    /// When it was due to be sent, since the start of the load.
    pub intended: Duration,
    /// The time from `intended` to its end.
    pub latency: Duration,
    /// Its response, or why there is none.
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

/// A load in progress; dropping it stops new requests.
#[derive(Debug)]
pub struct RunningLoad {
    stop: watch::Sender<bool>,
    finished: mpsc::UnboundedReceiver<Finished>,
}

impl RunningLoad {
    /// Stops sending, waits for the requests in flight and returns all not yet returned by `next`.
    pub async fn stop(self) -> Vec<Finished> {
        self.stop.send_replace(true);
        self.finish().await
    }

    /// Waits until every request was sent and completed, and returns those not yet returned by
    /// `next`.
    pub async fn finish(mut self) -> Vec<Finished> {
        let mut all = Vec::new();
        while let Some(finished) = self.finished.recv().await {
            all.push(finished);
        }
        all
    }

    /// Waits for the next request to complete; `None` at the end of the load.
    pub async fn next(&mut self) -> Option<Finished> {
        self.finished.recv().await
    }
}

/// The state that all requests of a load share.
#[derive(Clone)]
struct LoadContext {
    caller: Caller,
    balancer: Address<BalancerTask>,
    finished: mpsc::UnboundedSender<Finished>,
    started_at: Instant,
}

/// Starts a load on the instances that the balancer finds ready.
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
    let (finished_sender, finished) = mpsc::unbounded_channel();
    let context = LoadContext {
        caller,
        balancer,
        finished: finished_sender,
        started_at: Instant::now(),
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
        tokio::spawn(send_class(
            class,
            arrivals,
            context.clone(),
            stopped.clone(),
        ));
    }
    RunningLoad { stop, finished }
}

async fn send_class(
    class: ClassPlan,
    arrivals: impl Iterator<Item = Duration>,
    context: LoadContext,
    mut stopped: watch::Receiver<bool>,
) {
    for (number, intended) in arrivals.enumerate() {
        tokio::select! {
            _ = tokio::time::sleep_until(context.started_at + intended) => {}
            _ = stopped.changed() => return,
        }
        let call = class.call(number);
        tokio::spawn(send(class.name.clone(), call, intended, context.clone()));
    }
}

async fn send(class: SmolStr, call: Call, intended: Duration, context: LoadContext) {
    let outcome = match context.balancer.send(Pick).await.ok().flatten() {
        Some(entry) => context.caller.call(entry, &call).await,
        None => Outcome::NotDelivered("no instance is ready".into()),
    };
    let latency = context.started_at.elapsed().saturating_sub(intended);
    let finished = Finished {
        class,
        call,
        intended,
        latency,
        outcome,
    };
    let _ = context.finished.send(finished);
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
