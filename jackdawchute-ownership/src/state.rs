//! The state of one incarnation, and its decisions as values.
//!
//! Every input is a method that takes the time and returns what to do; the operations stand in
//! modules of their own.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};

use jackdawchute_ports::{RowKey, RowVersion};
use jackdawchute_types::{ConfigurationVersion, Epoch, FailureDomainId, GroupId, IncarnationId};

use crate::{
    announce::Announced,
    append::Queue,
    effect::Effect,
    journal::Journal,
    owner_lease::OwnerLease,
    pending_commit::PendingCommit,
    rows::{IncarnationRow, JournalSource},
    takeover::FailureDetector,
    view::{ScannedRows, View},
    Directory, LeaseState, Timing,
};

/// Who an instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// This start of the instance.
    pub incarnation: IncarnationId,
    /// Where its peer listener is.
    pub peer_address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomainId,
}

/// How far a group's adoption is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimPhase {
    /// The journals of earlier owners are being read.
    Loading {
        /// Whose.
        sources: Vec<JournalSource>,
    },
    /// It serves; its inherited state is being written to the own journal.
    CopyingInherited,
    /// The own journal holds all of its state.
    Complete,
}

/// A group that this incarnation owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedGroup {
    /// The own epoch.
    pub epoch: Epoch,
    /// How far the adoption is.
    pub phase: ClaimPhase,
    /// The owner before, unless it gave the group up itself.
    pub fenced_owner: Option<IncarnationId>,
    /// Whether it is being given up.
    pub is_releasing: bool,
}

/// Everything that one incarnation knows.
#[derive(Debug)]
pub struct State {
    pub(crate) identity: Identity,
    pub(crate) timing: Timing,
    pub(crate) view: View,
    pub(crate) failure_detector: FailureDetector,
    pub(crate) owner_lease: OwnerLease,
    pub(crate) own_version: RowVersion,
    pub(crate) own_row: IncarnationRow,
    pub(crate) joined: RowVersion,
    pub(crate) configuration_version: ConfigurationVersion,
    pub(crate) is_leaving: bool,
    pub(crate) desired: Option<Arc<BTreeSet<GroupId>>>,
    pub(crate) owned: BTreeMap<GroupId, OwnedGroup>,
    pub(crate) journal: Journal,
    pub(crate) queue: Queue,
    pub(crate) pending: Option<PendingCommit>,
    pub(crate) next_write: u64,
    pub(crate) last_commit: Option<Instant>,
    pub(crate) last_scan: Option<Instant>,
    pub(crate) last_balance: Option<Instant>,
    pub(crate) is_scanning: bool,
    pub(crate) is_loading: bool,
    pub(crate) scan_requested: bool,
    pub(crate) shared_out: Option<u64>,
    pub(crate) garbage: BTreeMap<IncarnationId, VecDeque<RowKey>>,
    pub(crate) listing: BTreeSet<IncarnationId>,
    /// Fenced incarnations without groups, and since when this one has seen them so.
    pub(crate) unreferenced: BTreeMap<IncarnationId, Instant>,
    pub(crate) held_off: BTreeMap<IncarnationId, Instant>,
    pub(crate) announced: BTreeMap<IncarnationId, Announced>,
}

impl State {
    /// An incarnation that the table does not know yet.
    pub fn new(identity: Identity, timing: Timing) -> Self {
        let own_row = IncarnationRow {
            counter: 0,
            head: 0,
            write_id: Default::default(),
            configuration_version: 0,
            peer_address: identity.peer_address,
            failure_domain: identity.failure_domain.clone(),
            seen_version: 0,
            fenced_by: None,
            leaving: false,
        };
        Self {
            identity,
            timing,
            own_row,
            view: View::default(),
            failure_detector: FailureDetector::default(),
            owner_lease: OwnerLease::default(),
            own_version: 0,
            joined: RowVersion::MAX,
            configuration_version: 0,
            is_leaving: false,
            desired: None,
            owned: BTreeMap::new(),
            journal: Journal::default(),
            queue: Queue::default(),
            pending: None,
            next_write: 0,
            last_commit: None,
            last_scan: None,
            last_balance: None,
            is_scanning: false,
            is_loading: false,
            scan_requested: false,
            shared_out: None,
            garbage: BTreeMap::new(),
            listing: BTreeSet::new(),
            unreferenced: BTreeMap::new(),
            held_off: BTreeMap::new(),
            announced: BTreeMap::new(),
        }
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.is_fenced() {
            return effects;
        }
        self.refuse_without_table(now, &mut effects);
        self.retry(now, &mut effects);
        self.scan_if_due(now, &mut effects);
        self.load(&mut effects);
        self.balance(now, &mut effects);
        self.pump(now, &mut effects);
        effects
    }

    fn scan_if_due(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let due = self
            .last_scan
            .is_none_or(|last| now.saturating_duration_since(last) >= self.timing.scan_period);
        if self.is_scanning || !(due || self.scan_requested) {
            return;
        }
        self.is_scanning = true;
        self.scan_requested = false;
        self.last_scan = Some(now);
        effects.push(Effect::Scan {
            incarnations_after: self.view.incarnations_version,
            groups_after: self.view.groups_version,
        });
    }

    /// A scan was answered, or failed.
    pub fn scanned(&mut self, changes: Option<ScannedRows>, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.is_scanning = false;
        match changes {
            _ if self.is_fenced() => return effects,
            None => self.failure_detector.failed(),
            Some(changes) => self.take_in(changes, now, &mut effects),
        }
        self.pump(now, &mut effects);
        effects
    }

    fn take_in(&mut self, changes: ScannedRows, now: Instant, effects: &mut Vec<Effect>) {
        self.view.apply(changes);
        let gap_max = self.timing.scan_period * 3;
        self.failure_detector.answered(&self.view, gap_max, now);
        let own = self.view.incarnation(&self.identity.incarnation);
        if let Some(successor) = own.and_then(|row| row.fenced_by.clone()) {
            // A commit on its way may have landed before the fence: its fate comes first.
            if self.pending.is_none() {
                self.fence_self(successor, effects);
                return;
            }
        }
        self.forget_gone();
        self.announce(effects);
        self.forget_released();
        self.let_go_undesired(effects);
        self.list_garbage(now, effects);
    }

    /// The groups that should have an owner.
    pub fn set_desired_groups(
        &mut self,
        groups: Arc<BTreeSet<GroupId>>,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.desired = Some(groups);
        self.shared_out = None;
        self.let_go_undesired(&mut effects);
        self.pump(now, &mut effects);
        effects
    }

    /// The configuration version that the next renewal reports.
    pub fn report(&mut self, version: ConfigurationVersion, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.configuration_version = self.configuration_version.max(version);
        self.pump(now, &mut effects);
        effects
    }

    /// A peer says that rows have changed.
    pub fn rows_changed(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.is_fenced() {
            return effects;
        }
        self.scan_requested = true;
        self.scan_if_due(now, &mut effects);
        effects
    }

    /// Whether a successor has fenced this incarnation.
    pub fn is_fenced(&self) -> bool {
        self.owner_lease.fenced_by.is_some()
    }

    /// Whether it may act as an owner.
    pub fn lease_state(&self, now: Instant) -> LeaseState {
        let lease = self.timing.lease;
        self.owner_lease
            .state(lease, self.peers().map(|(id, _)| id), now)
    }

    /// Until when it may act as an owner, as far as it knows now.
    pub fn lease_expires_at(&self, now: Instant) -> Option<Instant> {
        let peers = self.peers().map(|(id, _)| id);
        self.owner_lease.expires_at(&self.timing, peers, now)
    }

    /// The directory for other slices.
    pub fn directory(&self) -> Directory {
        self.view.directory()
    }

    /// Changes whenever the directory may have changed.
    pub fn revision(&self) -> u64 {
        self.view.revision
    }

    /// The groups that it serves.
    pub fn served(&self) -> impl Iterator<Item = (&GroupId, &OwnedGroup)> {
        self.owned.iter().filter(|(_, owned)| owned.serves())
    }

    /// The live journaled state of a group that it owns.
    pub fn entries(&self, group: &GroupId) -> Vec<(crate::EntryKey, String)> {
        let Some(owned) = self.owned.get(group) else {
            return Vec::new();
        };
        self.journal.state(&(group.clone(), owned.epoch))
    }

    /// How many entries its own journal's segments hold.
    pub fn journal_len(&self) -> usize {
        self.journal.entries_len()
    }

    /// Everyone who could fence this incarnation, as far as it knows.
    pub(crate) fn peers(&self) -> impl Iterator<Item = (&IncarnationId, SocketAddr)> {
        let me = &self.identity.incarnation;
        let known = self.view.unfenced().map(|(id, row)| (id, row.peer_address));
        let announced = self
            .announced
            .iter()
            .map(|(id, new)| (id, new.peer_address));
        let announced = announced.filter(|(id, _)| self.view.incarnation(id).is_none());
        known.chain(announced).filter(move |(id, _)| *id != me)
    }

    /// The unfenced incarnations that take groups.
    pub(crate) fn takers(&self) -> BTreeSet<IncarnationId> {
        let staying = self.view.unfenced().filter(|(_, row)| !row.leaving);
        let mut takers: BTreeSet<_> = staying.map(|(id, _)| id.clone()).collect();
        if self.is_leaving || self.own_version == 0 {
            takers.remove(&self.identity.incarnation);
        } else {
            takers.insert(self.identity.incarnation.clone());
        }
        takers
    }
}

impl OwnedGroup {
    /// Whether the group takes appends.
    pub fn serves(&self) -> bool {
        !self.is_releasing && !matches!(self.phase, ClaimPhase::Loading { .. })
    }
}
