//! The actor with a journal that fails and peers that answer late or not at all.

mod fixtures;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use fixtures::*;
use jackdawchute_admission::Fifo;
use jackdawchute_ownership::{Append, Error, JournalEntry, Owner};
use jackdawchute_requests::{
    spawn, Call, Explain, Grant, Incoming, Options, OwnerCalls, Reply, RequestsTask, Status,
};
use jackdawchute_types::{CallError, Execution, NoRecorder, Refusal, RefusalReason};
use tokio::sync::oneshot;
use xtra::prelude::*;

const PATIENCE: Duration = Duration::from_secs(20);
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// What the fake journal does with an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Keep,
    Unavailable,
    /// Keeps the entries and never answers.
    LoseAnswer,
}

type Entries = Arc<Mutex<Vec<JournalEntry>>>;

#[derive(xtra::Actor)]
struct Journal {
    mode: Arc<Mutex<Mode>>,
    entries: Entries,
}

impl Handler<Append> for Journal {
    type Return = ();

    async fn handle(&mut self, append: Append, _context: &mut Context<Self>) {
        let mode = *self.mode.lock().unwrap();
        if mode != Mode::Unavailable {
            self.entries.lock().unwrap().extend(append.entries);
        }
        let _ = match mode {
            Mode::Keep => append.reply.send(Ok(())),
            Mode::Unavailable => append.reply.send(Err(Error::Unavailable("down".into()))),
            Mode::LoseAnswer => {
                drop(append.reply);
                Ok(())
            }
        };
    }
}

/// A peer that holds these grants.
struct Peer(Vec<Grant>);

#[async_trait]
impl OwnerCalls for Peer {
    async fn call(&self, _: &Owner, _: Call) -> Result<Result<Reply, Refusal>, CallError> {
        Ok(Ok(Reply::Holdings {
            grants: self.0.clone(),
        }))
    }
}

/// A peer that no call reaches.
struct Unreachable;

#[async_trait]
impl OwnerCalls for Unreachable {
    async fn call(&self, owner: &Owner, _: Call) -> Result<Result<Reply, Refusal>, CallError> {
        let peer = owner.peer_address.to_string();
        Err(CallError::NotDelivered("call", peer, "cut".into()))
    }
}

struct Cell {
    requests: Address<RequestsTask>,
    mode: Arc<Mutex<Mode>>,
    entries: Entries,
}

async fn cell(owner_calls: impl OwnerCalls, epoch: u64, slots: u32) -> Cell {
    let mode = Arc::new(Mutex::new(Mode::Keep));
    let entries = Entries::default();
    let journal = Journal {
        mode: Arc::clone(&mode),
        entries: Arc::clone(&entries),
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
    let known = if epoch > 1 {
        holders(&[PEER])
    } else {
        Vec::new()
    };
    requests.send(adopted(epoch, known, None)).await.unwrap();
    Cell {
        requests,
        mode,
        entries,
    }
}

impl Cell {
    async fn call(&self, call: Call) -> oneshot::Receiver<Result<Reply, Refusal>> {
        let (reply, answer) = oneshot::channel();
        self.requests.send(Incoming { call, reply }).await.unwrap();
        answer
    }

    async fn answer(&self, call: Call) -> Result<Reply, Refusal> {
        let answer = self.call(call).await;
        tokio::time::timeout(PATIENCE, answer)
            .await
            .expect("an answer in time")
            .unwrap()
    }

    /// How many changes of keys the journal has.
    fn journaled_keys(&self) -> usize {
        let entries = self.entries.lock().unwrap();
        entries
            .iter()
            .filter(|entry| entry.key.starts_with("key/"))
            .count()
    }

    async fn grant(&self, call: Call) -> Grant {
        match self.answer(call).await {
            Ok(Reply::Granted(grant)) => grant,
            other => panic!("expected a grant, got {other:?}"),
        }
    }
}

#[tokio::test]
async fn an_order_is_journaled_granted_answered_and_answered_again() {
    let cell = cell(Unreachable, 1, 1).await;

    let grant = cell.grant(Call::Acquire(order(OWNER, "k"))).await;
    let journaled = cell.journaled_keys();
    let completed = cell.answer(complete(&grant, OWNER, answered("done"))).await;
    let again = cell.answer(Call::Acquire(order(OWNER, "k"))).await;

    assert_eq!(journaled, 1);
    assert_eq!(completed, Ok(Reply::Completed));
    assert_eq!(again, Ok(Reply::Answered(answer("done"))));
}

#[tokio::test]
async fn an_outage_ends_in_a_refusal_as_not_run_and_nothing_is_journaled() {
    let cell = cell(Unreachable, 1, 1).await;
    *cell.mode.lock().unwrap() = Mode::Unavailable;
    let mut order = order(OWNER, "k");
    order.deadline = Duration::from_millis(200);

    let refusal = cell.answer(Call::Acquire(order)).await.unwrap_err();
    let plain = cell.answer(Call::Acquire(acquire(OWNER))).await;

    assert_eq!(refusal.reason, RefusalReason::StoreUnavailable);
    assert_eq!(refusal.execution, Execution::NotRun);
    assert_eq!(cell.journaled_keys(), 0);
    assert!(matches!(plain, Ok(Reply::Granted(_))));
}

#[tokio::test]
async fn an_order_goes_on_when_the_outage_ends() {
    let cell = cell(Unreachable, 1, 1).await;
    *cell.mode.lock().unwrap() = Mode::Unavailable;
    let mut order = order(OWNER, "k");
    order.deadline = PATIENCE;
    let mut answer = cell.call(Call::Acquire(order)).await;
    let before = answer.try_recv().is_ok();

    *cell.mode.lock().unwrap() = Mode::Keep;
    let after = tokio::time::timeout(PATIENCE, answer)
        .await
        .unwrap()
        .unwrap();

    assert!(!before);
    assert!(matches!(after, Ok(Reply::Granted(_))));
}

#[tokio::test]
async fn a_lost_journal_answer_spends_the_key_without_a_grant() {
    let cell = cell(Unreachable, 1, 1).await;
    *cell.mode.lock().unwrap() = Mode::LoseAnswer;

    let first = cell
        .answer(Call::Acquire(order(OWNER, "k")))
        .await
        .unwrap_err();
    *cell.mode.lock().unwrap() = Mode::Keep;
    let again = cell
        .answer(Call::Acquire(order(OWNER, "k")))
        .await
        .unwrap_err();
    let explanation = cell
        .requests
        .send(Explain { key: "k".into() })
        .await
        .unwrap();

    assert_eq!(first.execution, Execution::NotRun);
    assert_eq!(again.execution, Execution::Unknown);
    assert_eq!(explanation.expect("a known key").state, "unknown");
}

#[tokio::test]
async fn a_new_owner_counts_what_a_peer_tells() {
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
    let cell = cell(Peer(vec![held]), 2, 4).await;

    let answer = tokio::time::timeout(PATIENCE, async {
        loop {
            let status = cell.requests.send(Status).await.unwrap();
            if !status.groups[0].unaccounted.contains(&PEER.into()) {
                return status.groups[0].clone();
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    });

    let status = answer.await.expect("the peer's answer in time");
    assert_eq!(status.minions["m0"].in_use_slots, 1);
}

#[tokio::test]
async fn a_call_whose_caller_went_away_takes_no_slot() {
    let cell = cell(Unreachable, 1, 1).await;
    let first = cell.grant(Call::Acquire(acquire(OWNER))).await;
    drop(cell.call(Call::Acquire(acquire(OWNER))).await);

    cell.answer(complete(&first, OWNER, answered("done")))
        .await
        .unwrap();
    let second = cell.answer(Call::Acquire(acquire(OWNER))).await;

    assert!(matches!(second, Ok(Reply::Granted(_))));
}
