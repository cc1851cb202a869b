//! The retry budgets of the classes.

use std::{collections::BTreeMap, time::Duration};

use jackdawchute_configuration::Configuration;
use jackdawchute_types::ClassId;
use rand::Rng;

use super::messages::{AskRetry, RetryAfter};

/// The most attempts at one request.
const ATTEMPTS_MAX: u32 = 5;
/// The mean delay before the second attempt; each further one doubles it.
const DELAY_FIRST: Duration = Duration::from_millis(20);
/// What one retry takes from the budget, in hundredths.
const RETRY_COST: u32 = 100;
/// What a class may save up, in hundredths of a retry.
const SAVED_MAX: u32 = 10 * RETRY_COST;

/// What each class has left to spend on retries.
#[derive(Debug, Default)]
pub(super) struct Retries {
    budgets: BTreeMap<ClassId, Budget>,
}

#[derive(Clone, Copy, Debug)]
struct Budget {
    /// What one success earns, in hundredths of a retry.
    percent: u32,
    /// What is saved, in hundredths of a retry.
    saved: u32,
}

impl Retries {
    pub(super) fn configure(&mut self, configuration: &Configuration) {
        for class in configuration.classes.keys() {
            let percent = configuration.retry_budget_percent(class);
            let new = Budget {
                percent,
                saved: SAVED_MAX,
            };
            self.budgets.entry(class.clone()).or_insert(new).percent = percent;
        }
        self.budgets
            .retain(|class, _| configuration.classes.contains_key(class));
    }

    pub(super) fn succeeded(&mut self, class: &ClassId) {
        if let Some(budget) = self.budgets.get_mut(class) {
            budget.saved = (budget.saved + budget.percent).min(SAVED_MAX);
        }
    }

    pub(super) fn ask(&mut self, ask: &AskRetry) -> RetryAfter {
        if ask.attempt >= ATTEMPTS_MAX {
            return None;
        }
        let budget = self.budgets.get_mut(&ask.class)?;
        budget.saved = budget.saved.checked_sub(RETRY_COST)?;
        let mean = DELAY_FIRST * 2_u32.pow(ask.attempt.saturating_sub(1));
        Some(mean.mul_f64(rand::rng().random_range(0.5..1.5)))
    }
}
