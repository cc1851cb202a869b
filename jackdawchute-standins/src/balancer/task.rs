//! The task that checks the readiness of instances and picks among the ready ones.

use std::{net::SocketAddr, time::Duration};

use xtra::{prelude::*, refcount::Weak};

use super::{
    messages::{CheckResult, ReadTargets},
    Pick, ReadReady, SetTargets, Target,
};

/// The time between two readiness checks of an instance.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a readiness check may take before the instance counts as not ready.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// The task that owns the instances and picks the ready ones round-robin.
#[derive(Debug, Default, xtra::Actor)]
pub struct BalancerTask {
    targets: Vec<Target>,
    ready: Vec<Target>,
    next: usize,
}

/// Starts a balancer; its checks end once the last handle to it is dropped.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// use jackdawchute_standins::balancer;
///
/// let balancer = balancer::spawn(Vec::new());
/// assert_eq!(balancer.send(balancer::Pick).await, Ok(None));
/// # }
/// ```
pub fn spawn(targets: Vec<Target>) -> Address<BalancerTask> {
    let task = BalancerTask {
        targets,
        ..BalancerTask::default()
    };
    let address = xtra::spawn_tokio(task, Mailbox::unbounded());
    tokio::spawn(run_checks(address.downgrade()));
    address
}

async fn run_checks(balancer: Address<BalancerTask, Weak>) {
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(CHECK_TIMEOUT)
        .build()
        .unwrap_or_default();
    while let Ok(targets) = balancer.send(ReadTargets).await {
        for target in targets {
            tokio::spawn(check(client.clone(), target, balancer.clone()));
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn check(client: reqwest::Client, target: Target, balancer: Address<BalancerTask, Weak>) {
    let url = format!("http://{}/readyz", target.operators);
    let ready = match client.get(url).send().await {
        Ok(response) => response.status().is_success(),
        Err(_) => false,
    };
    let _ = balancer.send(CheckResult { target, ready }).await;
}

impl Handler<Pick> for BalancerTask {
    type Return = Option<SocketAddr>;

    async fn handle(&mut self, _pick: Pick, _context: &mut Context<Self>) -> Option<SocketAddr> {
        self.next = self.next.wrapping_add(1);
        let index = self.next.checked_rem(self.ready.len())?;
        Some(self.ready[index].callers)
    }
}

impl Handler<ReadReady> for BalancerTask {
    type Return = Vec<Target>;

    async fn handle(&mut self, _read: ReadReady, _context: &mut Context<Self>) -> Vec<Target> {
        self.ready.clone()
    }
}

impl Handler<SetTargets> for BalancerTask {
    type Return = ();

    async fn handle(&mut self, set: SetTargets, _context: &mut Context<Self>) {
        self.targets = set.0;
        let targets = &self.targets;
        self.ready.retain(|target| targets.contains(target));
    }
}

impl Handler<ReadTargets> for BalancerTask {
    type Return = Vec<Target>;

    async fn handle(&mut self, _read: ReadTargets, _context: &mut Context<Self>) -> Vec<Target> {
        self.targets.clone()
    }
}

impl Handler<CheckResult> for BalancerTask {
    type Return = ();

    async fn handle(&mut self, result: CheckResult, _context: &mut Context<Self>) {
        let was_ready = self.ready.contains(&result.target);
        if !result.ready {
            self.ready.retain(|target| *target != result.target);
        } else if !was_ready && self.targets.contains(&result.target) {
            self.ready.push(result.target);
        }
    }
}
