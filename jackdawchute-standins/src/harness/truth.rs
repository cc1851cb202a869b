//! Holds what callers were told against what truly ran.

use smol_str::SmolStr;

use super::{wait_until, Cell};
use crate::{
    caller::{Caller, Outcome},
    checker::{never_ran, ran_once},
    load::{start, Finished, Plan, RunningLoad},
    Result,
};

impl Cell {
    /// Starts a load on the instances that the balancer finds ready.
    ///
    /// # Errors
    /// The HTTP client could not be built.
    pub fn start_load(&self, plan: &Plan) -> Result<RunningLoad> {
        Ok(start(plan, Caller::new()?, self.balancer.clone()))
    }

    /// Waits until no minion runs anything, then lists everything that is against the records:
    /// what [`Cell::violations`] finds, answers that are not whole or not the caller's own,
    /// requests that ran though refused as not run, and keyed requests that were answered and
    /// did not run exactly once.
    ///
    /// # Errors
    /// A stand-in's task has ended, or a minion did not come to rest before the deadline.
    pub async fn untruths(&self, finished: &[Finished]) -> Result<Vec<String>> {
        self.wait_until_at_rest().await?;
        let records = self.minion_records().await?;
        let tags_of = |wanted: fn(&Finished) -> bool| -> Vec<SmolStr> {
            let wanted = finished.iter().filter(|it| wanted(it));
            wanted.map(|it| it.call.tag.clone()).collect()
        };
        let not_run = tags_of(|it| it.outcome.is_not_run());
        let answered = tags_of(|it| it.outcome.is_answered() && it.call.key.is_some());
        let mut violations = self.violations().await?;
        violations.extend(never_ran(&records, &not_run));
        violations.extend(ran_once(&records, &answered));
        let mut untruths: Vec<String> = violations.iter().map(ToString::to_string).collect();
        untruths.extend(finished.iter().filter_map(wrong_answer));
        Ok(untruths)
    }

    async fn wait_until_at_rest(&self) -> Result<()> {
        wait_until("minions at rest", || async {
            let records = self.minion_records().await.ok()?;
            let mut runs = records.iter().flat_map(|record| &record.runs);
            runs.all(|run| run.ended.is_some()).then_some(())
        })
        .await
    }
}

fn wrong_answer(finished: &Finished) -> Option<String> {
    match &finished.outcome {
        Outcome::Wrong(problem) => Some(format!("{}: {problem}", finished.call.tag)),
        _ => None,
    }
}
