//! Random numbers of the process, from the seed in the control file.

use crate::control;
use scalebarrow_fault_control::{ControlWord, FULL_RATE};
use std::sync::atomic::{AtomicU64, Ordering};

/// How many numbers were generated so far.
static GENERATED_COUNT: AtomicU64 = AtomicU64::new(0);

/// The next random number, from the seed and the count of numbers before it (splitmix64).
pub fn next_random() -> u64 {
    let count = GENERATED_COUNT.fetch_add(1, Ordering::Relaxed) + 1;
    let mut mixed = control::get(ControlWord::Seed).wrapping_add(count.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Whether a fault happens now whose rate is in this word.
pub fn happens(rate_word: ControlWord) -> bool {
    let rate = control::get(rate_word);
    rate > 0 && next_random() % FULL_RATE < rate
}
