//! The requests task with a journal that fails, and with peers that answer or cannot be reached.

mod fixtures;

use std::{
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use fixtures::*;
use jackdawchute_admission::Fifo;
use jackdawchute_ownership::{Append, Error, JournalEntry, Owner};
use jackdawchute_requests::{
    spawn, Call, Explain, Grant, Incoming, Options, OwnerCalls, Reply, RequestsTask, State, Status,
};
use jackdawchute_types::{CallError, Execution, NoRecorder, Refusal, RefusalReason};
use tokio::sync::oneshot;
use xtra::prelude::*;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// How the fake journal handles an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Accept,
    Unavailable,
    /// Stores the entries and drops the reply.
    LoseAnswer,
}

type Entries = Arc<Mutex<Vec<JournalEntry>>>;

#[derive(xtra::Actor)]
struct Journal {
    mode: Arc<Mutex<Mode>>,
    entries: Entries,
    refused: Arc<AtomicUsize>,
}

impl Handler<Append> for Journal {
    type Return = ();

    async fn handle(&mut self, append: Append, _context: &mut Context<Self>) {
        let mode = *self.mode.lock().unwrap();
        if mode != Mode::Unavailable {
            self.entries.lock().unwrap().extend(append.entries);
        } else {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        let _ = match mode {
            Mode::Accept => append.reply.send(Ok(())),
            Mode::Unavailable => append.reply.send(Err(Error::Unavailable("down".into()))),
            Mode::LoseAnswer => {
                drop(append.reply);
                Ok(())
            }
        };
    }
}

/// A peer that reports these grants as held.
struct Peer(Vec<Grant>);

#[async_trait]
impl OwnerCalls for Peer {
    async fn call(&self, _: &Owner, _: Call) -> Result<Result<Reply, Refusal>, CallError> {
        Ok(Ok(Reply::Holdings {
            grants: self.0.clone(),
        }))
    }
}

/// An incarnation that was started at the peer's address after the one that is asked.
struct LaterIncarnation {
    state: Mutex<State>,
    calls: Arc<AtomicUsize>,
}

#[async_trait]
impl OwnerCalls for LaterIncarnation {
    async fn call(&self, _: &Owner, call: Call) -> Result<Result<Reply, Refusal>, CallError> {
        let effects = self.state.lock().unwrap().incoming(1, call, Instant::now());
        self.calls.fetch_add(1, Ordering::Relaxed);
        Ok(reply(&effects, 1).expect("the call is answered at once"))
    }
}

/// A peer to which no call is delivered.
struct Unreachable;

#[async_trait]
impl OwnerCalls for Unreachable {
    async fn call(&self, owner: &Owner, _: Call) -> Result<Result<Reply, Refusal>, CallError> {
        let peer = owner.peer_address.to_string();
        Err(CallError::NotDelivered("call", peer, "cut".into()))
    }
}

struct TestTask {
    requests: Address<RequestsTask>,
    mode: Arc<Mutex<Mode>>,
    entries: Entries,
    /// The number of appends that the journal refused.
    refused: Arc<AtomicUsize>,
}

async fn start_task(owner_calls: impl OwnerCalls, epoch: u64, slots: u32) -> TestTask {
    let mode = Arc::new(Mutex::new(Mode::Accept));
    let entries = Entries::default();
    let refused = Arc::new(AtomicUsize::new(0));
    let journal = Journal {
        mode: Arc::clone(&mode),
        entries: Arc::clone(&entries),
        refused: Arc::clone(&refused),
    };
    let mut settings = settings();
    settings.grants.hold_back_slots = 2;
    let requests = spawn(Options {
        incarnation: OWNER.into(),
        append: MessageChannel::new(xtra::spawn_tokio(journal, Mailbox::unbounded())),
        timer: jackdawchute_timer::spawn(),
        owner_calls: Arc::new(owner_calls),
        recorder: Arc::new(NoRecorder),
        admission: Box::new(|| Box::new(Fifo::default())),
        settings: Arc::new(settings),
    });
    requests.send(Arc::new(minions(1, slots))).await.unwrap();
    requests.send(directory(&[OWNER, PEER])).await.unwrap();
    let entries_before = if epoch > 1 {
        holder_entries(&[PEER])
    } else {
        Vec::new()
    };
    requests
        .send(claimed(epoch, entries_before, None))
        .await
        .unwrap();
    TestTask {
        requests,
        mode,
        entries,
        refused,
    }
}

impl TestTask {
    async fn call(&self, call: Call) -> oneshot::Receiver<Result<Reply, Refusal>> {
        let (reply, answer) = oneshot::channel();
        self.requests.send(Incoming { call, reply }).await.unwrap();
        answer
    }

    async fn answer(&self, call: Call) -> Result<Reply, Refusal> {
        let answer = self.call(call).await;
        tokio::time::timeout(TIMEOUT, answer)
            .await
            .expect("the task answers within the timeout")
            .unwrap()
    }

    /// Returns how many changes of keys are in the journal.
    fn journaled_keys(&self) -> usize {
        let entries = self.entries.lock().unwrap();
        entries
            .iter()
            .filter(|entry| entry.key.starts_with("key/"))
            .count()
    }

    /// Returns whether the journal says that the peer may hold grants, `None` if it says nothing.
    fn is_peer_registered(&self) -> Option<bool> {
        let key = &holder_entries(&[PEER])[0].0;
        let entries = self.entries.lock().unwrap();
        let last = entries.iter().rev().find(|entry| entry.key == *key);
        last.map(|entry| entry.value.is_some())
    }

    async fn grant(&self, call: Call) -> Grant {
        match self.answer(call).await {
            Ok(Reply::Granted(grant)) => grant,
            other => panic!("expected a grant, got {other:?}"),
        }
    }
}

#[tokio::test]
async fn a_keyed_request_is_journaled_granted_and_later_answered_from_its_stored_answer() {
    let task = start_task(Unreachable, 1, 1).await;

    let grant = task.grant(Call::Acquire(acquire_keyed(OWNER, "k"))).await;
    let journaled = task.journaled_keys();
    let completed = task.answer(complete(&grant, OWNER, answered("done"))).await;
    let again = task.answer(Call::Acquire(acquire_keyed(OWNER, "k"))).await;

    assert_eq!(journaled, 1);
    assert_eq!(completed, Ok(Reply::Completed));
    assert_eq!(again, Ok(Reply::Answered(stored_answer("done"))));
}

#[tokio::test]
async fn a_keyed_request_is_refused_as_not_run_during_a_store_outage() {
    let task = start_task(Unreachable, 1, 1).await;
    *task.mode.lock().unwrap() = Mode::Unavailable;
    let mut keyed = acquire_keyed(OWNER, "k");
    keyed.deadline = Duration::from_millis(200);

    let refusal = task.answer(Call::Acquire(keyed)).await.unwrap_err();
    let idempotent = task.answer(Call::Acquire(acquire(OWNER))).await;

    assert_eq!(refusal.reason, RefusalReason::StoreUnavailable);
    assert_eq!(refusal.execution, Execution::NotRun);
    assert_eq!(task.journaled_keys(), 0);
    assert!(matches!(idempotent, Ok(Reply::Granted(_))));
}

#[tokio::test]
async fn a_keyed_request_is_granted_when_the_store_outage_ends() {
    let task = start_task(Unreachable, 1, 1).await;
    *task.mode.lock().unwrap() = Mode::Unavailable;
    let mut keyed = acquire_keyed(OWNER, "k");
    keyed.deadline = TIMEOUT;
    let mut answer = task.call(Call::Acquire(keyed)).await;
    let before = answer.try_recv().is_ok();

    *task.mode.lock().unwrap() = Mode::Accept;
    let after = tokio::time::timeout(TIMEOUT, answer)
        .await
        .unwrap()
        .unwrap();

    assert!(!before);
    assert!(matches!(after, Ok(Reply::Granted(_))));
}

#[tokio::test]
async fn a_lost_append_result_uses_up_the_key_without_a_grant() {
    let task = start_task(Unreachable, 1, 1).await;
    *task.mode.lock().unwrap() = Mode::LoseAnswer;

    let first = task
        .answer(Call::Acquire(acquire_keyed(OWNER, "k")))
        .await
        .unwrap_err();
    *task.mode.lock().unwrap() = Mode::Accept;
    let again = task
        .answer(Call::Acquire(acquire_keyed(OWNER, "k")))
        .await
        .unwrap_err();
    let explanation = task
        .requests
        .send(Explain { key: "k".into() })
        .await
        .unwrap();

    assert_eq!(first.execution, Execution::NotRun);
    assert_eq!(again.execution, Execution::Unknown);
    assert_eq!(
        explanation.expect("the group knows the key").state,
        "unknown"
    );
}

#[tokio::test]
async fn a_new_owner_counts_the_grants_that_a_peer_reports() {
    let held = Grant {
        id: 5,
        group: group(),
        epoch: 1,
        minion: "m0".into(),
        address: address(9_000),
        send_within: Duration::from_secs(1),
        life: Duration::from_secs(30),
        waited: Duration::ZERO,
        transit_max: Duration::from_secs(2),
        ended_after: Duration::from_secs(37),
    };
    let task = start_task(Peer(vec![held]), 2, 4).await;

    let answer = tokio::time::timeout(TIMEOUT, async {
        loop {
            let status = task.requests.send(Status).await.unwrap();
            if !status.groups[0].unaccounted.contains(&PEER.into()) {
                return status.groups[0].clone();
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    });

    let status = answer
        .await
        .expect("the peer reports its grants within the timeout");
    assert_eq!(status.minions["m0"].in_use_slots, 1);
}

/// The requests of the former incarnation may still run, and the later one knows nothing of them.
#[tokio::test]
async fn slots_stay_held_back_for_a_holder_at_whose_address_a_later_incarnation_answers() {
    let calls = Arc::new(AtomicUsize::new(0));
    let policy = Box::new(|| Box::<Fifo>::default() as _);
    let later = LaterIncarnation {
        state: Mutex::new(State::new(
            "peer-restarted".into(),
            Arc::new(settings()),
            policy,
        )),
        calls: Arc::clone(&calls),
    };
    let task = start_task(later, 2, 4).await;

    // The holder is asked again a second after an answer that does not count.
    let answered = tokio::time::timeout(TIMEOUT, async {
        loop {
            let status = task.requests.send(Status).await.unwrap();
            let group = status.groups[0].clone();
            if calls.load(Ordering::Relaxed) >= 2 || group.unaccounted.is_empty() {
                return group;
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    });

    let group = answered
        .await
        .expect("the holder is asked within the timeout");
    assert!(group.unaccounted.contains(&PEER.into()));
    assert_eq!(group.held_back_slots, 2);
}

#[tokio::test]
async fn a_call_whose_sender_went_away_uses_no_slot() {
    let task = start_task(Unreachable, 1, 1).await;
    let first = task.grant(Call::Acquire(acquire(OWNER))).await;
    drop(task.call(Call::Acquire(acquire(OWNER))).await);

    task.answer(complete(&first, OWNER, answered("done")))
        .await
        .unwrap();
    let second = task.answer(Call::Acquire(acquire(OWNER))).await;

    assert!(matches!(second, Ok(Reply::Granted(_))));
}

async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, wait).await;
    waited.unwrap_or_else(|_| panic!("not within {TIMEOUT:?}: {what}"));
}

#[tokio::test]
async fn the_entry_of_a_holder_that_ended_is_removed_after_a_store_outage() {
    let task = start_task(Unreachable, 1, 1).await;
    eventually("the peer is registered", || {
        task.is_peer_registered() == Some(true)
    })
    .await;
    *task.mode.lock().unwrap() = Mode::Unavailable;
    task.requests.send(directory(&[OWNER])).await.unwrap();
    eventually("the removal is refused", || {
        task.refused.load(Ordering::Relaxed) > 0
    })
    .await;

    *task.mode.lock().unwrap() = Mode::Accept;

    eventually("the peer's entry is removed", || {
        task.is_peer_registered() == Some(false)
    })
    .await;
}
