//! Commands that tell the embedded worker how to simulate a task.

use std::time::Duration;

use jackdawchute_types::Resources;

/// The run time of a task whose command sets none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);

/// When and how a task ends if it is not stopped and its lease does not lapse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedEnd {
    /// Succeeds after this run time.
    SucceedsAfter(Duration),
    /// Fails after this run time.
    FailsAfter(Duration),
    /// Runs until it is stopped or its lease lapses.
    Never,
}

/// A parsed command, whose words are separated by white space.
///
/// `run_ms=N` sets the run time, `fail` makes the task fail at its end (at once without `run_ms`),
/// `forever` makes it run without end. `used_millicores=N` and `used_memory_mib=N` set its reported
/// use, which is otherwise what it declares.
///
/// ```
/// use std::time::Duration;
/// use jackdawchute_trial::worker::{Command, PlannedEnd};
///
/// assert_eq!(
///     Command::parse("run_ms=200").planned_end,
///     PlannedEnd::SucceedsAfter(Duration::from_millis(200))
/// );
/// assert_eq!(Command::parse("forever").planned_end, PlannedEnd::Never);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Command {
    /// When and how the task ends.
    pub planned_end: PlannedEnd,
    /// The processor use to report, in thousandths of a core; `None` for the declared amount.
    pub used_millicores: Option<u64>,
    /// The memory use to report, in MiB; `None` for the declared amount.
    pub used_memory_mib: Option<u64>,
}

impl Command {
    /// Parses the known words of `text` and ignores all others.
    pub fn parse(text: &str) -> Self {
        let number = |name: &str| -> Option<u64> {
            text.split_whitespace()
                .find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let has = |flag: &str| text.split_whitespace().any(|word| word == flag);
        let run_time = number("run_ms").map(Duration::from_millis);
        let planned_end = if has("forever") {
            PlannedEnd::Never
        } else if has("fail") {
            PlannedEnd::FailsAfter(run_time.unwrap_or_default())
        } else {
            PlannedEnd::SucceedsAfter(run_time.unwrap_or(DEFAULT_RUN_TIME))
        };
        Self {
            planned_end,
            used_millicores: number("used_millicores"),
            used_memory_mib: number("used_memory_mib"),
        }
    }

    /// Returns the reported use of a task that declares `declared`.
    pub fn used(&self, declared: &Resources) -> Resources {
        Resources::new(
            self.used_millicores
                .unwrap_or(declared.processor_millicores),
            self.used_memory_mib.unwrap_or(declared.memory_mib),
            declared.accelerators,
        )
    }
}
