//! The jobs task: passes messages to the home and rack owners and carries out their effects.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use jackdawchute_admission::AdmissionPolicy;
use jackdawchute_ownership::{Append, Directory, GroupEvent, LeaseState};
use jackdawchute_placement::PlacementPolicy;
use jackdawchute_ports::{MemberRole, MembershipList, WorkerPort};
use jackdawchute_timer::{Subscribe, Tick, TimerTask};
use jackdawchute_types::{IncarnationId, Recorder, Refusal, WorkerId};
use tokio::sync::{mpsc, oneshot};
use xtra::prelude::*;

use crate::{
    effect::{CallId, Count, Effect, Now},
    home::HomeGroups,
    names::HOME_PREFIX,
    outbound::{self, AppendResult, Outbound, OwnerAnswer, PendingAppend, WorkerAnswer},
    rack::RackGroups,
    Call, ChangeSettings, Explain, Explanation, Incoming, JobsStatus, OwnerCalls, Reply, Settings,
    Status, WorkerCharge,
};

/// The time between two ticks, at which home and rack owners do what is due.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Makes the ports through which workers are called.
pub trait WorkerPorts: Send + Sync + 'static {
    /// Returns a port to the worker at an address.
    fn port(&self, worker: &WorkerId, address: SocketAddr) -> Arc<dyn WorkerPort>;
}

/// The collaborators and settings of the jobs task.
pub struct Options {
    /// The incarnation of this entry instance.
    pub incarnation: IncarnationId,
    /// The channel to the journal.
    pub append: MessageChannel<Append, ()>,
    /// The timer that sends the ticks.
    pub timer: Address<TimerTask>,
    /// The client for calls to owners in other processes.
    pub owner_calls: Arc<dyn OwnerCalls>,
    /// Makes the ports to workers.
    pub workers: Arc<dyn WorkerPorts>,
    /// Records the metrics.
    pub recorder: Arc<dyn Recorder>,
    /// The policy that chooses workers for tasks.
    pub policy: Box<dyn PlacementPolicy>,
    /// The policy that decides in which order queued work is admitted.
    pub admission: Box<dyn AdmissionPolicy>,
    /// The initial settings.
    pub settings: Arc<Settings>,
}

/// The task that owns the state of the home groups and racks of this instance.
#[derive(xtra::Actor)]
pub struct JobsTask {
    homes: HomeGroups,
    racks: RackGroups,
    outbound: Arc<Outbound>,
    appends: mpsc::UnboundedSender<PendingAppend>,
    workers: Arc<dyn WorkerPorts>,
    /// The port to each worker listed so far, and the address that the port was made for.
    ports: HashMap<WorkerId, (SocketAddr, Arc<dyn WorkerPort>)>,
    recorder: Arc<dyn Recorder>,
    members: Arc<MembershipList>,
    /// Received calls that are not answered yet.
    calls: HashMap<CallId, oneshot::Sender<Result<Reply, Refusal>>>,
    next_call: CallId,
}

/// Starts the jobs task on the current tokio runtime.
///
/// The task accepts and starts nothing before it received the lease state, the directory and the
/// membership list.
pub fn spawn(options: Options) -> Address<JobsTask> {
    let (address, mailbox) = Mailbox::unbounded();
    let (appends, queue) = mpsc::unbounded_channel();
    tokio::spawn(outbound::send_appends(options.append, queue));
    let settings = options.settings;
    let seed = rand::random();
    let task = JobsTask {
        homes: HomeGroups::new(settings.clone(), options.policy, options.admission, seed),
        racks: RackGroups::new(settings),
        outbound: Arc::new(Outbound {
            incarnation: options.incarnation,
            owner_calls: options.owner_calls,
            task: address.downgrade(),
        }),
        appends,
        workers: options.workers,
        ports: HashMap::new(),
        recorder: options.recorder,
        members: Arc::default(),
        calls: HashMap::new(),
        next_call: 0,
    };
    tokio::spawn(xtra::run(mailbox, task));
    let subscribe = Subscribe {
        period: TICK_PERIOD,
        subscriber: MessageChannel::new(address.downgrade()),
    };
    let timer = options.timer;
    tokio::spawn(async move { timer.send(subscribe).await });
    address
}

/// Returns a monotonic time together with the current time of the wall clock.
fn now_at(instant: Instant) -> Now {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Now {
        instant,
        unix: unix.unwrap_or_default(),
    }
}

fn now() -> Now {
    now_at(Instant::now())
}

impl JobsTask {
    /// Carries out the effects of a decision, and those that the home owner deferred.
    fn run_effects(&mut self, effects: Vec<Effect>) {
        let deferred = self.homes.take_deferred_effects();
        for effect in effects.into_iter().chain(deferred) {
            self.run_effect(effect);
        }
    }

    fn run_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Append { entries, after } => {
                let task = self.outbound.task.clone();
                let _ = self.appends.send(PendingAppend {
                    entries,
                    after,
                    task,
                });
            }
            Effect::Call { owner, call, after } => {
                let outbound = Arc::clone(&self.outbound);
                tokio::spawn(async move { outbound.call(owner, call, after).await });
            }
            Effect::Worker { worker, call } => {
                let outbound = Arc::clone(&self.outbound);
                let port = self.ports.get(&worker).map(|(_, port)| Arc::clone(port));
                tokio::spawn(async move {
                    match port {
                        Some(port) => outbound.call_worker(worker, port, call).await,
                        None => outbound.refuse_worker_call(worker, call).await,
                    }
                });
            }
            Effect::Answer { call, result } => {
                if let Some(reply) = self.calls.remove(&call) {
                    let _ = reply.send(result);
                }
            }
            Effect::Count(Count::Refused(class, reason)) => self.recorder.refused(&class, reason),
            Effect::Count(Count::Retried(class, reason)) => self.recorder.retried(&class, reason),
            Effect::Count(Count::Placed(class, waited)) => self.recorder.placed(&class, waited),
        }
    }

    /// Makes a port for each listed worker that is new or has a new address.
    fn set_ports(&mut self) {
        let members = Arc::clone(&self.members);
        for member in &members.members {
            if matches!(member.role, MemberRole::Worker { .. }) {
                self.set_port(&member.id, member.address);
            }
        }
    }

    /// Makes a port for each worker that only the journal names: its tasks may still run.
    fn set_ports_of_unlisted(&mut self) {
        for (worker, address) in self.racks.unlisted_workers() {
            self.set_port(&worker, address);
        }
    }

    fn set_port(&mut self, worker: &WorkerId, address: SocketAddr) {
        let known = self.ports.get(worker).map(|(address, _)| *address);
        if known != Some(address) {
            let port = self.workers.port(worker, address);
            self.ports.insert(worker.clone(), (address, port));
        }
    }

    /// Passes a received call to the home or rack owner that decides it.
    fn handle_call(&mut self, call: CallId, request: Call) -> Vec<Effect> {
        let now = now();
        let answer = |result| vec![Effect::Answer { call, result }];
        match request {
            Call::Submit { id, spec } => self.homes.submit(call, &id, spec, now),
            Call::Status { id } => answer(self.homes.status(&id)),
            Call::Cancel { id } => self.homes.cancel(call, &id),
            Call::Report { home, events } => self.homes.report(call, &home, &events, now),
            Call::Hold { rack, tasks } => answer(self.racks.hold(&rack, &tasks, now.instant)),
            Call::Release { rack, tasks } => answer(self.racks.release(&rack, &tasks)),
            Call::View { rack } => answer(self.racks.release(&rack, &[])),
            Call::Start { rack, home, tasks } => {
                self.racks.start(call, &rack, &home, tasks, now.instant)
            }
            Call::Stop { rack, home, tasks } => {
                match self.racks.stop(&rack, &home, tasks, now.instant) {
                    Err(refusal) => answer(Err(refusal)),
                    Ok((reply, mut effects)) => {
                        effects.extend(answer(Ok(reply)));
                        effects
                    }
                }
            }
        }
    }
}

impl Handler<Tick> for JobsTask {
    type Return = ();

    async fn handle(&mut self, tick: Tick, _context: &mut Context<Self>) {
        let mut effects = self.racks.tick(tick.now);
        effects.extend(self.homes.tick(now_at(tick.now)));
        self.run_effects(effects);
    }
}

impl Handler<Incoming> for JobsTask {
    type Return = ();

    async fn handle(&mut self, incoming: Incoming, _context: &mut Context<Self>) {
        self.next_call += 1;
        self.calls.insert(self.next_call, incoming.reply);
        let effects = self.handle_call(self.next_call, incoming.call);
        self.run_effects(effects);
    }
}

impl Handler<GroupEvent> for JobsTask {
    type Return = ();

    async fn handle(&mut self, event: GroupEvent, _context: &mut Context<Self>) {
        let mut effects = Vec::new();
        let errors = match event {
            GroupEvent::Lost { group } if group.starts_with(HOME_PREFIX) => {
                effects = self.homes.lost(&group);
                Vec::new()
            }
            GroupEvent::Lost { group } => {
                self.racks.lost(&group);
                Vec::new()
            }
            GroupEvent::Claimed {
                group,
                epoch,
                entries,
                ..
            } if group.starts_with(HOME_PREFIX) => {
                self.homes.claimed(&group, epoch, &entries, now())
            }
            GroupEvent::Claimed {
                group,
                epoch,
                entries,
                fenced_owner,
            } => {
                let members = Arc::clone(&self.members);
                let fenced = fenced_owner.is_some();
                let at = Instant::now();
                let errors = self
                    .racks
                    .claimed(&group, epoch, &entries, fenced, &members, at);
                self.set_ports_of_unlisted();
                errors
            }
        };
        for error in errors {
            spdlog::error!("{}", error);
        }
        self.run_effects(effects);
    }
}

impl Handler<Arc<Directory>> for JobsTask {
    type Return = ();

    async fn handle(&mut self, directory: Arc<Directory>, _context: &mut Context<Self>) {
        self.homes.set_directory(Arc::clone(&directory));
        self.racks.set_directory(directory);
    }
}

impl Handler<LeaseState> for JobsTask {
    type Return = ();

    async fn handle(&mut self, lease_state: LeaseState, _context: &mut Context<Self>) {
        self.homes.set_lease_state(lease_state);
        self.racks.set_lease_state(lease_state);
    }
}

impl Handler<Arc<MembershipList>> for JobsTask {
    type Return = ();

    async fn handle(&mut self, members: Arc<MembershipList>, _context: &mut Context<Self>) {
        self.members = Arc::clone(&members);
        self.set_ports();
        self.racks.set_members(&members, Instant::now());
        self.homes.set_members(members);
    }
}

impl Handler<ChangeSettings> for JobsTask {
    type Return = ();

    async fn handle(&mut self, change: ChangeSettings, _context: &mut Context<Self>) {
        self.homes.set_settings(Arc::clone(&change.0));
        self.racks.set_settings(change.0);
    }
}

impl Handler<Status> for JobsTask {
    type Return = JobsStatus;

    async fn handle(&mut self, _status: Status, _context: &mut Context<Self>) -> JobsStatus {
        let workers = self.racks.fleet().workers();
        JobsStatus {
            queued: self.homes.queued(),
            running: self.homes.running(),
            open_intents: self.racks.open_intents(),
            quarantined: self.racks.quarantined(),
            workers: workers
                .map(|worker| WorkerCharge {
                    worker: worker.id.clone(),
                    capacity: worker.capacity,
                    charged: worker.charged,
                    accepting: worker.accepting,
                })
                .collect(),
        }
    }
}

impl Handler<Explain> for JobsTask {
    type Return = Option<Explanation>;

    async fn handle(&mut self, explain: Explain, _context: &mut Context<Self>) -> Self::Return {
        self.homes.explain(&explain.id)
    }
}

impl Handler<AppendResult> for JobsTask {
    type Return = ();

    async fn handle(&mut self, appended: AppendResult, _context: &mut Context<Self>) {
        let effects = appended.apply(&mut self.homes, &mut self.racks, now());
        self.run_effects(effects);
    }
}

impl Handler<OwnerAnswer> for JobsTask {
    type Return = ();

    async fn handle(&mut self, answered: OwnerAnswer, _context: &mut Context<Self>) {
        let effects = answered.apply(&mut self.homes, &mut self.racks, now());
        self.run_effects(effects);
    }
}

impl Handler<WorkerAnswer> for JobsTask {
    type Return = ();

    async fn handle(&mut self, answer: WorkerAnswer, _context: &mut Context<Self>) {
        let effects = answer.apply(&mut self.racks, Instant::now());
        self.run_effects(effects);
    }
}
