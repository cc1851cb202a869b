//! The actor that owns the state of the service requests and executes its effects.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_admission::AdmissionPolicy;
use jackdawchute_ownership::{Append, Directory, GroupEvent, LeaseExpiry, LeaseState};
use jackdawchute_ports::MembershipList;
use jackdawchute_timer::{Subscribe, Tick, TimerTask};
use jackdawchute_types::{IncarnationId, Recorder, Refusal};
use tokio::sync::oneshot;
use xtra::prelude::*;

use crate::{
    AbandonGrant, CallId, ChangeSettings, Explain, Explanation, Incoming, OwnerCalls,
    RegisterGrant, ReleaseGrant, Reply, RequestsStatus, Settings, State, Status,
};

/// How often waiting calls, grants and keys are checked for expiry.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Options of the requests task.
pub struct Options {
    /// The incarnation of this instance.
    pub incarnation: IncarnationId,
    /// Appends entries to this incarnation's journal.
    pub append: MessageChannel<Append, ()>,
    /// The timer whose ticks expire calls, grants and keys.
    pub timer: Address<TimerTask>,
    /// Sends calls to owners in other instances.
    pub owner_calls: Arc<dyn OwnerCalls>,
    /// Counts refusals and grants in the metrics.
    pub recorder: Arc<dyn Recorder>,
    /// Creates the admission policy of each service group.
    pub admission: Box<dyn Fn() -> Box<dyn AdmissionPolicy> + Send>,
    /// The initial settings.
    pub settings: Arc<Settings>,
}

/// The actor that decides for the service groups that this instance owns, and registers the grants
/// that it holds.
#[derive(xtra::Actor)]
pub struct RequestsTask {
    pub(crate) state: State,
    pub(crate) append: MessageChannel<Append, ()>,
    pub(crate) owner_calls: Arc<dyn OwnerCalls>,
    pub(crate) recorder: Arc<dyn Recorder>,
    pub(crate) calls: HashMap<CallId, oneshot::Sender<std::result::Result<Reply, Refusal>>>,
    pub(crate) next_call: CallId,
}

/// Starts the task on the current tokio runtime and subscribes it to the timer.
///
/// The caller subscribes it to group events, the directory, the owner lease and the membership.
///
/// ```
/// use std::sync::Arc;
///
/// use jackdawchute_admission::Fifo;
/// use jackdawchute_ownership::{Append, Owner};
/// use jackdawchute_requests::{spawn, Call, Options, OwnerCalls, Reply, Settings, Status};
/// use jackdawchute_types::{CallError, NoRecorder, Refusal};
/// use xtra::prelude::*;
///
/// # #[derive(xtra::Actor)]
/// # struct Journal;
/// # impl Handler<Append> for Journal {
/// #     type Return = ();
/// #     async fn handle(&mut self, append: Append, _context: &mut Context<Self>) {
/// #         let _ = append.reply.send(Ok(()));
/// #     }
/// # }
/// # struct Alone;
/// # #[async_trait::async_trait]
/// # impl OwnerCalls for Alone {
/// #     async fn call(&self, _: &Owner, _: Call) -> Result<Result<Reply, Refusal>, CallError> {
/// #         Err(CallError::NotDelivered("call", "none".into(), "alone".into()))
/// #     }
/// # }
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let journal = xtra::spawn_tokio(Journal, Mailbox::unbounded());
/// let requests = spawn(Options {
///     incarnation: "i1".into(),
///     append: MessageChannel::new(journal),
///     timer: jackdawchute_timer::spawn(),
///     owner_calls: Arc::new(Alone),
///     recorder: Arc::new(NoRecorder),
///     admission: Box::new(|| Box::new(Fifo::default())),
///     settings: Arc::new(Settings::default()),
/// });
/// assert!(requests.send(Status).await.unwrap().groups.is_empty());
/// # }
/// ```
pub fn spawn(options: Options) -> Address<RequestsTask> {
    let task = RequestsTask {
        state: State::new(options.incarnation, options.settings, options.admission),
        append: options.append,
        owner_calls: options.owner_calls,
        recorder: options.recorder,
        calls: HashMap::new(),
        next_call: 0,
    };
    let address = xtra::spawn_tokio(task, Mailbox::unbounded());
    let subscriber = MessageChannel::new(address.downgrade());
    let timer = options.timer;
    tokio::spawn(async move {
        let subscription = Subscribe {
            period: TICK_PERIOD,
            subscriber,
        };
        if timer.send(subscription).await.is_err() {
            spdlog::error!(
                "cannot subscribe the requests task to the timer: the timer task has ended"
            );
        }
    });
    address
}

impl Handler<GroupEvent> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, event: GroupEvent, context: &mut Context<Self>) {
        let effects = self.state.group_event(event, Instant::now());
        self.execute(effects, context).await;
    }
}

impl Handler<Arc<Directory>> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, directory: Arc<Directory>, context: &mut Context<Self>) {
        let effects = self.state.set_directory(directory, Instant::now());
        self.execute(effects, context).await;
    }
}

impl Handler<LeaseState> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, lease_state: LeaseState, context: &mut Context<Self>) {
        let effects = self.state.set_lease_state(lease_state, Instant::now());
        self.execute(effects, context).await;
    }
}

impl Handler<LeaseExpiry> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, lease: LeaseExpiry, _context: &mut Context<Self>) {
        self.state.set_lease_expiry(lease.0);
    }
}

impl Handler<Arc<MembershipList>> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, list: Arc<MembershipList>, context: &mut Context<Self>) {
        let effects = self.state.set_membership(&list, Instant::now());
        self.execute(effects, context).await;
    }
}

impl Handler<Tick> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, tick: Tick, context: &mut Context<Self>) {
        let cancelled = self.calls.iter().filter(|(_, sender)| sender.is_closed());
        let cancelled: Vec<CallId> = cancelled.map(|(call, _)| *call).collect();
        for call in cancelled {
            let effects = self.state.cancel(call, tick.now);
            self.execute(effects, context).await;
        }
        let effects = self.state.tick(tick.now);
        self.execute(effects, context).await;
    }
}

impl Handler<Incoming> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, incoming: Incoming, context: &mut Context<Self>) {
        self.next_call += 1;
        self.calls.insert(self.next_call, incoming.reply);
        let now = Instant::now();
        let effects = self.state.incoming(self.next_call, incoming.call, now);
        self.execute(effects, context).await;
    }
}

impl Handler<ChangeSettings> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, change: ChangeSettings, context: &mut Context<Self>) {
        let effects = self.state.change_settings(change.0, Instant::now());
        self.execute(effects, context).await;
    }
}

impl Handler<RegisterGrant> for RequestsTask {
    type Return = bool;

    async fn handle(&mut self, register: RegisterGrant, _context: &mut Context<Self>) -> bool {
        self.state.register_grant(register.grant, register.elapsed)
    }
}

impl Handler<ReleaseGrant> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, release: ReleaseGrant, _context: &mut Context<Self>) {
        self.state.release_grant(&release);
    }
}

impl Handler<AbandonGrant> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, abandon: AbandonGrant, _context: &mut Context<Self>) {
        self.state.abandon_grant(&abandon, Instant::now());
    }
}

impl Handler<Status> for RequestsTask {
    type Return = RequestsStatus;

    async fn handle(&mut self, _status: Status, _context: &mut Context<Self>) -> RequestsStatus {
        self.state.status(Instant::now())
    }
}

impl Handler<Explain> for RequestsTask {
    type Return = Option<Explanation>;

    async fn handle(
        &mut self,
        explain: Explain,
        _context: &mut Context<Self>,
    ) -> Option<Explanation> {
        self.state.explain(&explain.key, Instant::now())
    }
}
