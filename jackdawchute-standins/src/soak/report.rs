//! The report of a soak.

use std::fmt;

use super::Disturbance;

/// The faults, the load and the violations of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport<F> {
    /// The seed of the soak.
    pub seed: u64,
    /// The faults that were injected.
    pub disturbances: Vec<Disturbance<F>>,
    /// The size of the load, as text.
    pub load: String,
    /// Descriptions of the violations found; empty if the soak passed.
    pub violations: Vec<String>,
}

impl<F: fmt::Debug> fmt::Display for SoakReport<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            seed,
            load,
            violations,
            ..
        } = self;
        writeln!(f, "seed {seed}: {load}, {} violations", violations.len())?;
        for disturbance in &self.disturbances {
            writeln!(f, "  {disturbance}")?;
        }
        for violation in violations {
            writeln!(f, "  violated: {violation}")?;
        }
        Ok(())
    }
}
