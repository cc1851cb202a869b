//! Steps between the store, a leader and its members: confirmations, promises and claims.

use jackdawchute_cell::authority::{ClaimState, PROMISED_FOR};

use super::{
    spec::Spec,
    world::{
        Claim, ClaimStage, Confirmation, Earlier, Instance, Leader, Member, PromiseCall, World,
    },
};

impl Spec {
    /// Sends a commit or a read that confirms the epoch, applies it, or delivers its answer.
    pub(crate) fn confirm(&self, world: &World, instance: usize, next: &mut Vec<World>) {
        let Some(leader) = &world.instances[instance].leader else {
            return;
        };
        let change = |change: &dyn Fn(&mut Leader)| {
            world.step(|w| w.instances[instance].leader.iter_mut().for_each(change))
        };
        let Some(call) = leader.confirmation else {
            if leader.confirmed_at < self.now && leader.epoch == world.epoch && self.matters(leader)
            {
                let now = self.instant(self.now);
                let ended = |earlier: &Earlier| self.earlier_until(earlier) <= now;
                let call = Confirmation {
                    sent_at: self.now,
                    settled: self.epoch_max > 2 && leader.earlier.as_ref().is_none_or(ended),
                    answered: false,
                };
                next.push(change(&|leader| leader.confirmation = Some(call)));
            }
            return;
        };
        if call.sent_at < self.now {
            next.push(change(&|leader| leader.confirmation = None));
        }
        if call.answered {
            let from = match self.guards.counts_from_send {
                true => call.sent_at,
                false => self.now,
            };
            next.push(change(&|leader| {
                leader.confirmation = None;
                leader.confirmed_at = leader.confirmed_at.max(from);
                leader.permitted_from = leader.permitted_from.max(from);
            }));
        } else if world.epoch == leader.epoch {
            let mut applied = change(&|leader| {
                leader
                    .confirmation
                    .iter_mut()
                    .for_each(|call| call.answered = true);
            });
            applied.settled |= call.settled;
            next.push(applied);
        }
    }

    /// Asks a member for a promise, lets the member answer, or delivers the answer.
    pub(crate) fn promise(&self, world: &World, instance: usize, next: &mut Vec<World>) {
        let Some(leader) = &world.instances[instance].leader else {
            return;
        };
        for (number, member) in leader.members.iter().enumerate() {
            let Some(member) = member else {
                continue;
            };
            let change = |change: &dyn Fn(&mut Member)| {
                world.step(|w| {
                    let leader = w.instances[instance].leader.iter_mut();
                    leader
                        .filter_map(|leader| leader.members[number].as_mut())
                        .for_each(change);
                })
            };
            let promised_for = self.in_ticks(PROMISED_FOR);
            match member.call {
                None if member.promised_until < self.now + promised_for => {
                    let call = PromiseCall {
                        asked_at: self.now,
                        answered: false,
                    };
                    next.push(change(&|member| member.call = Some(call)));
                }
                None => {}
                Some(call) if call.answered => {
                    let from = match self.guards.promise_counts_from_request {
                        true => call.asked_at,
                        false => self.now,
                    };
                    next.push(change(&|member| {
                        member.call = None;
                        member.promised_until = member.promised_until.max(from + promised_for);
                    }));
                }
                Some(_) => {
                    let asked = &world.instances[number];
                    let mut state = match self.guards.no_promise_while_claiming {
                        true => self.claim_state(asked),
                        false => ClaimState::default(),
                    };
                    state.epoch_read(asked.read);
                    if !self.guards.promises_what_it_read {
                        state.epoch_read(leader.epoch);
                    }
                    let promised = state
                        .promise(leader.epoch, self.instant(self.now))
                        .filter(|_| asked.row <= leader.epoch);
                    let mut answered = change(&|member| {
                        member.call = member.call.filter(|_| promised.is_some());
                        member.call.iter_mut().for_each(|call| call.answered = true);
                    });
                    if promised.is_some() {
                        answered.instances[number].promised_until = Some(self.now + promised_for);
                    }
                    next.push(answered);
                }
            }
        }
    }

    /// Reads the rows, begins a claim, sends it, applies it, or delivers its answer.
    pub(crate) fn claim(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let instance = &world.instances[number];
        let change =
            |change: &dyn Fn(&mut Instance)| world.step(|w| change(&mut w.instances[number]));
        let reads = self.claims[number] || self.heartbeats_from <= self.epoch_max;
        let reads_later_row = instance.row.min(instance.read) < world.epoch;
        if reads && instance.leader.is_none() && reads_later_row {
            next.push(change(&|i| {
                (i.row, i.read) = (world.epoch, world.epoch);
                i.unresolved = false;
            }));
        }
        let Some(claim) = instance.claim else {
            let is_current = instance.row == world.epoch && world.epoch < self.epoch_max;
            if self.claims[number] && instance.leader.is_none() && is_current {
                let mut state = self.claim_state(instance);
                let wait = state.begin_claim(self.instant(self.now));
                let wait = wait.min(wait * u32::from(self.guards.keeps_promise));
                let claim = Claim {
                    replaced: world.epoch,
                    settled: world.settled,
                    stage: ClaimStage::Waiting(self.now + self.in_ticks(wait)),
                    abandoned: false,
                };
                next.push(change(&|i| i.claim = Some(claim)));
            }
            return;
        };
        let with_stage = |stage| Some(Claim { stage, ..claim });
        match claim.stage {
            ClaimStage::Waiting(until) => {
                if until <= self.now {
                    next.push(change(&|i| i.claim = with_stage(ClaimStage::InNetwork)));
                }
            }
            ClaimStage::InNetwork => {
                if !claim.abandoned {
                    next.push(change(&|i| {
                        i.claim = Some(Claim {
                            abandoned: true,
                            ..claim
                        });
                        i.unresolved = i.row == claim.replaced;
                    }));
                }
                let wins = world.epoch == claim.replaced;
                let mut applied = change(&|i| {
                    i.claim = with_stage(ClaimStage::Answered(wins)).filter(|c| !c.abandoned);
                });
                if wins {
                    applied.epoch += 1;
                    applied.settled = false;
                }
                next.push(applied);
            }
            ClaimStage::Answered(won) => {
                next.push(change(&|i| {
                    i.claim = None;
                    i.unresolved = i.row == claim.replaced;
                }));
                let epoch = claim.replaced + 1;
                next.push(change(&|i| {
                    i.claim = None;
                    i.unresolved = false;
                    if won && i.row <= epoch {
                        i.row = epoch;
                        i.leader = Some(self.successor(i, &claim));
                    }
                }));
            }
        }
    }

    /// Returns the state of a leader that begins with its claim's answer. It has authority from its
    /// first confirmation on.
    pub(crate) fn successor(&self, instance: &Instance, claim: &Claim) -> Leader {
        Leader {
            epoch: claim.replaced + 1,
            confirmed_at: 0,
            permitted_from: 0,
            confirmation: None,
            members: [None; 3],
            earlier: Some(Earlier {
                replaced: claim.replaced,
                settled: claim.settled,
                claimed_at: self.now,
                testimonies: self.testimony(instance).into_iter().collect(),
                stopped_at: None,
            }),
            task_at: None,
            lease_sent: [0; 2],
            reported: [false; 2],
            order: None,
        }
    }
}
