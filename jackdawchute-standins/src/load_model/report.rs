//! What became of a simulated load.

use std::{collections::BTreeMap, fmt, time::Duration};

use smol_str::SmolStr;

/// What became of the jobs of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindReport {
    /// The jobs that were handed in.
    pub asked: usize,
    /// Those that ended within their objective.
    pub on_time: usize,
    /// Those that ended later, within three times the objective.
    pub late: usize,
    /// Those that were refused.
    pub refused: usize,
    /// What could be earned.
    pub owed: f64,
    /// What was earned.
    pub earned: f64,
}

impl KindReport {
    /// The share of what could be earned.
    pub fn worth(&self) -> f64 {
        self.earned / self.owed.max(f64::MIN_POSITIVE)
    }
}

/// What became of a load, and what the decisions cost.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// By queue.
    pub kinds: BTreeMap<SmolStr, KindReport>,
    /// The processor time of all decisions.
    pub decision_time: Duration,
    /// The longest round of placement and questions.
    pub round_max: Duration,
    /// Rounds of placement and questions.
    pub rounds: usize,
    /// Tasks that were started.
    pub starts: usize,
    /// Looks at workers.
    pub looks: usize,
    /// Questions to advisors.
    pub questions: usize,
    /// The mean share of all processors in use while jobs arrive.
    pub used_share: f64,
    /// How long jobs arrived.
    pub lasted: Duration,
}

impl Report {
    /// The share of what could be earned with all kinds.
    pub fn worth(&self) -> f64 {
        let owed: f64 = self.kinds.values().map(|kind| kind.owed).sum();
        let earned: f64 = self.kinds.values().map(|kind| kind.earned).sum();
        earned / owed.max(f64::MIN_POSITIVE)
    }

    /// The processor time of decisions in each second, in thousandths of a core.
    pub fn decision_millicores(&self) -> u64 {
        let share = self.decision_time.as_secs_f64() / self.lasted.as_secs_f64();
        (share * 1_000.0) as u64
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "worth {:.3}; processors in use {:.2}; decisions {} millicores, longest round {} us, \
             {} rounds, {} starts, {} looks, {} questions",
            self.worth(),
            self.used_share,
            self.decision_millicores(),
            self.round_max.as_micros(),
            self.rounds,
            self.starts,
            self.looks,
            self.questions
        )?;
        for (queue, kind) in &self.kinds {
            writeln!(
                f,
                "  {queue:10} asked {:5}  on time {:5}  late {:5}  refused {:5}  worth {:.3}",
                kind.asked,
                kind.on_time,
                kind.late,
                kind.refused,
                kind.worth()
            )?;
        }
        Ok(())
    }
}
