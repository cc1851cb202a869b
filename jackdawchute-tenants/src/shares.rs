//! How a full cell is divided among tenants by weight: weighted max-min fairness over dominant
//! shares.

use jackdawchute_types::Resources;

/// How many bands there are for each multiple of its share that a tenant is above it.
const BANDS_PER_SHARE: f64 = 4.0;
/// The highest band.
const BAND_MAX: u32 = 16;
/// The halvings of the interval that holds the level; the error is far below a task.
const HALVINGS: u32 = 40;

/// What a tenant has running and waiting.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// The tenant's weight.
    pub weight: f64,
    /// What the tenant has running and waiting, the latter as far as its cap allows.
    pub demand: Resources,
}

/// Returns the largest part of a resource that `amount` is of `capacity`.
///
/// ```
/// use jackdawchute_types::Resources;
///
/// let capacity = Resources::new(10_000, 1_000, 0);
/// let share = jackdawchute_tenants::dominant_share(&Resources::new(1_000, 200, 0), &capacity);
/// assert_eq!(share, 0.2);
/// ```
pub fn dominant_share(amount: &Resources, capacity: &Resources) -> f64 {
    let amounts = parts(amount).into_iter().zip(parts(capacity));
    amounts
        .filter(|(amount, _)| *amount > 0.0)
        .map(|(amount, capacity)| amount / capacity.max(1.0))
        .fold(0.0, f64::max)
}

/// Returns the dominant share for each unit of weight up to which tenants are served when the cell
/// is full; infinite if all claims fit.
///
/// ```
/// use jackdawchute_tenants::{fair_level, Claim};
/// use jackdawchute_types::Resources;
///
/// let claim = |cores: u64| Claim { weight: 1.0, demand: Resources::new(cores * 1_000, 0, 0) };
/// let capacity = Resources::new(10_000, 0, 0);
/// assert!(fair_level(&capacity, &[claim(4), claim(6)]).is_infinite());
/// let level = fair_level(&capacity, &[claim(2), claim(100)]);
/// assert!((level - 0.8).abs() < 1e-6);
/// ```
pub fn fair_level(capacity: &Resources, claims: &[Claim]) -> f64 {
    let capacity_parts = parts(capacity);
    let claims: Vec<(f64, [f64; 3])> = claims
        .iter()
        .filter(|claim| claim.weight > 0.0)
        .map(|claim| {
            let share = dominant_share(&claim.demand, capacity);
            (share / claim.weight, parts(&claim.demand))
        })
        .filter(|(weighted_share, _)| *weighted_share > 0.0)
        .collect();
    let fits_at = |level: f64| {
        let mut used = [0.0; 3];
        for (weighted_share, demand) in &claims {
            let granted = (level / weighted_share).min(1.0);
            for (used, demand) in used.iter_mut().zip(demand) {
                *used += demand * granted;
            }
        }
        let mut resources = used.into_iter().zip(capacity_parts);
        resources.all(|(used, capacity)| used <= capacity)
    };
    if fits_at(f64::INFINITY) {
        return f64::INFINITY;
    }
    let shares = claims.iter().map(|(weighted_share, _)| *weighted_share);
    let (mut low, mut high) = (0.0, shares.fold(0.0, f64::max));
    for _ in 0..HALVINGS {
        let middle = f64::midpoint(low, high);
        if fits_at(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Returns the band of a task or gang by what its tenant has without and with it: 0 within the
/// tenant's share, and higher the further it lies beyond.
///
/// What a tenant with nothing running starts first is in band 0 whatever its size.
///
/// ```
/// use jackdawchute_tenants::share_band;
///
/// assert_eq!(share_band(0.1, 0.2, 0.2), 0);
/// assert_eq!(share_band(0.0, 0.5, 0.2), 0);
/// assert!(share_band(0.2, 0.3, 0.2) < share_band(0.8, 0.9, 0.2));
/// ```
pub fn share_band(before: f64, after: f64, share: f64) -> u32 {
    if before <= 0.0 || after <= share {
        return 0;
    }
    let excess = (after / share.max(f64::MIN_POSITIVE) - 1.0) * BANDS_PER_SHARE;
    1 + (excess.min(f64::from(BAND_MAX)) as u32).min(BAND_MAX - 1)
}

/// Returns how many further tasks of a size stay within a tenant's share; at least one if the
/// tenant has nothing running. The size is a dominant share too.
///
/// ```
/// use jackdawchute_tenants::tasks_within_share;
///
/// assert_eq!(tasks_within_share(0.1, 0.04, 0.2), 2);
/// assert_eq!(tasks_within_share(0.0, 0.5, 0.2), 1);
/// ```
pub fn tasks_within_share(before: f64, size: f64, share: f64) -> u32 {
    let first = u32::from(before <= 0.0);
    if size <= 0.0 {
        return u32::MAX;
    }
    (((share - before) / size).max(0.0) as u32).max(first)
}

fn parts(resources: &Resources) -> [f64; 3] {
    [
        resources.processor_millicores as f64,
        resources.memory_mib as f64,
        f64::from(resources.accelerators),
    ]
}
