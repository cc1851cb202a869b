//! What a task's command asks of the embedded worker.

use std::time::Duration;

use jackdawchute_types::Resources;

/// The run time of a task whose command gives none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);

/// How a task runs if nothing stops it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    /// Succeeds after this time.
    For(Duration),
    /// Fails after this time.
    FailsAfter(Duration),
    /// Never ends by itself.
    Forever,
}

/// A parsed command: words separated by spaces.
///
/// `run_ms=N` sets the run time, `fail` ends it with failure, `forever` never ends,
/// `used_millicores=N` and `used_memory_mib=N` set what it uses in place of what it declares.
///
/// ```
/// use std::time::Duration;
/// use jackdawchute_trial::worker::{Command, Run};
///
/// assert_eq!(Command::parse("run_ms=200").run, Run::For(Duration::from_millis(200)));
/// assert_eq!(Command::parse("forever").run, Run::Forever);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Command {
    /// How it runs.
    pub run: Run,
    /// The processor time that it truly uses, if not as declared.
    pub used_millicores: Option<u64>,
    /// The memory that it truly uses, if not as declared.
    pub used_memory_mib: Option<u64>,
}

impl Command {
    /// Reads the known words of `text` and passes over all others.
    pub fn parse(text: &str) -> Self {
        let number = |name: &str| -> Option<u64> {
            text.split_whitespace()
                .find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let has = |flag: &str| text.split_whitespace().any(|word| word == flag);
        let run_time = number("run_ms").map(Duration::from_millis);
        let run = if has("forever") {
            Run::Forever
        } else if has("fail") {
            Run::FailsAfter(run_time.unwrap_or_default())
        } else {
            Run::For(run_time.unwrap_or(DEFAULT_RUN_TIME))
        };
        Self {
            run,
            used_millicores: number("used_millicores"),
            used_memory_mib: number("used_memory_mib"),
        }
    }

    /// What a task uses that declares `declared`.
    pub fn used(&self, declared: &Resources) -> Resources {
        Resources::new(
            self.used_millicores
                .unwrap_or(declared.processor_millicores),
            self.used_memory_mib.unwrap_or(declared.memory_mib),
            declared.accelerators,
        )
    }
}
