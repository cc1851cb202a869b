//! Arithmetic of resources.

use jackdawchute_types::Resources;
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 7;
const SIZE: usize = 100;

fn amount(parts: (u32, u32, u16)) -> Resources {
    Resources::new(parts.0.into(), parts.1.into(), parts.2.into())
}

#[test]
fn subtracting_what_was_added_restores_the_amount() {
    fn holds(left: (u32, u32, u16), right: (u32, u32, u16)) -> bool {
        let (left, right) = (amount(left), amount(right));

        let restored = left.saturating_add(&right).saturating_sub(&right);

        restored == left && left.fits_in(&left.max(&right))
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED));

    check.quickcheck(holds as fn((u32, u32, u16), (u32, u32, u16)) -> bool);
}
