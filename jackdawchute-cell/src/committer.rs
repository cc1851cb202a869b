//! Appends the batches of a leader to the chain, on a thread of its own.
//!
//! A leader of a large cell makes thousands of calls a second on the instance's runtime, where each
//! step of a commit would wait behind all of them; callers and run ends wait for every commit.

use std::{sync::Arc, thread, time::Instant};

use jackdawchute_scheduler::CommitBatch;
use spdlog::warn;
use tokio::sync::{mpsc, watch};
use xtra::{prelude::*, refcount::Weak};

use crate::{
    commit::{append, Appended, Head, NotAppended},
    settings::{COMMIT_OUTAGE_MAX, LEADER_PRIORITY},
    Metrics, Store,
};

/// A commit whose outcome is known.
pub(crate) struct CommitFinished(
    pub(crate) CommitBatch,
    pub(crate) Result<Appended, NotAppended>,
);

/// A batch to append after a head.
struct Commit<A> {
    head: Head,
    batch: CommitBatch,
    leader: Address<A, Weak>,
}

/// A handle to the thread, which ends when the handle is dropped and its last commit is finished.
pub(crate) struct Committer<A> {
    commits: mpsc::UnboundedSender<Commit<A>>,
    /// When the attempt that began the current store outage was sent; `None` if there is none.
    outage_since: watch::Receiver<Option<Instant>>,
}

impl<A: Handler<CommitFinished, Return = ()>> Committer<A> {
    /// Starts the thread. If the system refuses it, commits are made on the current runtime.
    pub(crate) fn start(store: Arc<dyn Store>, metrics: Metrics) -> Self {
        let (commits, receiver) = mpsc::unbounded_channel();
        let (outage_sender, outage_since) = watch::channel(None);
        let work = run(receiver, store, outage_sender, metrics);
        let (hand_over, handed_over) = std::sync::mpsc::channel();
        let started = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .and_then(|runtime| {
                let thread = thread::Builder::new().name("commits".to_owned());
                thread.spawn(move || {
                    if let Ok(work) = handed_over.recv() {
                        runtime.block_on(work);
                    }
                })
            });
        match started {
            Ok(_) => {
                // Received by the thread, which waits for it.
                let _ = hand_over.send(work);
            }
            Err(cause) => {
                warn!("no thread for commits, using the instance's", kv: { cause: = cause });
                tokio::spawn(work);
            }
        }
        Self {
            commits,
            outage_since,
        }
    }

    /// Returns when the current store outage began; `None` if there is none.
    pub(crate) fn outage_since(&self) -> Option<Instant> {
        *self.outage_since.borrow()
    }

    /// Appends a batch; the leader gets [`CommitFinished`].
    pub(crate) fn commit(&self, head: Head, batch: CommitBatch, leader: Address<A, Weak>) {
        let commit = Commit {
            head,
            batch,
            leader,
        };
        if let Err(mpsc::error::SendError(commit)) = self.commits.send(commit) {
            tokio::spawn(finish(
                commit.batch,
                Err(NotAppended::Unavailable),
                commit.leader,
            ));
        }
    }
}

async fn run<A: Handler<CommitFinished, Return = ()>>(
    mut commits: mpsc::UnboundedReceiver<Commit<A>>,
    store: Arc<dyn Store>,
    outage_since: watch::Sender<Option<Instant>>,
    metrics: Metrics,
) {
    while let Some(commit) = commits.recv().await {
        let result = append(
            store.clone(),
            commit.head,
            &commit.batch,
            COMMIT_OUTAGE_MAX,
            &outage_since,
            &metrics,
        )
        .await;
        finish(commit.batch, result, commit.leader).await;
    }
}

async fn finish<A: Handler<CommitFinished, Return = ()>>(
    batch: CommitBatch,
    result: Result<Appended, NotAppended>,
    leader: Address<A, Weak>,
) {
    // A leader task that has ended needs no outcome.
    let _ = leader
        .send(CommitFinished(batch, result))
        .priority(LEADER_PRIORITY)
        .await;
}
