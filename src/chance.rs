//! Pseudo-random numbers and a hash. Both depend on their input alone, so that equal inputs give equal decisions on any
//! machine.

/// A multiply-with-carry generator of 32 bits; the multiplier is one that Marsaglia lists.
#[derive(Default)]
pub(crate) struct Chance(u64);

impl Chance {
    const MULTIPLIER: u64 = 4_294_957_665;
    const LOW: u64 = 0xffff_ffff;

    /// The state must not be 0 nor all ones; a carry of 1 keeps it inside.
    pub fn new(seed: u64) -> Self {
        Chance((seed & Self::LOW) | (1 << 32))
    }

    /// The next number, from 0 up to but not including 1.
    pub fn draw(&mut self) -> f64 {
        self.0 = Self::MULTIPLIER * (self.0 & Self::LOW) + (self.0 >> 32);
        (self.0 & Self::LOW) as f64 / 4_294_967_296.0
    }
}

/// FNV-1a over a number and a text.
pub(crate) fn hash(number: u64, text: &str) -> u64 {
    let bytes = number.to_le_bytes().into_iter().chain(text.bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}
