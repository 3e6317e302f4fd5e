//! Pseudo-random numbers and a hash. Both depend on their input alone, so equal inputs lead to equal
//! decisions on any machine.

/// A 32-bit multiply-with-carry generator; its multiplier is from Marsaglia's list.
#[derive(Default)]
pub(crate) struct Rng(u64);

impl Rng {
    const MULTIPLIER: u64 = 4_294_957_665;
    const LOW_BITS: u64 = 0xffff_ffff;

    /// The state must be neither 0 nor all ones; an initial carry of 1 rules out both.
    pub fn new(seed: u64) -> Self {
        Rng((seed & Self::LOW_BITS) | (1 << 32))
    }

    /// The next number, uniform in `[0, 1)`.
    pub fn next_f64(&mut self) -> f64 {
        self.0 = Self::MULTIPLIER * (self.0 & Self::LOW_BITS) + (self.0 >> 32);
        (self.0 & Self::LOW_BITS) as f64 / 4_294_967_296.0
    }
}

/// FNV-1a hash of a number followed by a text.
pub(crate) fn hash(number: u64, text: &str) -> u64 {
    let bytes = number.to_le_bytes().into_iter().chain(text.bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}
