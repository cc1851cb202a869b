//! The task that owns the rows of the table, and the faults and counts of its clients.

use std::collections::BTreeMap;

use jackdawchute_ports::{CommitOutcome, MemoryTable, Row, Scan};
use xtra::prelude::*;

use super::{
    Admission, Admit, Availability, ClientId, CommitRows, LoseAnswer, Operation, ReadCounts,
    ReadRow, ScanRows, SetFaults, TableCounts, TableFaults,
};

/// The task that owns a table, and the faults and counts of its clients.
#[derive(Debug, xtra::Actor)]
pub struct TableTask {
    table: MemoryTable,
    clients: BTreeMap<ClientId, Client>,
}

#[derive(Debug, Default)]
struct Client {
    faults: TableFaults,
    counts: TableCounts,
}

impl TableTask {
    /// Creates an empty table with these clients, without faults.
    pub fn new(clients: &[ClientId]) -> Self {
        Self {
            table: MemoryTable::default(),
            clients: clients
                .iter()
                .map(|client| (client.clone(), Client::default()))
                .collect(),
        }
    }
}

impl Handler<Admit> for TableTask {
    type Return = Admission;

    async fn handle(&mut self, admit: Admit, _context: &mut Context<Self>) -> Admission {
        let client = self.clients.entry(admit.client).or_default();
        client.counts.request_bytes += admit.request_bytes as u64;
        match admit.operation {
            Operation::Read => client.counts.reads += 1,
            Operation::Scan => client.counts.scans += 1,
            Operation::Commit => client.counts.commits += 1,
        }
        Admission {
            delay: client.faults.delay,
            availability: client.faults.availability,
        }
    }
}

impl Handler<ReadRow> for TableTask {
    type Return = Option<Row>;

    async fn handle(&mut self, read: ReadRow, _context: &mut Context<Self>) -> Option<Row> {
        self.table.get(&read.0)
    }
}

impl Handler<ScanRows> for TableTask {
    type Return = Scan;

    async fn handle(&mut self, scan: ScanRows, _context: &mut Context<Self>) -> Scan {
        self.table.changes(&scan.prefix, scan.changed_after)
    }
}

impl Handler<CommitRows> for TableTask {
    type Return = CommitOutcome;

    async fn handle(&mut self, commit: CommitRows, _context: &mut Context<Self>) -> CommitOutcome {
        self.table.apply(commit.0)
    }
}

impl Handler<LoseAnswer> for TableTask {
    type Return = bool;

    async fn handle(&mut self, answer: LoseAnswer, _context: &mut Context<Self>) -> bool {
        let client = self.clients.entry(answer.client).or_default();
        if client.faults.availability == Availability::Silent {
            return true;
        }
        if answer.operation == Operation::Commit && client.faults.lose_commit_answers > 0 {
            client.faults.lose_commit_answers -= 1;
            client.counts.lost_answers += 1;
            return true;
        }
        client.counts.answer_bytes += answer.answer_bytes as u64;
        false
    }
}

impl Handler<SetFaults> for TableTask {
    type Return = ();

    async fn handle(&mut self, set: SetFaults, _context: &mut Context<Self>) {
        match set.client {
            Some(client) => self.clients.entry(client).or_default().faults = set.faults,
            None => self
                .clients
                .values_mut()
                .for_each(|client| client.faults = set.faults),
        }
    }
}

impl Handler<ReadCounts> for TableTask {
    type Return = BTreeMap<ClientId, TableCounts>;

    async fn handle(
        &mut self,
        _read: ReadCounts,
        _context: &mut Context<Self>,
    ) -> BTreeMap<ClientId, TableCounts> {
        self.clients
            .iter()
            .map(|(id, client)| (id.clone(), client.counts))
            .collect()
    }
}
