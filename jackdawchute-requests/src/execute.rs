//! Executes the effects of the state; results return to the task as messages.

use std::{collections::VecDeque, sync::Arc, time::Instant};

use jackdawchute_ownership::{Append, Error, JournalEntry, Owner};
use jackdawchute_types::{Epoch, GroupId, IncarnationId, Refusal, RequestKey};
use tokio::sync::oneshot;
use xtra::prelude::*;

use crate::{
    journal::{holder_entry, removal_entry},
    AppendOutcome, AppendPurpose, Call, CallId, Effect, Grant, JournaledKey, Reply, RequestsTask,
    Result,
};

/// The result of an append of key records.
pub(crate) struct Appended {
    purpose: AppendPurpose,
    outcome: AppendOutcome,
}

/// The result of an append that registers holders, or removes their registrations.
pub(crate) struct Registered {
    group: GroupId,
    epoch: Epoch,
    holders: Vec<IncarnationId>,
    /// Whether they were to be registered.
    registered: bool,
    outcome: AppendOutcome,
}

type AppendAnswer = oneshot::Receiver<jackdawchute_ownership::Result<()>>;

/// Another incarnation's answer to a holdings query.
pub(crate) struct HoldingsReported {
    group: GroupId,
    incarnation: Owner,
    grants: Vec<Grant>,
}

impl RequestsTask {
    pub(crate) async fn execute(&mut self, effects: Vec<Effect>, context: &mut Context<Self>) {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Reply { call, result } => {
                    if let Some(grant) = self.reply(call, result) {
                        effects.extend(self.state.grant_undelivered(&grant, Instant::now()));
                    }
                }
                Effect::Append { purpose, records } => {
                    self.append(purpose, records, context).await;
                }
                Effect::RegisterHolders {
                    group,
                    epoch,
                    holders,
                } => self.register(group, epoch, holders, true, context).await,
                Effect::UnregisterHolders {
                    group,
                    epoch,
                    holders,
                } => self.register(group, epoch, holders, false, context).await,
                Effect::AskHoldings { group, incarnation } => {
                    self.ask_holdings(group, incarnation, context)
                }
                Effect::CountRefusal { class, reason } => self.recorder.refused(&class, reason),
                Effect::CountGrant { class, waited } => self.recorder.placed(&class, waited),
            }
        }
    }

    /// Answers a call; returns the grant if the caller no longer waits for it.
    fn reply(
        &mut self,
        call: CallId,
        result: std::result::Result<Reply, Refusal>,
    ) -> Option<Grant> {
        let sender = self.calls.remove(&call)?;
        match sender.send(result) {
            Err(Ok(Reply::Granted(grant))) => Some(grant),
            _ => None,
        }
    }

    /// Sends records to the journal in order; the result returns as an [`Appended`] message.
    async fn append(
        &mut self,
        purpose: AppendPurpose,
        records: Vec<(RequestKey, Option<JournaledKey>)>,
        context: &mut Context<Self>,
    ) {
        let address = context.mailbox().address();
        let entries = match encode(&purpose.group, &records) {
            Ok(entries) => entries,
            Err(error) => {
                spdlog::error!("{error}");
                let outcome = AppendOutcome::NotJournaled { store_down: false };
                let _ = address.send(Appended { purpose, outcome }).detach().await;
                return;
            }
        };
        let answer = self.send_entries(entries).await;
        tokio::spawn(async move {
            let outcome = append_outcome(answer.await);
            let _ = address.send(Appended { purpose, outcome }).await;
        });
    }

    async fn register(
        &mut self,
        group: GroupId,
        epoch: Epoch,
        holders: Vec<IncarnationId>,
        registered: bool,
        context: &mut Context<Self>,
    ) {
        let address = context.mailbox().address();
        let answer = self
            .send_entries(holder_entries(&group, &holders, registered))
            .await;
        tokio::spawn(async move {
            let registered = Registered {
                group,
                epoch,
                holders,
                registered,
                outcome: append_outcome(answer.await),
            };
            let _ = address.send(registered).await;
        });
    }

    async fn send_entries(&mut self, entries: Vec<JournalEntry>) -> AppendAnswer {
        let (reply, answer) = oneshot::channel();
        let append = Append { entries, reply };
        let _ = self.append.send(append).detach().await;
        answer
    }

    fn ask_holdings(&self, group: GroupId, incarnation: Owner, context: &mut Context<Self>) {
        let address = context.mailbox().address();
        let owner_calls = Arc::clone(&self.owner_calls);
        tokio::spawn(async move {
            let call = Call::Holdings {
                group: group.clone(),
                epoch: incarnation.epoch,
                holder: incarnation.incarnation.clone(),
            };
            match owner_calls.call(&incarnation, call).await {
                Ok(Ok(Reply::Holdings { grants })) => {
                    let reported = HoldingsReported {
                        group,
                        incarnation,
                        grants,
                    };
                    let _ = address.send(reported).await;
                }
                Ok(answer) => {
                    spdlog::warn!(
                        "unexpected answer of {} to a holdings query for group {group}: {:?}",
                        incarnation.incarnation,
                        answer
                    );
                }
                Err(error) => spdlog::warn!("holdings query for group {group} failed: {error}"),
            }
        });
    }
}

fn encode(
    group: &GroupId,
    records: &[(RequestKey, Option<JournaledKey>)],
) -> Result<Vec<JournalEntry>> {
    let entry = |(key, record): &(RequestKey, Option<JournaledKey>)| match record {
        Some(record) => record.to_entry(group, key),
        None => Ok(removal_entry(group, key)),
    };
    records.iter().map(entry).collect()
}

fn holder_entries(
    group: &GroupId,
    holders: &[IncarnationId],
    registered: bool,
) -> Vec<JournalEntry> {
    let entry = |holder| holder_entry(group, holder, registered);
    holders.iter().map(entry).collect()
}

fn append_outcome(
    answer: std::result::Result<jackdawchute_ownership::Result<()>, oneshot::error::RecvError>,
) -> AppendOutcome {
    match answer {
        Ok(Ok(())) => AppendOutcome::Journaled,
        Ok(Err(Error::Unavailable(_))) => AppendOutcome::NotJournaled { store_down: true },
        Ok(Err(Error::NotOwner(_) | Error::Fenced(_))) => {
            AppendOutcome::NotJournaled { store_down: false }
        }
        Err(_) => AppendOutcome::Unknown,
    }
}

impl Handler<Appended> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, appended: Appended, context: &mut Context<Self>) {
        let now = Instant::now();
        let effects = self
            .state
            .appended(&appended.purpose, appended.outcome, now);
        self.execute(effects, context).await;
    }
}

impl Handler<Registered> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, registered: Registered, context: &mut Context<Self>) {
        let Registered {
            group,
            epoch,
            holders,
            registered,
            outcome,
        } = registered;
        if !registered {
            self.state
                .holders_unregistered(&group, epoch, &holders, outcome);
            return;
        }
        let now = Instant::now();
        let effects = self
            .state
            .holders_appended(&group, epoch, &holders, outcome, now);
        self.execute(effects, context).await;
    }
}

impl Handler<HoldingsReported> for RequestsTask {
    type Return = ();

    async fn handle(&mut self, reported: HoldingsReported, context: &mut Context<Self>) {
        let epoch = reported.incarnation.epoch;
        let incarnation = &reported.incarnation.incarnation;
        let now = Instant::now();
        let effects = self.state.holdings_reported(
            &reported.group,
            epoch,
            incarnation,
            &reported.grants,
            now,
        );
        self.execute(effects, context).await;
    }
}
