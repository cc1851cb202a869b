//! The state of one incarnation; its decisions are returned as values.
//!
//! Every input is a method that takes the time and returns the effects to perform. Most methods are
//! in the modules of their operations.

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
    append::AppendQueue,
    effect::Effect,
    journal::Journal,
    owner_lease::OwnerLease,
    pending_commit::PendingCommit,
    rows::{IncarnationRow, JournalSource},
    takeover::FailureDetector,
    view::{ScannedRows, View},
    Directory, LeaseState, Timing,
};

/// The identity of a running instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The id of this start of the instance.
    pub incarnation: IncarnationId,
    /// The address of its peer listener.
    pub peer_address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomainId,
}

/// The progress of a group's claim after the table has named the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimPhase {
    /// The journals of earlier owners are being read; the group is not served yet.
    Loading {
        /// The journals, and the epochs in them that count.
        sources: Vec<JournalSource>,
    },
    /// The group is served, and its inherited state is being copied into this incarnation's
    /// journal.
    CopyingInherited,
    /// This incarnation's journal holds all of the group's state.
    Complete,
}

/// A group that this incarnation owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedGroup {
    /// This incarnation's epoch for the group.
    pub epoch: Epoch,
    /// The progress of the claim.
    pub phase: ClaimPhase,
    /// The previous owner if it was fenced; `None` if it released the group or there was none.
    pub fenced_owner: Option<IncarnationId>,
    /// Whether the group is being released.
    pub is_releasing: bool,
}

/// Whether claims may be decided from the view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ViewState {
    /// A scan has to answer first: there was none, or a commit conflicted with rows that are not in
    /// the view.
    #[default]
    Outdated,
    /// The scan in flight began after that.
    Refreshing,
    /// A scan has answered.
    Current,
}

/// All that one incarnation knows.
#[derive(Debug)]
pub struct State {
    pub(crate) identity: Identity,
    pub(crate) timing: Timing,
    /// The rows of incarnations and groups as last read.
    pub(crate) view: View,
    /// Whether claims may be decided from the view.
    pub(crate) view_state: ViewState,
    /// Since when other incarnations' rows are unchanged.
    pub(crate) failure_detector: FailureDetector,
    /// How long this incarnation may act as an owner.
    pub(crate) owner_lease: OwnerLease,
    /// The version of this incarnation's row; 0 before the first commit.
    pub(crate) own_row_version: RowVersion,
    /// This incarnation's row as last committed.
    pub(crate) own_row: IncarnationRow,
    /// The version of this incarnation's first commit; `RowVersion::MAX` before that.
    pub(crate) joined_version: RowVersion,
    /// The configuration version to report with the next renewal.
    pub(crate) configuration_version: ConfigurationVersion,
    /// Whether all groups are being handed over.
    pub(crate) is_leaving: bool,
    /// The groups that should have an owner; `None` until they are set.
    pub(crate) desired_groups: Option<Arc<BTreeSet<GroupId>>>,
    /// The groups that the table names this incarnation as the owner of.
    pub(crate) owned_groups: BTreeMap<GroupId, OwnedGroup>,
    /// The index of this incarnation's journal.
    pub(crate) journal: Journal,
    /// The appends that are in no commit yet.
    pub(crate) queue: AppendQueue,
    /// The commit whose outcome is not known yet.
    pub(crate) pending: Option<PendingCommit>,
    /// The number in the last write id.
    pub(crate) last_write_number: u64,
    /// When a commit was last sent.
    pub(crate) last_commit: Option<Instant>,
    /// When the last scan began.
    pub(crate) last_scan: Option<Instant>,
    /// When a release for balance was last considered.
    pub(crate) last_balance: Option<Instant>,
    /// Whether a scan is in flight.
    pub(crate) is_scanning: bool,
    /// Whether a read of journals is in flight.
    pub(crate) is_loading: bool,
    /// Whether to scan without waiting for the scan period.
    pub(crate) scan_requested: bool,
    /// The revision of the view at which there was nothing left to claim.
    pub(crate) no_claims_at_revision: Option<u64>,
    /// The rows to delete of each fenced incarnation whose journal was listed.
    pub(crate) garbage_rows: BTreeMap<IncarnationId, VecDeque<RowKey>>,
    /// The fenced incarnations whose journals are being listed.
    pub(crate) listing_journals: BTreeSet<IncarnationId>,
    /// Since when each fenced incarnation has been seen without groups.
    pub(crate) unreferenced_since: BTreeMap<IncarnationId, Instant>,
    /// Until when this incarnation has promised not to fence each holder.
    pub(crate) promises_given: BTreeMap<IncarnationId, Instant>,
    /// The incarnations that announced themselves and whose rows were not read yet.
    pub(crate) announced: BTreeMap<IncarnationId, Announced>,
}

impl State {
    /// Returns the state of an incarnation that has no row in the table yet.
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
            view_state: ViewState::default(),
            failure_detector: FailureDetector::default(),
            owner_lease: OwnerLease::default(),
            own_row_version: 0,
            joined_version: RowVersion::MAX,
            configuration_version: 0,
            is_leaving: false,
            desired_groups: None,
            owned_groups: BTreeMap::new(),
            journal: Journal::default(),
            queue: AppendQueue::default(),
            pending: None,
            last_write_number: 0,
            last_commit: None,
            last_scan: None,
            last_balance: None,
            is_scanning: false,
            is_loading: false,
            scan_requested: false,
            no_claims_at_revision: None,
            garbage_rows: BTreeMap::new(),
            listing_journals: BTreeSet::new(),
            unreferenced_since: BTreeMap::new(),
            promises_given: BTreeMap::new(),
            announced: BTreeMap::new(),
        }
    }

    /// Does the work that is due at `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.is_fenced() {
            return effects;
        }
        self.refuse_unconfirmed_appends(now, &mut effects);
        self.retry_pending(now, &mut effects);
        self.scan_if_due(now, &mut effects);
        self.load_journals(&mut effects);
        self.release_for_balance(now, &mut effects);
        self.send_next_commit(now, &mut effects);
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
        if self.view_state == ViewState::Outdated {
            self.view_state = ViewState::Refreshing;
        }
        effects.push(Effect::Scan {
            incarnations_after: self.view.incarnations_version,
            groups_after: self.view.groups_version,
        });
    }

    /// Handles the rows of a scan; `None` if it failed.
    pub fn scanned(&mut self, rows: Option<ScannedRows>, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.is_scanning = false;
        match rows {
            _ if self.is_fenced() => return effects,
            None => self.scan_failed(),
            Some(rows) => self.apply_scan(rows, now, &mut effects),
        }
        self.send_next_commit(now, &mut effects);
        effects
    }

    fn scan_failed(&mut self) {
        self.failure_detector.scan_failed();
        if self.view_state == ViewState::Refreshing {
            self.view_state = ViewState::Outdated;
        }
    }

    /// Applies the rows of a scan, and does what depends on them.
    fn apply_scan(&mut self, rows: ScannedRows, now: Instant, effects: &mut Vec<Effect>) {
        self.view.apply(rows);
        if self.view_state == ViewState::Refreshing {
            self.view_state = ViewState::Current;
        }
        let gap_max = self.timing.scan_period * 3;
        self.failure_detector
            .scan_answered(&self.view, gap_max, now);
        let own_row = self.view.incarnation(&self.identity.incarnation);
        if let Some(successor) = own_row.and_then(|row| row.fenced_by.clone()) {
            // The pending commit may have taken effect before the fence: its outcome is resolved
            // first.
            if self.pending.is_none() {
                self.mark_fenced(successor, effects);
                return;
            }
        }
        self.drop_stale_announcements();
        self.announce(effects);
        self.drop_released_groups();
        self.release_undesired(effects);
        self.list_garbage(now, effects);
    }

    /// Sets the groups that should have an owner.
    pub fn set_desired_groups(
        &mut self,
        groups: Arc<BTreeSet<GroupId>>,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.desired_groups = Some(groups);
        self.no_claims_at_revision = None;
        self.release_undesired(&mut effects);
        self.send_next_commit(now, &mut effects);
        effects
    }

    /// Sets the configuration version that the next renewal reports.
    pub fn report_configuration(
        &mut self,
        version: ConfigurationVersion,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.configuration_version = self.configuration_version.max(version);
        self.send_next_commit(now, &mut effects);
        effects
    }

    /// Scans at once, because a peer has notified this instance that rows have changed.
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

    /// Returns whether this incarnation may act as an owner.
    pub fn lease_state(&self, now: Instant) -> LeaseState {
        let lease = self.timing.lease;
        self.owner_lease
            .state(lease, self.peers().map(|(id, _)| id), now)
    }

    /// Returns until when this incarnation may act as an owner, as far as it knows at `now`.
    pub fn lease_expires_at(&self, now: Instant) -> Option<Instant> {
        let peers = self.peers().map(|(id, _)| id);
        self.owner_lease.expires_at(&self.timing, peers, now)
    }

    /// Builds the directory that is published to other slices.
    pub fn directory(&self) -> Directory {
        self.view.directory()
    }

    /// Returns the view's revision, which changes whenever the directory may have changed.
    pub fn revision(&self) -> u64 {
        self.view.revision
    }

    /// Returns the groups that this incarnation serves.
    pub fn served(&self) -> impl Iterator<Item = (&GroupId, &OwnedGroup)> {
        self.owned_groups
            .iter()
            .filter(|(_, owned)| owned.is_served())
    }

    /// Returns the live journaled state of a group that this incarnation owns.
    pub fn entries(&self, group: &GroupId) -> Vec<(crate::EntryKey, String)> {
        let Some(owned) = self.owned_groups.get(group) else {
            return Vec::new();
        };
        self.journal.state(&(group.clone(), owned.epoch))
    }

    /// Returns how many entries the segments of this incarnation's journal hold.
    pub fn journal_len(&self) -> usize {
        self.journal.entries_len()
    }

    /// Returns every other incarnation that could fence this one, as far as it knows, with its peer
    /// address.
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

    /// Returns the unfenced incarnations that groups may be assigned to: all that are not leaving.
    pub(crate) fn candidate_owners(&self) -> BTreeSet<IncarnationId> {
        let staying = self.view.unfenced().filter(|(_, row)| !row.leaving);
        let mut candidate_owners: BTreeSet<_> = staying.map(|(id, _)| id.clone()).collect();
        if self.is_leaving || self.own_row_version == 0 {
            candidate_owners.remove(&self.identity.incarnation);
        } else {
            candidate_owners.insert(self.identity.incarnation.clone());
        }
        candidate_owners
    }
}

impl OwnedGroup {
    /// Whether the group is served, so that it accepts appends.
    pub fn is_served(&self) -> bool {
        !self.is_releasing && !matches!(self.phase, ClaimPhase::Loading { .. })
    }
}
