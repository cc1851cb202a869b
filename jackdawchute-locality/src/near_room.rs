//! When room comes at a near place.

use std::time::Duration;

/// The shape of the distribution of an end around its expected time. Half of all ends come by then,
/// and one in ten takes more than three times as long.
const END_SHAPE: f64 = 2.0;
/// The most expected ends that are considered.
const ENDS_MAX: usize = 64;

/// Room that is expected at one place, a rack or all racks with the data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NearRoom {
    /// When room for each further task is expected, from now on.
    pub expected: Vec<Duration>,
    /// How many of these are needed: those of the tasks before this one, and its own.
    pub needed: usize,
}

impl NearRoom {
    /// Returns the chance that enough room comes within a time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jackdawchute_locality::NearRoom;
    ///
    /// let room = NearRoom { expected: vec![Duration::from_secs(1)], needed: 1 };
    ///
    /// assert_eq!(room.chance_within(Duration::from_secs(1)), 0.5);
    /// ```
    pub fn chance_within(&self, time: Duration) -> f64 {
        if self.needed > self.expected.len().min(ENDS_MAX) {
            return 0.0;
        }
        // The chances that 0, 1, ... of the ends have come, where the last counts all further ones.
        let mut chances = vec![0.0; self.needed + 1];
        chances[0] = 1.0;
        for expected in self.expected.iter().take(ENDS_MAX) {
            let comes = chance_of_end(*expected, time);
            let mut carried = 0.0;
            for (count, chance) in chances.iter_mut().enumerate() {
                let leaves = if count == self.needed {
                    0.0
                } else {
                    *chance * comes
                };
                *chance += carried - leaves;
                carried = leaves;
            }
        }
        chances[self.needed]
    }
}

/// Returns the chance that an end expected after one time has come after another.
fn chance_of_end(expected: Duration, time: Duration) -> f64 {
    if expected.is_zero() {
        return 1.0;
    }
    let ratio = time.as_secs_f64() / expected.as_secs_f64();
    let odds = ratio.powf(END_SHAPE);
    odds / (1.0 + odds)
}
