//! Compares the outcomes that callers saw with the records of what ran.

use smol_str::SmolStr;

use super::{wait_until, Cell};
use crate::{
    caller::{Caller, Outcome},
    checker::{never_ran, ran_once},
    load::{start, Finished, Plan, RunningLoad},
    Result,
};

impl Cell {
    /// Starts a load on the instances that the balancer picks as ready.
    ///
    /// # Errors
    /// The HTTP client could not be built.
    pub fn start_load(&self, plan: &Plan) -> Result<RunningLoad> {
        Ok(start(plan, Caller::new()?, self.balancer.clone()))
    }

    /// Waits until no minion runs a request, then returns every discrepancy between the outcomes and
    /// the records.
    ///
    /// These are: what [`Cell::violations`] finds, answers that are incomplete or belong to another
    /// request, requests that ran though they were refused as not run, and requests with a key that
    /// were answered but did not run exactly once.
    ///
    /// # Errors
    /// A stand-in's task has ended, or a minion still ran a request at the deadline.
    pub async fn discrepancies(&self, finished: &[Finished]) -> Result<Vec<String>> {
        self.wait_until_minions_idle().await?;
        let records = self.minion_records().await?;
        let tags_of = |is_wanted: fn(&Finished) -> bool| -> Vec<SmolStr> {
            let wanted = finished.iter().filter(|it| is_wanted(it));
            wanted.map(|it| it.call.tag.clone()).collect()
        };
        let not_run = tags_of(|it| it.outcome.is_not_run());
        let answered = tags_of(|it| it.outcome.is_answered() && it.call.key.is_some());
        let mut violations = self.violations().await?;
        violations.extend(never_ran(&records, &not_run));
        violations.extend(ran_once(&records, &answered));
        let mut discrepancies: Vec<String> = violations.iter().map(ToString::to_string).collect();
        discrepancies.extend(finished.iter().filter_map(wrong_answer));
        Ok(discrepancies)
    }

    async fn wait_until_minions_idle(&self) -> Result<()> {
        wait_until("idle minions", || async {
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
