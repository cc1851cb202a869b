//! The retry budgets of the classes.

use std::{collections::BTreeMap, time::Duration};

use jackdawchute_configuration::Configuration;
use jackdawchute_requests::{FailedAttempt, RetryBudget, RetrySettings};
use jackdawchute_types::{ClassId, NoRecorder, Refusal, RefusalReason};
use rand::Rng;

/// A budget for each class, with the share that the configuration gives it.
#[derive(Debug, Default)]
pub(super) struct Retries {
    budgets: BTreeMap<ClassId, (u32, RetryBudget)>,
}

impl Retries {
    /// Takes new shares; a class whose share stays keeps what it saved.
    pub(super) fn configure(&mut self, configuration: &Configuration) {
        let mut known = std::mem::take(&mut self.budgets);
        for class in configuration.classes.keys() {
            let percent = configuration.retry_budget_percent(class);
            let kept = known.remove(class).filter(|(before, _)| *before == percent);
            let settings = RetrySettings {
                budget_percent: percent,
                ..Default::default()
            };
            let budget = kept.unwrap_or_else(|| (percent, RetryBudget::new(settings)));
            self.budgets.insert(class.clone(), budget);
        }
    }

    pub(super) fn succeeded(&mut self, class: &ClassId) {
        if let Some((_, budget)) = self.budgets.get_mut(class) {
            budget.succeeded(class);
        }
    }

    /// Decides on the next attempt; whoever answers the caller counts the outcome.
    pub(super) fn ask(&mut self, attempt: &FailedAttempt) -> Result<Duration, Refusal> {
        let budget = self.budgets.get_mut(&attempt.class);
        let (_, budget) = budget.ok_or_else(|| {
            let detail = format!("class {} is not configured", attempt.class);
            Refusal::not_run(RefusalReason::NotFound, detail)
        })?;
        budget.retry(attempt, rand::rng().random(), &NoRecorder)
    }
}
