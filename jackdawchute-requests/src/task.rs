//! The actor that carries the state's effects out.

use std::{collections::HashMap, sync::Arc, time::Duration, time::Instant};

use jackdawchute_admission::AdmissionPolicy;
use jackdawchute_ownership::{
    Append, Directory, Error, GroupEvent, JournalEntry, LeaseUntil, Owner, Standing,
};
use jackdawchute_platform::MembershipList;
use jackdawchute_timer::{Subscribe, Tick, TimerTask};
use jackdawchute_types::{GroupId, IncarnationId, Recorder, Refusal, RequestKey};
use tokio::sync::oneshot;
use xtra::prelude::*;

use crate::{
    journal::forget_entry, AppendOutcome, AppendPurpose, Call, CallId, ChangeSettings, Effect,
    Explain, Explanation, Grant, Held, Incoming, JournaledKey, Remote, Reply, RequestsStatus,
    Result, Returned, Settings, State, Status,
};

const TICK_PERIOD: Duration = Duration::from_millis(50);

/// What the task works with.
pub struct Options {
    /// This start of the instance.
    pub incarnation: IncarnationId,
    /// The journal.
    pub append: MessageChannel<Append, ()>,
    /// The timer to subscribe to.
    pub timer: Address<TimerTask>,
    /// Calls to other instances.
    pub remote: Arc<dyn Remote>,
    /// Counts refusals and grants.
    pub recorder: Arc<dyn Recorder>,
    /// Makes the admission policy of each service group.
    pub admission: Box<dyn Fn() -> Box<dyn AdmissionPolicy> + Send>,
    /// The settings to begin with.
    pub settings: Arc<Settings>,
}

/// Owns the service groups of this instance.
#[derive(xtra::Actor)]
pub struct RequestsTask {
    state: State,
    append: MessageChannel<Append, ()>,
    remote: Arc<dyn Remote>,
    recorder: Arc<dyn Recorder>,
    calls: HashMap<CallId, oneshot::Sender<std::result::Result<Reply, Refusal>>>,
    next_call: CallId,
}

/// The journal's answer.
struct Appended {
    purpose: AppendPurpose,
    outcome: AppendOutcome,
}

/// Another incarnation's answer.
struct Told {
    group: GroupId,
    incarnation: Owner,
    grants: Vec<Grant>,
}

/// Starts the task on the current tokio runtime; it subscribes itself to the timer only.
///
/// ```
/// use std::sync::Arc;
///
/// use jackdawchute_admission::Fifo;
/// use jackdawchute_ownership::{Append, Owner};
/// use jackdawchute_requests::{spawn, Call, Options, Remote, Reply, Settings, Status};
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
/// # impl Remote for Alone {
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
///     remote: Arc::new(Alone),
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
        remote: options.remote,
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
            spdlog::error!("subscribe requests to timer: the timer ended");
        }
    });
    address
}

impl RequestsTask {
    async fn carry_out(&mut self, effects: Vec<Effect>, context: &mut Context<Self>) {
        let mut effects = std::collections::VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Reply { call, result } => {
                    if let Some(grant) = self.reply(call, result) {
                        effects.extend(self.state.undelivered(&grant, Instant::now()));
                    }
                }
                Effect::Append { purpose, records } => {
                    self.append(purpose, records, context).await;
                }
                Effect::Ask { group, incarnation } => self.ask(group, incarnation, context),
                Effect::Refused { class, reason } => self.recorder.refused(&class, reason),
                Effect::Placed { class, waited } => self.recorder.placed(&class, waited),
            }
        }
    }

    /// Answers a call; returns a grant that the caller did not wait for.
    fn reply(
        &mut self,
        call: CallId,
        result: std::result::Result<Reply, Refusal>,
    ) -> Option<Grant> {
        let sender = self.calls.remove(&call)?;
        match sender.send(result) {
            Err(Ok(Reply::Granted(grant))) => Some(grant),
            _ => None,
        }
    }

    /// Sends entries to the journal in order; the answer comes back as a message.
    async fn append(
        &mut self,
        purpose: AppendPurpose,
        records: Vec<(RequestKey, Option<JournaledKey>)>,
        context: &mut Context<Self>,
    ) {
        let own = context.mailbox().address();
        let entries = match encode(&purpose.group, &records) {
            Ok(entries) => entries,
            Err(error) => {
                spdlog::error!("{error}");
                let outcome = AppendOutcome::NotKept { store_down: false };
                let _ = own.send(Appended { purpose, outcome }).detach().await;
                return;
            }
        };
        let (reply, answer) = oneshot::channel();
        let append = Append { entries, reply };
        let _ = self.append.send(append).detach().await;
        tokio::spawn(async move {
            let outcome = append_outcome(answer.await);
            let _ = own.send(Appended { purpose, outcome }).await;
        });
    }

    fn ask(&self, group: GroupId, incarnation: Owner, context: &mut Context<Self>) {
        let own = context.mailbox().address();
        let remote = Arc::clone(&self.remote);
        tokio::spawn(async move {
            let call = Call::Holdings {
                group: group.clone(),
                epoch: incarnation.epoch,
            };
            match remote.call(&incarnation, call).await {
                Ok(Ok(Reply::Holdings { grants })) => {
                    let told = Told {
                        group,
                        incarnation,
                        grants,
                    };
                    let _ = own.send(told).await;
                }
                Ok(answer) => {
                    spdlog::warn!("ask {} for holdings: {:?}", incarnation.incarnation, answer);
                }
                Err(error) => spdlog::warn!("ask for holdings: {error}"),
            }
        });
    }
}

fn encode(
    group: &GroupId,
    records: &[(RequestKey, Option<JournaledKey>)],
) -> Result<Vec<JournalEntry>> {
    let entry = |(key, record): &(RequestKey, Option<JournaledKey>)| match record {
        Some(record) => record.to_entry(group, key),
        None => Ok(forget_entry(group, key)),
    };
    records.iter().map(entry).collect()
}

fn append_outcome(
    answer: std::result::Result<jackdawchute_ownership::Result<()>, oneshot::error::RecvError>,
) -> AppendOutcome {
    match answer {
        Ok(Ok(())) => AppendOutcome::Kept,
        Ok(Err(Error::Unavailable(_))) => AppendOutcome::NotKept { store_down: true },
        Ok(Err(Error::NotOwner(_) | Error::Fenced(_))) => {
            AppendOutcome::NotKept { store_down: false }
        }
        Err(_) => AppendOutcome::Unknown,
    }
}

impl Handler<GroupEvent> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, event: GroupEvent, context: &mut Context<Self>) {
        let effects = self.state.group_event(event, Instant::now());
        self.carry_out(effects, context).await;
    }
}

impl Handler<Arc<Directory>> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, directory: Arc<Directory>, context: &mut Context<Self>) {
        let effects = self.state.directory(directory, Instant::now());
        self.carry_out(effects, context).await;
    }
}

impl Handler<Standing> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, standing: Standing, context: &mut Context<Self>) {
        let effects = self.state.standing(standing, Instant::now());
        self.carry_out(effects, context).await;
    }
}

impl Handler<LeaseUntil> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, lease: LeaseUntil, _context: &mut Context<Self>) {
        self.state.lease_until(lease.0);
    }
}

impl Handler<Arc<MembershipList>> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, list: Arc<MembershipList>, context: &mut Context<Self>) {
        let effects = self.state.membership(&list, Instant::now());
        self.carry_out(effects, context).await;
    }
}

impl Handler<Tick> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, tick: Tick, context: &mut Context<Self>) {
        let gone = self.calls.iter().filter(|(_, sender)| sender.is_closed());
        let gone: Vec<CallId> = gone.map(|(call, _)| *call).collect();
        for call in gone {
            let effects = self.state.cancel(call, tick.now);
            self.carry_out(effects, context).await;
        }
        let effects = self.state.tick(tick.now);
        self.carry_out(effects, context).await;
    }
}

impl Handler<Incoming> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, incoming: Incoming, context: &mut Context<Self>) {
        self.next_call += 1;
        self.calls.insert(self.next_call, incoming.reply);
        let now = Instant::now();
        let effects = self.state.incoming(self.next_call, incoming.call, now);
        self.carry_out(effects, context).await;
    }
}

impl Handler<ChangeSettings> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, change: ChangeSettings, context: &mut Context<Self>) {
        let effects = self.state.change_settings(change.0, Instant::now());
        self.carry_out(effects, context).await;
    }
}

impl Handler<Held> for RequestsTask {
    type Return = bool;

    async fn handle(&mut self, held: Held, _context: &mut Context<Self>) -> bool {
        self.state.hold(held.grant, held.elapsed)
    }
}

impl Handler<Returned> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, returned: Returned, _context: &mut Context<Self>) {
        self.state.give_back(&returned);
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

impl Handler<Appended> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, appended: Appended, context: &mut Context<Self>) {
        let now = Instant::now();
        let effects = self
            .state
            .appended(&appended.purpose, appended.outcome, now);
        self.carry_out(effects, context).await;
    }
}

impl Handler<Told> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, told: Told, context: &mut Context<Self>) {
        let epoch = told.incarnation.epoch;
        let incarnation = &told.incarnation.incarnation;
        let now = Instant::now();
        let effects = self
            .state
            .told(&told.group, epoch, incarnation, &told.grants, now);
        self.carry_out(effects, context).await;
    }
}
