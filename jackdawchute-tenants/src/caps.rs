//! How much of a tenant's work may run below its cap.

use std::time::Duration;

use jackdawchute_types::Resources;

/// How long a cap below half of which its tenant has running is kept for a gang at a time; a pause of
/// the same length follows, in which other tasks may start.
const HOLD_MAX: Duration = Duration::from_secs(2);

/// Returns whether a cap is kept for a gang that has waited for it for `waited`.
///
/// A tenant that uses most of its cap keeps it for the gang all the while. One that uses little
/// keeps it for some seconds at a time, since its other work would else stand still beside room.
///
/// ```
/// use std::time::Duration;
/// use jackdawchute_tenants::holds_cap_for_gang;
///
/// assert!(holds_cap_for_gang(Duration::from_secs(3), false));
/// assert!(holds_cap_for_gang(Duration::from_secs(1), true));
/// assert!(!holds_cap_for_gang(Duration::from_secs(3), true));
/// ```
pub fn holds_cap_for_gang(waited: Duration, below_half: bool) -> bool {
    let periods = waited.as_millis() / HOLD_MAX.as_millis();
    !below_half || periods % 2 == 0
}

/// Returns how many tasks of a size may start below a cap while `used` is running; a cap of 0 of a
/// resource is no limit of it.
///
/// ```
/// use jackdawchute_tenants::tasks_below_cap;
/// use jackdawchute_types::Resources;
///
/// let cap = Resources::new(8_000, 0, 0);
/// let size = Resources::new(2_000, 512, 0);
/// assert_eq!(tasks_below_cap(&cap, &Resources::new(3_000, 0, 0), &size), 2);
/// ```
pub fn tasks_below_cap(cap: &Resources, used: &Resources, size: &Resources) -> u32 {
    let fitting = |cap: u64, used: u64, size: u64| {
        if cap == 0 || size == 0 {
            u64::from(u32::MAX)
        } else {
            cap.saturating_sub(used) / size
        }
    };
    let tasks = fitting(
        cap.processor_millicores,
        used.processor_millicores,
        size.processor_millicores,
    )
    .min(fitting(cap.memory_mib, used.memory_mib, size.memory_mib))
    .min(fitting(
        u64::from(cap.accelerators),
        u64::from(used.accelerators),
        u64::from(size.accelerators),
    ));
    u32::try_from(tasks).unwrap_or(u32::MAX)
}

/// What a tenant has running against its cap, while further tasks are started.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapUse {
    cap: Resources,
    running: Resources,
    /// The part of `running` that does not end by itself.
    lasting: Resources,
    /// What is kept for a gang that waits.
    held: Option<Resources>,
}

impl CapUse {
    /// Returns the use of a cap of which `running` is taken.
    ///
    /// ```
    /// use jackdawchute_tenants::CapUse;
    /// use jackdawchute_types::Resources;
    ///
    /// let mut cap_use = CapUse::new(Resources::new(8_000, 0, 0), Resources::ZERO);
    /// let size = Resources::new(2_000, 0, 0);
    /// cap_use.start(&size.saturating_mul(3));
    /// assert_eq!(cap_use.tasks_allowed(&size), 1);
    /// ```
    pub fn new(cap: Resources, running: Resources) -> Self {
        Self {
            cap,
            running,
            lasting: Resources::ZERO,
            held: None,
        }
    }

    /// Returns the same, where a part of what is running does not end by itself.
    ///
    /// ```
    /// use jackdawchute_tenants::CapUse;
    /// use jackdawchute_types::Resources;
    ///
    /// let lasting = Resources::new(3_000, 0, 0);
    /// let mut cap_use = CapUse::new(Resources::new(8_000, 0, 0), lasting).with_lasting(lasting);
    /// cap_use.hold_for_gang(&Resources::new(6_000, 0, 0));
    /// assert_eq!(cap_use.tasks_allowed(&Resources::new(1_000, 0, 0)), 5);
    /// ```
    #[must_use]
    pub fn with_lasting(self, lasting: Resources) -> Self {
        Self { lasting, ..self }
    }

    /// Returns what the tenant has running.
    ///
    /// ```
    /// let cap_use = jackdawchute_tenants::CapUse::default();
    /// assert_eq!(cap_use.running().processor_millicores, 0);
    /// ```
    pub fn running(&self) -> Resources {
        self.running
    }

    /// Returns whether less than half of each limited resource of the cap is running.
    ///
    /// ```
    /// use jackdawchute_tenants::CapUse;
    /// use jackdawchute_types::Resources;
    ///
    /// let cap = Resources::new(8_000, 0, 0);
    /// assert!(CapUse::new(cap, Resources::new(3_000, 512, 0)).is_below_half());
    /// assert!(!CapUse::new(cap, Resources::new(4_000, 512, 0)).is_below_half());
    /// ```
    pub fn is_below_half(&self) -> bool {
        let is_below = |cap: u64, running: u64| cap == 0 || running < cap.div_ceil(2);
        let (cap, running) = (&self.cap, &self.running);
        is_below(cap.processor_millicores, running.processor_millicores)
            && is_below(cap.memory_mib, running.memory_mib)
            && is_below(cap.accelerators.into(), running.accelerators.into())
    }

    /// Returns how many tasks of a size may start now.
    ///
    /// ```
    /// use jackdawchute_tenants::CapUse;
    /// use jackdawchute_types::Resources;
    ///
    /// let unlimited = CapUse::default();
    /// assert_eq!(unlimited.tasks_allowed(&Resources::new(1, 1, 1)), u32::MAX);
    /// ```
    pub fn tasks_allowed(&self, size: &Resources) -> u32 {
        let held = self.held.unwrap_or(Resources::ZERO);
        tasks_below_cap(&self.cap, &self.running.saturating_add(&held), size)
    }

    /// Counts tasks of this size in all as running.
    ///
    /// ```
    /// use jackdawchute_tenants::CapUse;
    /// use jackdawchute_types::Resources;
    ///
    /// let mut cap_use = CapUse::default();
    /// cap_use.start(&Resources::new(2_000, 0, 0));
    /// assert_eq!(cap_use.running().processor_millicores, 2_000);
    /// ```
    pub fn start(&mut self, started: &Resources) {
        self.running = self.running.saturating_add(started);
    }

    /// Keeps the size of a gang that waits from tasks that are asked about later; only the first
    /// gang is kept for, and none that can't start beside what does not end by itself.
    ///
    /// ```
    /// use jackdawchute_tenants::CapUse;
    /// use jackdawchute_types::Resources;
    ///
    /// let mut cap_use = CapUse::new(Resources::new(8_000, 0, 0), Resources::new(4_000, 0, 0));
    /// cap_use.hold_for_gang(&Resources::new(6_000, 0, 0));
    /// assert_eq!(cap_use.tasks_allowed(&Resources::new(1_000, 0, 0)), 0);
    /// ```
    pub fn hold_for_gang(&mut self, gang: &Resources) {
        let can_start = tasks_below_cap(&self.cap, &self.lasting, gang) > 0;
        if self.held.is_none() && can_start {
            self.held = Some(*gang);
        }
    }
}
