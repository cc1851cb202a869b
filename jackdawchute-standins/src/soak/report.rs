//! What a soak found.

use std::fmt;

use super::Disturbance;

/// What a soak found.
#[derive(Clone, Debug)]
pub struct SoakReport<F> {
    /// The seed.
    pub seed: u64,
    /// The faults that were played.
    pub disturbances: Vec<Disturbance<F>>,
    /// What was asked of the cell, in numbers.
    pub load: String,
    /// What must not happen and did.
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
