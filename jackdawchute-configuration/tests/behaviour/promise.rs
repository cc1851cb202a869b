//! The promise for a fleet of which some instances reach the table and some only each other.
//!
//! No instance takes new work with a version that was replaced longer ago than the confirmation
//! time, whatever is cut, paused, delayed or ended, and none ever goes back to an older version.

use std::time::{Duration, Instant};

use jackdawchute_configuration::{
    Configuration, Confirmation, KnownConfiguration, PeerAnswer, PeerAnswers, PeerFailure, Reply,
    State, TableRead,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const INSTANCES: usize = 4;
const CONFIRM: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(250);
const SEED: u64 = 17;
const STEPS: usize = 400;
const TESTS: u64 = 400;

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Time passes.
    Pass,
    /// An instance sends a read of the table.
    Read(usize),
    /// An instance asks its peers.
    Ask(usize),
    /// The oldest or newest answer under way arrives.
    Deliver { newest: bool },
    /// An operator's change is accepted at an instance and offered to those it reaches.
    Accept(usize),
    /// The link between an instance and the table is cut or mended.
    CutTable(usize, bool),
    /// The table goes down or up for all.
    TableDown(bool),
    /// The link between two instances is cut or mended.
    CutPeers(usize, usize, bool),
    /// An instance ends.
    End(usize),
}

impl Arbitrary for Event {
    fn arbitrary(gen: &mut Gen) -> Self {
        let instance = usize::arbitrary(gen) % INSTANCES;
        let other = usize::arbitrary(gen) % INSTANCES;
        let yes = bool::arbitrary(gen);
        match u32::arbitrary(gen) % 100 {
            0..=24 => Self::Pass,
            25..=39 => Self::Read(instance),
            40..=54 => Self::Ask(instance),
            55..=84 => Self::Deliver { newest: yes },
            85..=88 => Self::Accept(instance),
            89..=92 => Self::CutTable(instance, yes),
            93..=94 => Self::TableDown(yes),
            95..=98 => Self::CutPeers(instance, other, yes),
            _ if u8::arbitrary(gen) < 32 => Self::End(instance),
            _ => Self::Pass,
        }
    }
}

/// An answer under way to an instance.
enum UnderWay {
    Table(usize, Instant, TableRead),
    Peers(usize, Instant, PeerAnswers),
}

struct Fleet {
    now: Instant,
    states: Vec<State>,
    ended: [bool; INSTANCES],
    table_cut: [bool; INSTANCES],
    table_down: bool,
    peers_cut: [[bool; INSTANCES]; INSTANCES],
    accepted: Vec<Instant>,
    under_way: Vec<UnderWay>,
}

impl Fleet {
    /// Every instance has read version 1.
    fn new() -> Self {
        let now = Instant::now();
        let mut states = vec![State::new(CONFIRM); INSTANCES];
        for state in &mut states {
            state.on_table(now, changes(Some(configuration(1))));
        }
        Self {
            now,
            states,
            ended: [false; INSTANCES],
            table_cut: [false; INSTANCES],
            table_down: false,
            peers_cut: [[false; INSTANCES]; INSTANCES],
            accepted: vec![now],
            under_way: Vec::new(),
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Pass => self.now += STEP,
            Event::Read(instance) if !self.ended[instance] => self.read(instance),
            Event::Ask(instance) if !self.ended[instance] => self.ask(instance),
            Event::Deliver { newest } => self.deliver(newest),
            Event::Accept(instance) => self.accept(instance),
            Event::CutTable(instance, cut) => self.table_cut[instance] = cut,
            Event::TableDown(down) => self.table_down = down,
            Event::CutPeers(one, other, cut) => {
                self.peers_cut[one][other] = cut;
                self.peers_cut[other][one] = cut;
            }
            Event::End(instance) => self.ended[instance] = true,
            Event::Read(_) | Event::Ask(_) => {}
        }
    }

    fn reaches_table(&self, instance: usize) -> bool {
        !self.table_down && !self.table_cut[instance] && !self.ended[instance]
    }

    fn read(&mut self, instance: usize) {
        let read = if self.reaches_table(instance) {
            changes(Some(configuration(self.accepted.len() as u64)))
        } else {
            TableRead::Failed
        };
        self.under_way
            .push(UnderWay::Table(instance, self.now, read));
    }

    fn ask(&mut self, asker: usize) {
        let known_version = self.states[asker].version();
        let others = (0..INSTANCES).filter(|other| *other != asker);
        let answers = others.map(|other| PeerAnswer {
            peer: format!("entry-{other}").into(),
            result: self.answer(asker, other, known_version).map(Reply::Known),
        });
        let answers = PeerAnswers {
            complete: true,
            answers: answers.collect(),
        };
        self.under_way
            .push(UnderWay::Peers(asker, self.now, answers));
    }

    fn answer(
        &self,
        asker: usize,
        other: usize,
        known: u64,
    ) -> Result<KnownConfiguration, PeerFailure> {
        if self.peers_cut[asker][other] {
            return Err(PeerFailure::Unreachable);
        }
        if self.ended[other] {
            return Err(PeerFailure::Ended);
        }
        Ok(self.states[other].known_configuration(known, self.now))
    }

    fn deliver(&mut self, newest: bool) {
        if self.under_way.is_empty() {
            return;
        }
        let index = if newest { self.under_way.len() - 1 } else { 0 };
        match self.under_way.remove(index) {
            UnderWay::Table(instance, sent, read) => {
                self.states[instance].on_table(sent, read);
            }
            UnderWay::Peers(instance, sent, answers) => {
                self.states[instance].on_peers(sent, answers);
            }
        }
    }

    /// An ended instance that reached no peer could take the version with it; `Accepted` says so.
    fn accept(&mut self, at: usize) {
        let reached: Vec<usize> = (0..INSTANCES)
            .filter(|other| !self.peers_cut[at][*other] && !self.ended[*other])
            .collect();
        if !self.reaches_table(at) || reached.len() < 2 {
            return;
        }
        self.accepted.push(self.now);
        let accepted = configuration(self.accepted.len() as u64);
        for other in reached {
            self.states[other].update(accepted.clone());
        }
    }

    /// The versions that were replaced longer ago than the confirmation time must not be used.
    fn promise_holds(&self) -> bool {
        let running = (0..INSTANCES).filter(|instance| !self.ended[*instance]);
        running.into_iter().all(|instance| {
            let state = &self.states[instance];
            let next = self.accepted.get(state.version() as usize);
            let in_time = next.is_none_or(|accepted| self.now < *accepted + CONFIRM);
            in_time || state.confirmation(self.now) == Confirmation::Unconfirmed
        })
    }
}

fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        ..Configuration::default()
    }
}

fn changes(configuration: Option<Configuration>) -> TableRead {
    TableRead::Changes {
        configuration: configuration.map(Box::new),
        table_version: 1,
    }
}

#[test]
fn no_instance_takes_work_with_a_version_replaced_longer_ago_than_stated() {
    fn holds(events: Vec<Event>) -> bool {
        let mut fleet = Fleet::new();
        events.into_iter().all(|event| {
            let before: Vec<u64> = fleet.states.iter().map(State::version).collect();
            fleet.happens(event);
            let after = fleet.states.iter().map(State::version);
            let reverted = before.into_iter().zip(after).any(|(old, new)| new < old);
            !reverted && fleet.promise_holds()
        })
    }
    let check = QuickCheck::new().rng(Gen::from_size_and_seed(STEPS, SEED));

    check
        .tests(TESTS)
        .quickcheck(holds as fn(Vec<Event>) -> bool);
}
