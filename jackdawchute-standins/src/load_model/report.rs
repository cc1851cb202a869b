//! The results of a simulated load.

use std::{collections::BTreeMap, fmt, time::Duration};

use smol_str::SmolStr;

/// The results for the jobs of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindReport {
    /// The number of jobs submitted.
    pub submitted: usize,
    /// The number of jobs completed within their objective.
    pub on_time: usize,
    /// The number of jobs completed later, but within three times their objective.
    pub late: usize,
    /// The number of jobs refused at submission.
    pub refused: usize,
    /// The worth of all jobs submitted, each counted as on time.
    pub submitted_worth: f64,
    /// The worth of the jobs completed, on time or late.
    pub earned_worth: f64,
}

impl KindReport {
    /// Returns the share of the submitted worth that was earned.
    pub fn worth(&self) -> f64 {
        self.earned_worth / self.submitted_worth.max(f64::MIN_POSITIVE)
    }
}

/// The results of a load, and the cost of the scheduler's decisions.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The results for each kind, by queue.
    pub kinds: BTreeMap<SmolStr, KindReport>,
    /// The real time that all decisions took.
    pub decision_time: Duration,
    /// The real time that the longest scheduling round took.
    pub round_max: Duration,
    /// The number of scheduling rounds.
    pub rounds: usize,
    /// The number of starts ordered.
    pub starts: usize,
    /// The number of lease renewals ordered.
    pub renewals: usize,
    /// The number of advice requests.
    pub advice_requests: usize,
    /// The mean share of all processors in use while jobs arrive.
    pub used_share: f64,
    /// How long jobs arrived.
    pub duration: Duration,
    /// The results for the jobs of each kind that were submitted in each second, by queue.
    pub seconds: Vec<BTreeMap<SmolStr, KindReport>>,
}

impl Report {
    /// Returns the share of the submitted worth that was earned, over all kinds.
    pub fn worth(&self) -> f64 {
        let submitted: f64 = self.kinds.values().map(|kind| kind.submitted_worth).sum();
        let earned: f64 = self.kinds.values().map(|kind| kind.earned_worth).sum();
        earned / submitted.max(f64::MIN_POSITIVE)
    }

    /// Returns the share of the worth submitted from one second to before another that was earned,
    /// by queue.
    pub fn worth_between(&self, from_s: usize, to_s: usize) -> BTreeMap<SmolStr, f64> {
        let mut sums: BTreeMap<SmolStr, KindReport> = BTreeMap::new();
        for (queue, kind) in self.seconds.iter().take(to_s).skip(from_s).flatten() {
            let sum = sums.entry(queue.clone()).or_default();
            sum.submitted_worth += kind.submitted_worth;
            sum.earned_worth += kind.earned_worth;
        }
        let worths = sums.into_iter().map(|(queue, sum)| (queue, sum.worth()));
        worths.collect()
    }

    /// Returns the results of a kind for the jobs that were submitted in a second.
    pub(super) fn second(&mut self, submitted_at: Duration, queue: &SmolStr) -> &mut KindReport {
        let second = submitted_at.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize_with(second + 1, BTreeMap::new);
        }
        self.seconds[second].entry(queue.clone()).or_default()
    }

    /// Returns the share of `duration` that decisions took, in thousandths of a core.
    pub fn decision_millicores(&self) -> u64 {
        let share = self.decision_time.as_secs_f64() / self.duration.as_secs_f64();
        (share * 1_000.0) as u64
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "worth {:.3}; processors in use {:.2}; decisions {} millicores, longest round {} us, \
             {} rounds, {} starts, {} renewals, {} advice requests",
            self.worth(),
            self.used_share,
            self.decision_millicores(),
            self.round_max.as_micros(),
            self.rounds,
            self.starts,
            self.renewals,
            self.advice_requests
        )?;
        for (queue, kind) in &self.kinds {
            writeln!(
                f,
                "  {queue:10} submitted {:5}  on time {:5}  late {:5}  refused {:5}  worth {:.3}",
                kind.submitted,
                kind.on_time,
                kind.late,
                kind.refused,
                kind.worth()
            )?;
        }
        Ok(())
    }
}
