//! The task that owns the record of a minion.

use std::time::SystemTime;

use jackdawchute_types::MinionId;
use xtra::prelude::*;

use super::{Begin, End, MinionRecord, ReadRecord, RequestRun, SetFailing};

/// The task that owns the record of one minion.
#[derive(Debug, xtra::Actor)]
pub struct MinionTask {
    record: MinionRecord,
    concurrent: u32,
    failing: bool,
}

/// The reply to [`Begin`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Begun {
    /// The index of the request in the record.
    pub index: usize,
    /// Whether the request is to fail with status 500.
    pub fails: bool,
}

impl MinionTask {
    /// Creates the task of a minion that has served no request.
    pub fn new(minion: MinionId, slots: u32) -> Self {
        Self {
            record: MinionRecord {
                minion,
                slots,
                runs: Vec::new(),
                max_concurrent: 0,
            },
            concurrent: 0,
            failing: false,
        }
    }
}

impl Handler<Begin> for MinionTask {
    type Return = Begun;

    async fn handle(&mut self, begin: Begin, _context: &mut Context<Self>) -> Begun {
        self.concurrent += 1;
        self.record.max_concurrent = self.record.max_concurrent.max(self.concurrent);
        self.record.runs.push(RequestRun {
            method: begin.method,
            path: begin.path,
            tag: begin.tag,
            key: begin.key,
            started: SystemTime::now(),
            ended: None,
        });
        Begun {
            index: self.record.runs.len() - 1,
            fails: self.failing,
        }
    }
}

impl Handler<End> for MinionTask {
    type Return = ();

    async fn handle(&mut self, end: End, _context: &mut Context<Self>) {
        if let Some(run) = self.record.runs.get_mut(end.0) {
            run.ended = Some(SystemTime::now());
            self.concurrent -= 1;
        }
    }
}

impl Handler<ReadRecord> for MinionTask {
    type Return = MinionRecord;

    async fn handle(&mut self, _read: ReadRecord, _context: &mut Context<Self>) -> MinionRecord {
        self.record.clone()
    }
}

impl Handler<SetFailing> for MinionTask {
    type Return = ();

    async fn handle(&mut self, set: SetFailing, _context: &mut Context<Self>) {
        self.failing = set.0;
    }
}
