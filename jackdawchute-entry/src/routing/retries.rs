//! The retry budget of each class.

use std::{collections::BTreeMap, time::Duration};

use jackdawchute_configuration::Configuration;
use jackdawchute_requests::{FailedAttempt, RetryBudget, RetrySettings};
use jackdawchute_types::{ClassId, NoRecorder, Refusal, RefusalReason};
use rand::Rng;

/// A retry budget for each class, with the percentage that the configuration gives it.
#[derive(Debug, Default)]
pub(super) struct Retries {
    budgets: BTreeMap<ClassId, (u32, RetryBudget)>,
}

impl Retries {
    /// Applies the percentages of a configuration. A class whose percentage is unchanged keeps its
    /// accumulated budget.
    pub(super) fn configure(&mut self, configuration: &Configuration) {
        let mut previous = std::mem::take(&mut self.budgets);
        for class in configuration.classes.keys() {
            let percent = configuration.retry_budget_percent(class);
            let unchanged = previous
                .remove(class)
                .filter(|(before, _)| *before == percent);
            let settings = RetrySettings {
                budget_percent: percent,
                ..Default::default()
            };
            let budget = unchanged.unwrap_or_else(|| (percent, RetryBudget::new(settings)));
            self.budgets.insert(class.clone(), budget);
        }
    }

    /// Adds to the budget of a class after a successful attempt.
    pub(super) fn succeeded(&mut self, class: &ClassId) {
        if let Some((_, budget)) = self.budgets.get_mut(class) {
            budget.succeeded(class);
        }
    }

    /// Takes a retry from the budget of the attempt's class and returns the delay before it, or
    /// refuses the retry.
    ///
    /// Retries are not recorded here: the task that answers the caller counts them in the metrics.
    pub(super) fn authorize(&mut self, attempt: &FailedAttempt) -> Result<Duration, Refusal> {
        let budget = self.budgets.get_mut(&attempt.class);
        let (_, budget) = budget.ok_or_else(|| {
            let detail = format!("class {} is not configured", attempt.class);
            Refusal::not_run(RefusalReason::NotFound, detail)
        })?;
        budget.retry(attempt, rand::rng().random(), &NoRecorder)
    }
}
