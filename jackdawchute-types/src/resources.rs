//! Amounts of processor, memory and accelerators.

use serde::{Deserialize, Serialize};

/// An amount of each resource that a worker has or a task needs.
///
/// ```
/// use jackdawchute_types::Resources;
///
/// let worker = Resources::new(32_000, 131_072, 2);
/// let task = Resources::new(4_000, 8_192, 1);
/// assert!(task.fits_in(&worker));
/// assert_eq!(worker.saturating_sub(&task), Resources::new(28_000, 122_880, 1));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    #[serde(default)]
    pub processor_millicores: u64,
    /// Memory in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Zero of each resource.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Creates an amount from thousandths of a core, MiB and whole accelerators.
    pub const fn new(processor_millicores: u64, memory_mib: u64, accelerators: u32) -> Self {
        Self {
            processor_millicores,
            memory_mib,
            accelerators,
        }
    }

    /// Returns whether each amount is at most that of `available`.
    pub fn fits_in(&self, available: &Self) -> bool {
        self.processor_millicores <= available.processor_millicores
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Adds the amounts, saturating at the largest value of their type.
    #[must_use]
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self::new(
            self.processor_millicores
                .saturating_add(other.processor_millicores),
            self.memory_mib.saturating_add(other.memory_mib),
            self.accelerators.saturating_add(other.accelerators),
        )
    }

    /// Returns the larger amount of each resource.
    ///
    /// ```
    /// use jackdawchute_types::Resources;
    ///
    /// let largest = Resources::new(2_000, 64, 0).max_of_each(&Resources::new(500, 128, 1));
    /// assert_eq!(largest, Resources::new(2_000, 128, 1));
    /// ```
    #[must_use]
    pub fn max_of_each(&self, other: &Self) -> Self {
        Self::new(
            self.processor_millicores.max(other.processor_millicores),
            self.memory_mib.max(other.memory_mib),
            self.accelerators.max(other.accelerators),
        )
    }

    /// Subtracts the amounts, saturating at zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self::new(
            self.processor_millicores
                .saturating_sub(other.processor_millicores),
            self.memory_mib.saturating_sub(other.memory_mib),
            self.accelerators.saturating_sub(other.accelerators),
        )
    }

    /// Multiplies each amount by `count`, saturating at the largest value of its type.
    #[must_use]
    pub fn saturating_mul(&self, count: u32) -> Self {
        Self::new(
            self.processor_millicores.saturating_mul(u64::from(count)),
            self.memory_mib.saturating_mul(u64::from(count)),
            self.accelerators.saturating_mul(count),
        )
    }

    /// Returns the larger amount of each resource, such as of declared and reported use.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self::new(
            self.processor_millicores.max(other.processor_millicores),
            self.memory_mib.max(other.memory_mib),
            self.accelerators.max(other.accelerators),
        )
    }
}
