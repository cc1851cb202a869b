//! The decisions about service requests: methods take an input and the current time, and return
//! effects.

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
    fleet::{key_group_minions, mark_moved, minions_by_group, ListedMinions},
    group::Group,
    groups::{is_key_group, key_group, rendezvous_group, service_group},
    recover::is_listed,
    Acquire, AppendOutcome, AppendPurpose, AppendStep, Call, CallId, Complete, Effect, Grant,
    GrantOutcome, HeldGrants, Reply, Settings,
};

/// A longer time between two ticks means that the process was paused.
const TICK_GAP_MAX: Duration = Duration::from_secs(1);
/// How long nothing is granted after a pause, so that a loss of the owner lease is processed first.
const RESUME_DELAY: Duration = Duration::from_millis(250);

type PolicyFactory = Box<dyn Fn() -> Box<dyn AdmissionPolicy> + Send>;

/// The state of the service requests in one instance.
pub struct State {
    incarnation: IncarnationId,
    pub(crate) settings: Arc<Settings>,
    /// Until when grants by replaced settings may run; `None` before settings were replaced.
    replaced_grants_until: Option<Instant>,
    /// Whether the settings are those of a configuration, by which grants may have been given.
    is_configured: bool,
    policy: PolicyFactory,
    lease_state: LeaseState,
    /// The live incarnations, to which slots may be granted.
    directory: Arc<Directory>,
    /// The listed minions of every group, owned or not.
    fleet: BTreeMap<GroupId, ListedMinions>,
    /// The groups that this incarnation owns.
    pub(crate) groups: BTreeMap<GroupId, Group>,
    /// Groups that were lost while intents or outcomes were being journaled.
    draining: Vec<Group>,
    /// The grants of any owner whose requests this instance sends.
    pub(crate) held_grants: HeldGrants,
    /// The end of the owner lease; `None`, which sets no limit, before the first confirmation.
    lease_expires_at: Option<Instant>,
    last_tick: Option<Instant>,
    /// Until when nothing is granted after the last pause; `None` if there was none.
    resume_at: Option<Instant>,
}

impl State {
    /// Creates a state that owns no group; `policy` makes the admission policy of each group.
    pub fn new(incarnation: IncarnationId, settings: Arc<Settings>, policy: PolicyFactory) -> Self {
        Self {
            incarnation,
            settings,
            replaced_grants_until: None,
            is_configured: false,
            policy,
            lease_state: LeaseState::Confirmed,
            directory: Arc::default(),
            fleet: BTreeMap::new(),
            groups: BTreeMap::new(),
            draining: Vec::new(),
            held_grants: HeldGrants::default(),
            lease_expires_at: None,
            last_tick: None,
            resume_at: None,
        }
    }

    /// Recovers a claimed group from its journal, or refuses the waiting calls of a lost one.
    pub fn group_event(&mut self, event: GroupEvent, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.update_may_grant(now);
        match event {
            GroupEvent::Claimed {
                group,
                epoch,
                entries,
                fenced_owner,
            } => self.group_claimed(group, epoch, &entries, fenced_owner, now, &mut effects),
            GroupEvent::Lost { group } => self.drop_group(&group, &mut effects),
        }
        self.query_holdings(now, &mut effects);
        effects
    }

    fn group_claimed(
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
        self.drop_group(&id, effects);
        let settings = Arc::clone(&self.settings);
        let mut group = Group::new(id.clone(), epoch, settings, (self.policy)(), now);
        group.may_grant = self.may_grant(now);
        group.replaced_grants_until = self.replaced_grants_until;
        if let Some(listed) = self.listed_minions(&id) {
            group.set_minions(&listed);
        }
        let is_live = |holder: &IncarnationId| {
            Some(holder) != fenced_owner.as_ref()
                && (*holder == self.incarnation || is_listed(&self.directory, holder))
        };
        group.recover_journal(entries, is_live, now, effects);
        group.update_listed(&self.directory, effects);
        group.register([&self.incarnation].into_iter(), effects);
        self.groups.insert(id, group);
    }

    fn drop_group(&mut self, id: &GroupId, effects: &mut Vec<Effect>) {
        if let Some(mut group) = self.groups.remove(id) {
            group.refuse_all(effects);
            self.draining.push(group);
        }
    }

    /// Updates the live incarnations and owners.
    pub fn set_directory(&mut self, directory: Arc<Directory>, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.update_may_grant(now);
        let old = std::mem::replace(&mut self.directory, directory);
        for group in self.groups.values_mut() {
            group.directory_changed(&old, &self.directory, now, &mut effects);
            group.update_listed(&self.directory, &mut effects);
            group.grant_waiting(now, &mut effects);
        }
        self.query_holdings(now, &mut effects);
        effects
    }

    /// Sets until when this incarnation may act as an owner.
    pub fn set_lease_expiry(&mut self, expires_at: Instant) {
        self.lease_expires_at = Some(expires_at);
    }

    /// Sets whether this incarnation may act as an owner, and whether the store is available.
    pub fn set_lease_state(&mut self, lease_state: LeaseState, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.lease_state = lease_state;
        self.update_may_grant(now);
        if lease_state == LeaseState::Fenced {
            let owned: Vec<GroupId> = self.groups.keys().cloned().collect();
            for id in owned {
                self.drop_group(&id, &mut effects);
            }
        }
        for group in self.groups.values_mut() {
            match lease_state {
                LeaseState::Confirmed => group.next_journal_probe = now,
                LeaseState::StoreDown => group.journal_down = true,
                LeaseState::CutOff | LeaseState::Fenced => {}
            }
        }
        effects
    }

    /// Updates the minions of every group; leaving minions get no further requests.
    pub fn set_membership(&mut self, list: &MembershipList, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.update_may_grant(now);
        let mut fleet = minions_by_group(list);
        let ended = now + self.settings.grants.ended_after();
        let moved_until = ended.max(self.replaced_grants_until.unwrap_or(ended));
        mark_moved(&mut fleet, &self.fleet, moved_until);
        self.fleet = fleet;
        for (id, group) in &mut self.groups {
            if !is_key_group(id) {
                group.set_minions(self.fleet.get(id).unwrap_or(&ListedMinions::new()));
            }
            group.grant_waiting(now, &mut effects);
        }
        effects
    }

    /// Returns the listed minions of a group; for a key group, the stand-in that it has in place of
    /// listed ones.
    fn listed_minions(&self, group: &GroupId) -> Option<ListedMinions> {
        if is_key_group(group) {
            return Some(key_group_minions());
        }
        self.fleet.get(group).cloned()
    }

    /// Expires calls, grants and keys whose time has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.update_may_grant(now);
        self.last_tick = Some(now);
        self.held_grants.expire(now);
        for group in self.groups.values_mut() {
            group.expire(now, &mut effects);
            group.unregister_unlisted(&self.incarnation, &mut effects);
        }
        for group in &mut self.draining {
            group.expire_journaling(now, &mut effects);
        }
        self.draining.retain(|group| !group.is_drained());
        self.query_holdings(now, &mut effects);
        effects
    }

    /// Processes a call, which is answered by an [`Effect::Reply`] now or later.
    pub fn incoming(&mut self, id: CallId, call: Call, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.update_may_grant(now);
        match call {
            Call::Holdings {
                group,
                epoch,
                holder,
            } => effects.push(Effect::Reply {
                call: id,
                result: self.report_holdings(&group, epoch, &holder),
            }),
            Call::Acquire(acquire) if !self.decides_for_key(&acquire) => {
                effects.push(Effect::Reply {
                    call: id,
                    result: Err(Refusal::not_run(
                        RefusalReason::OwnerUnavailable,
                        format!("group {} is not the home of the key", acquire.group),
                    )),
                })
            }
            Call::Acquire(acquire) => {
                let holder_listed = self.is_listed_holder(&acquire.holder);
                match self
                    .groups
                    .get_mut(&acquire.group)
                    .filter(|_| holder_listed)
                {
                    Some(group) => group.acquire(id, acquire, now, &mut effects),
                    None => effects.extend(refuse_not_owner(id, &acquire.group, holder_listed)),
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

    /// Reports the held grants of a group to its owner, unless the owner asks another incarnation:
    /// the requests of an earlier one may still run.
    fn report_holdings(
        &mut self,
        group: &GroupId,
        epoch: Epoch,
        holder: &IncarnationId,
    ) -> Result<Reply, Refusal> {
        if !holder.is_empty() && *holder != self.incarnation {
            let detail = format!("{} has replaced {holder} at its address", self.incarnation);
            return Err(Refusal::not_run(RefusalReason::OwnerUnavailable, detail));
        }
        let grants = self.held_grants.report_to_owner(group, epoch);
        Ok(Reply::Holdings { grants })
    }

    /// Returns whether the group decides for the call's key: it knows the key, or rendezvous
    /// hashing over the listed groups chooses it. A sender that saw only some of the groups may
    /// have chosen another one.
    fn decides_for_key(&self, acquire: &Acquire) -> bool {
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

    /// Returns whether `holder` may be granted slots. Only listed incarnations may, because a
    /// successor can ask only these for the grants that they hold.
    fn is_listed_holder(&self, holder: &IncarnationId) -> bool {
        *holder == self.incarnation || is_listed(&self.directory, holder)
    }

    /// Processes the result of an [`Effect::Append`].
    pub fn appended(
        &mut self,
        purpose: &AppendPurpose,
        outcome: AppendOutcome,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.update_may_grant(now);
        let is_appender =
            |group: &&mut Group| group.id == purpose.group && group.epoch == purpose.epoch;
        let mut groups = self.groups.values_mut().chain(&mut self.draining);
        let Some(group) = groups.find(is_appender) else {
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
        let is_owned = |group: &Group| group.epoch == purpose.epoch;
        if !self.groups.get(&purpose.group).is_some_and(is_owned) {
            self.refuse_calls_of_lost(&mut effects);
        }
        effects
    }

    /// Refuses the calls that a lost group has queued again, which it never grants.
    fn refuse_calls_of_lost(&mut self, effects: &mut Vec<Effect>) {
        for group in &mut self.draining {
            group.refuse_all(effects);
        }
    }

    /// Processes the result of an [`Effect::RegisterHolders`].
    pub fn holders_appended(
        &mut self,
        id: &GroupId,
        epoch: Epoch,
        holders: &[IncarnationId],
        outcome: AppendOutcome,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.update_may_grant(now);
        let group = self.groups.get_mut(id);
        if let Some(group) = group.filter(|group| group.epoch == epoch) {
            group.holders_appended(holders, outcome, now, &mut effects);
        }
        effects
    }

    /// Processes the answer to an [`Effect::AskHoldings`].
    pub fn holdings_reported(
        &mut self,
        id: &GroupId,
        epoch: Epoch,
        incarnation: &IncarnationId,
        grants: &[Grant],
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.update_may_grant(now);
        let group = self.groups.get_mut(id);
        if let Some(group) = group.filter(|group| group.epoch == epoch) {
            group.holdings_reported(incarnation, grants, now, &mut effects);
        }
        effects
    }

    /// Cancels a call whose sender no longer waits for the reply.
    pub fn cancel(&mut self, call: CallId, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.update_may_grant(now);
        for group in self.groups.values_mut() {
            group.cancel(|waiting| waiting.call == call, now, &mut effects);
        }
        effects
    }

    /// Releases a grant whose reply could not be delivered.
    pub fn grant_undelivered(&mut self, grant: &Grant, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.update_may_grant(now);
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

    /// Replaces the settings of every owned group.
    pub fn change_settings(&mut self, settings: Arc<Settings>, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.update_may_grant(now);
        if std::mem::replace(&mut self.is_configured, true) {
            let until = now + self.settings.grants.ended_after();
            self.replaced_grants_until = self.replaced_grants_until.max(Some(until));
        }
        for group in self.groups.values_mut() {
            group.replaced_grants_until = self.replaced_grants_until;
            group.change_settings(Arc::clone(&settings));
            group.grant_waiting(now, &mut effects);
        }
        self.settings = settings;
        effects
    }

    /// Issues the pending holdings queries: answers those to this incarnation at once, and abandons
    /// the overdue grants of incarnations that are not listed any more.
    fn query_holdings(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for group in self.groups.values_mut() {
            for incarnation in std::mem::take(&mut group.holdings_queries) {
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
                    None => group.abandon_overdue(&incarnation, now, effects),
                }
            }
        }
    }

    /// Checks before any decision whether the process was paused, and updates whether groups may
    /// grant.
    fn update_may_grant(&mut self, now: Instant) {
        let gap = self
            .last_tick
            .map(|last| now.saturating_duration_since(last));
        if gap.is_some_and(|gap| gap > TICK_GAP_MAX) {
            self.resume_at = Some(now + RESUME_DELAY);
            self.last_tick = Some(now);
        }
        let may_grant = self.may_grant(now);
        for group in self.groups.values_mut() {
            group.may_grant = may_grant;
        }
    }

    fn may_grant(&self, now: Instant) -> bool {
        let resumed = self.resume_at.is_none_or(|resume_at| resume_at <= now);
        let leased = self
            .lease_expires_at
            .is_none_or(|expires_at| now < expires_at);
        let confirmed = matches!(
            self.lease_state,
            LeaseState::Confirmed | LeaseState::StoreDown
        );
        resumed && leased && confirmed
    }
}

fn refuse_not_owner(call: CallId, group: &GroupId, holder_listed: bool) -> [Effect; 1] {
    let detail = if holder_listed {
        format!("group {group} has another owner")
    } else {
        "the holder is not in the directory yet".to_owned()
    };
    let result = Err(Refusal::not_run(RefusalReason::OwnerUnavailable, detail));
    [Effect::Reply { call, result }]
}
