//! Every decision of this slice: inputs and the time in, effects out.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use jackdawchute_admission::AdmissionPolicy;
use jackdawchute_ownership::{Directory, GroupEvent, LeaseState, Owner};
use jackdawchute_ports::MembershipList;
use jackdawchute_types::{Epoch, FailureDomainId, GroupId, IncarnationId, Refusal, RefusalReason};

use crate::{
    adopt::is_listed,
    fleet::{key_place, minions_by_group, Listed},
    group::Group,
    groups::{is_key_group, key_group, rendezvous_group, service_group},
    Acquire, AppendOutcome, AppendPurpose, AppendStep, Call, CallId, Complete, Effect, Grant,
    GrantOutcome, HeldGrants, Reply, Settings,
};

/// A longer time between two ticks means that the process stood still.
const TICK_GAP_MAX: Duration = Duration::from_secs(1);
/// After standing still nothing is granted for this time, so that a lost lease is heard of first.
const SETTLE_TIME: Duration = Duration::from_millis(250);

type PolicyFactory = Box<dyn Fn() -> Box<dyn AdmissionPolicy> + Send>;

/// The state of the requests slice in one instance.
pub struct State {
    incarnation: IncarnationId,
    pub(crate) settings: Arc<Settings>,
    policy: PolicyFactory,
    lease_state: LeaseState,
    directory: Arc<Directory>,
    fleet: BTreeMap<GroupId, Listed>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    /// Groups that were lost while intents or outcomes were on their way to the journal.
    lost: Vec<Group>,
    pub(crate) held_grants: HeldGrants,
    lease_expires_at: Option<Instant>,
    last_tick: Option<Instant>,
    settled: Option<Instant>,
}

impl State {
    /// A state that owns no group yet.
    pub fn new(incarnation: IncarnationId, settings: Arc<Settings>, policy: PolicyFactory) -> Self {
        Self {
            incarnation,
            settings,
            policy,
            lease_state: LeaseState::Confirmed,
            directory: Arc::default(),
            fleet: BTreeMap::new(),
            groups: BTreeMap::new(),
            lost: Vec::new(),
            held_grants: HeldGrants::default(),
            lease_expires_at: None,
            last_tick: None,
            settled: None,
        }
    }

    /// Takes a group over or lets it go.
    pub fn group_event(&mut self, event: GroupEvent, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.begin(now);
        match event {
            GroupEvent::Claimed {
                group,
                epoch,
                entries,
                fenced_owner,
            } => self.adopt(group, epoch, &entries, fenced_owner, now, &mut effects),
            GroupEvent::Lost { group } => self.lose_group(&group, &mut effects),
        }
        self.settle_asks(now, &mut effects);
        effects
    }

    fn adopt(
        &mut self,
        id: GroupId,
        epoch: Epoch,
        entries: &[(smol_str::SmolStr, String)],
        fenced_owner: Option<IncarnationId>,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if self
            .groups
            .get(&id)
            .is_some_and(|group| group.epoch >= epoch)
        {
            return;
        }
        self.lose_group(&id, effects);
        let settings = Arc::clone(&self.settings);
        let mut group = Group::new(id.clone(), epoch, settings, (self.policy)(), now);
        group.may_grant = self.may_grant(now);
        if let Some(listed) = self.listed(&id) {
            group.set_minions(&listed);
        }
        let is_live = |holder: &IncarnationId| {
            Some(holder) != fenced_owner.as_ref()
                && (*holder == self.incarnation || is_listed(&self.directory, holder))
        };
        group.adopt_journal(entries, is_live, now, effects);
        group.note_listed(&self.directory, effects);
        group.register([&self.incarnation].into_iter(), effects);
        self.groups.insert(id, group);
    }

    fn lose_group(&mut self, id: &GroupId, effects: &mut Vec<Effect>) {
        if let Some(mut group) = self.groups.remove(id) {
            group.refuse_all(effects);
            self.lost.push(group);
        }
    }

    /// Learns who is unfenced.
    pub fn directory(&mut self, directory: Arc<Directory>, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.begin(now);
        let old = std::mem::replace(&mut self.directory, directory);
        for group in self.groups.values_mut() {
            group.holders_changed(&old, &self.directory, now, &mut effects);
            group.note_listed(&self.directory, &mut effects);
            group.pump(now, &mut effects);
        }
        self.settle_asks(now, &mut effects);
        effects
    }

    /// Learns until when this incarnation may act as an owner.
    pub fn set_lease_expiry(&mut self, until: Instant) {
        self.lease_expires_at = Some(until);
    }

    /// Learns whether this incarnation may act as an owner.
    pub fn set_lease_state(&mut self, lease_state: LeaseState, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.lease_state = lease_state;
        self.begin(now);
        if lease_state == LeaseState::Fenced {
            let owned: Vec<GroupId> = self.groups.keys().cloned().collect();
            for id in owned {
                self.lose_group(&id, &mut effects);
            }
        }
        for group in self.groups.values_mut() {
            match lease_state {
                LeaseState::Confirmed => group.journal_probe = now,
                LeaseState::StoreDown => group.journal_down = true,
                LeaseState::CutOff | LeaseState::Fenced => {}
            }
        }
        effects
    }

    /// Learns the minions; leaving ones get nothing new.
    pub fn membership(&mut self, list: &MembershipList, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.begin(now);
        self.fleet = minions_by_group(list);
        for (id, group) in &mut self.groups {
            if !is_key_group(id) {
                group.set_minions(self.fleet.get(id).unwrap_or(&Listed::new()));
            }
            group.pump(now, &mut effects);
        }
        effects
    }

    /// The minions of a group; a key group has its place whatever the membership list says.
    fn listed(&self, group: &GroupId) -> Option<Listed> {
        if is_key_group(group) {
            return Some(key_place());
        }
        self.fleet.get(group).cloned()
    }

    /// Ends what is over.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.begin(now);
        self.last_tick = Some(now);
        self.held_grants.expire(now);
        for group in self.groups.values_mut() {
            group.expire(now, &mut effects);
            group.forget_holders(&self.incarnation, &mut effects);
        }
        self.lost.retain(|group| !group.is_drained());
        self.settle_asks(now, &mut effects);
        effects
    }

    /// Takes a call.
    pub fn incoming(&mut self, id: CallId, call: Call, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.begin(now);
        match call {
            Call::Holdings { group, epoch } => effects.push(Effect::Reply {
                call: id,
                result: Ok(Reply::Holdings {
                    grants: self.held_grants.report_to_owner(&group, epoch),
                }),
            }),
            Call::Acquire(acquire) if !self.is_home(&acquire) => effects.push(Effect::Reply {
                call: id,
                result: Err(Refusal::not_run(
                    RefusalReason::OwnerUnavailable,
                    format!("group {} is not the home of the key", acquire.group),
                )),
            }),
            Call::Acquire(acquire) => {
                let known = self.is_known(&acquire.holder);
                match self.groups.get_mut(&acquire.group).filter(|_| known) {
                    Some(group) => group.acquire(id, acquire, now, &mut effects),
                    None => effects.extend(not_here(id, &acquire.group, known)),
                }
            }
            Call::Complete(complete) => match self.groups.get_mut(&complete.group) {
                Some(group) => group.complete(Some(id), complete, now, &mut effects),
                None => effects.push(Effect::Reply {
                    call: id,
                    result: Err(Refusal::unknown(
                        RefusalReason::OwnerUnavailable,
                        format!("group {} has another owner", complete.group),
                    )),
                }),
            },
        }
        effects
    }

    /// Whether the group decides for the call's key: it knows the key, or is its home among the
    /// listed groups. A caller that saw only some of the groups may have chosen another one.
    fn is_home(&self, acquire: &Acquire) -> bool {
        let Some(key) = acquire.journaled_key() else {
            return true;
        };
        let group = self.groups.get(&acquire.group);
        if group.is_none_or(|group| group.keys.get(key).is_some()) {
            return true;
        }
        if is_key_group(&acquire.group) {
            return key_group(key, &acquire.service) == acquire.group;
        }
        let prefix = service_group(&acquire.service, &FailureDomainId::default());
        let listed = self
            .fleet
            .keys()
            .filter(|group| group.starts_with(prefix.as_str()) && !is_key_group(group));
        let listed: Vec<GroupId> = listed.cloned().collect();
        listed.is_empty() || rendezvous_group(key, &listed) == acquire.group
    }

    /// Only listed incarnations are granted to: a successor asks those what they hold.
    fn is_known(&self, holder: &IncarnationId) -> bool {
        *holder == self.incarnation || is_listed(&self.directory, holder)
    }

    /// Goes on after an append.
    pub fn appended(
        &mut self,
        purpose: &AppendPurpose,
        outcome: AppendOutcome,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.begin(now);
        let same = |group: &&mut Group| group.id == purpose.group && group.epoch == purpose.epoch;
        let mut groups = self.groups.values_mut().chain(&mut self.lost);
        let Some(group) = groups.find(same) else {
            return effects;
        };
        let key = &purpose.key;
        match purpose.step {
            AppendStep::Intent => group.intent_appended(key, outcome, now, &mut effects),
            AppendStep::Outcome { call, revision } => {
                group.outcome_appended(key, (call, revision), outcome, now, &mut effects);
            }
            AppendStep::Cleanup => {}
        }
        effects
    }

    /// Goes on after holders were journaled or were not.
    pub fn registered(
        &mut self,
        id: &GroupId,
        epoch: Epoch,
        holders: &[IncarnationId],
        outcome: AppendOutcome,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.begin(now);
        let group = self.groups.get_mut(id);
        if let Some(group) = group.filter(|group| group.epoch == epoch) {
            group.registered(holders, outcome, now, &mut effects);
        }
        effects
    }

    /// Learns what another incarnation holds of a group.
    pub fn holdings_reported(
        &mut self,
        id: &GroupId,
        epoch: Epoch,
        incarnation: &IncarnationId,
        grants: &[Grant],
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.begin(now);
        let group = self.groups.get_mut(id);
        if let Some(group) = group.filter(|group| group.epoch == epoch) {
            group.holdings_reported(incarnation, grants, now, &mut effects);
        }
        effects
    }

    /// Drops a call whose caller went away.
    pub fn cancel(&mut self, call: CallId, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.begin(now);
        for group in self.groups.values_mut() {
            group.cancel(|waiting| waiting.call == call, now, &mut effects);
        }
        effects
    }

    /// Takes a grant back whose reply could not be delivered.
    pub fn undelivered(&mut self, grant: &Grant, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.begin(now);
        if let Some(group) = self.groups.get_mut(&grant.group) {
            if let Some(holder) = group.holder_of(grant) {
                let complete = Complete {
                    group: grant.group.clone(),
                    grant: grant.id,
                    epoch: grant.epoch,
                    holder,
                    outcome: GrantOutcome::NotSent {
                        connection_refused: false,
                    },
                };
                group.complete(None, complete, now, &mut effects);
            }
        }
        effects
    }

    /// Replaces the settings.
    pub fn change_settings(&mut self, settings: Arc<Settings>, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.begin(now);
        for group in self.groups.values_mut() {
            group.change_settings(Arc::clone(&settings));
            group.pump(now, &mut effects);
        }
        self.settings = settings;
        effects
    }

    /// Asks those that are listed; itself at once; gives up on those that are not.
    fn settle_asks(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for group in self.groups.values_mut() {
            for incarnation in std::mem::take(&mut group.asks) {
                if incarnation == self.incarnation {
                    let grants = self.held_grants.report_to_owner(&group.id, group.epoch);
                    group.holdings_reported(&incarnation, &grants, now, effects);
                    continue;
                }
                match self.directory.incarnations.get(&incarnation) {
                    Some(address) => effects.push(Effect::AskHoldings {
                        group: group.id.clone(),
                        incarnation: Owner {
                            incarnation,
                            epoch: group.epoch,
                            peer_address: *address,
                        },
                    }),
                    None => group.lose_overdue(&incarnation, now, effects),
                }
            }
        }
    }

    /// Looks at the clock before any decision: this incarnation may have stood still meanwhile.
    fn begin(&mut self, now: Instant) {
        let gap = self
            .last_tick
            .map(|last| now.saturating_duration_since(last));
        if gap.is_some_and(|gap| gap > TICK_GAP_MAX) {
            self.settled = Some(now + SETTLE_TIME);
            self.last_tick = Some(now);
        }
        let may_grant = self.may_grant(now);
        for group in self.groups.values_mut() {
            group.may_grant = may_grant;
        }
    }

    fn may_grant(&self, now: Instant) -> bool {
        let settled = self.settled.is_none_or(|settled| settled <= now);
        let leased = self.lease_expires_at.is_none_or(|until| now < until);
        let confirmed = matches!(
            self.lease_state,
            LeaseState::Confirmed | LeaseState::StoreDown
        );
        settled && leased && confirmed
    }
}

fn not_here(call: CallId, group: &GroupId, known: bool) -> [Effect; 1] {
    let detail = if known {
        format!("group {group} has another owner")
    } else {
        "the holder is not in the directory yet".to_owned()
    };
    let result = Err(Refusal::not_run(RefusalReason::OwnerUnavailable, detail));
    [Effect::Reply { call, result }]
}
