//! The limit of idle connections from an entry instance to a minion.

/// Entry instances that are being replaced may keep their connections until the kernel closes
/// them, so each generation gets half of the limit.
const GENERATIONS: u32 = 2;

/// Returns how many idle connections each of `incarnations` entry instances may keep to a minion.
///
/// A request uses one connection and every request has a granted slot, so all instances together
/// use at most `slots` of the minion's `connections` at a time. The rest is divided evenly; the
/// limit holds as long as at most twice as many incarnations as given keep connections.
///
/// ```
/// use jackdawchute_requests::idle_connections_max;
///
/// assert_eq!(idle_connections_max(64, 8, 7), 4);
/// assert_eq!(idle_connections_max(8, 8, 7), 0);
/// ```
pub fn idle_connections_max(connections: u32, slots: u32, incarnations: u32) -> u32 {
    let spare = connections.saturating_sub(slots);
    spare / incarnations.max(1).saturating_mul(GENERATIONS)
}
