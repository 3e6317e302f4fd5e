//! Chance in the process, started from the control file's seed.

use crate::control;
use scalebarrow_fault_control::{ControlWord, FULL_RATE};
use std::sync::atomic::{AtomicU64, Ordering};

static DRAWS: AtomicU64 = AtomicU64::new(0);

/// A number that is drawn from the seed and the count of draws before it (splitmix64).
pub fn draw() -> u64 {
    let count = DRAWS.fetch_add(1, Ordering::Relaxed) + 1;
    let mut mixed = control::get(ControlWord::Seed).wrapping_add(count.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Whether something happens now that happens at the rate of that word.
pub fn happens(rate: ControlWord) -> bool {
    let rate = control::get(rate);
    rate > 0 && draw() % FULL_RATE < rate
}
