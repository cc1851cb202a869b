//! How many idle connections to a minion an entry instance may keep.

/// Entry instances that are being replaced may keep theirs until the kernel closes them, so each
/// generation has half.
const GENERATIONS: u32 = 2;

/// The idle connections that each of `incarnations` entry instances may keep to one minion.
///
/// A request uses one connection and every request has a granted slot, so all instances together
/// use at most `slots` connections at a time. The rest is shared out evenly; it suffices as long
/// as no more than twice as many incarnations as given keep connections.
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
