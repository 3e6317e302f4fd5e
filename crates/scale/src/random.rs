//! Random numbers that a seed determines, so that a run can be repeated.

/// A linear congruential generator with Knuth's constants.
#[derive(Debug, Clone)]
pub struct SeededRng(u64);

impl SeededRng {
    /// A generator for a seed. Neighbouring seeds give unrelated numbers.
    pub fn new(seed: u64) -> SeededRng {
        let mut rng = SeededRng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        rng.next_fraction();
        rng
    }

    /// A number from 0 up to, but not including, 1.
    pub fn next_fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A number between two bounds, evenly distributed.
    pub fn between(&mut self, min: f64, max: f64) -> f64 {
        min + (max - min) * self.next_fraction()
    }

    /// A whole number below a bound.
    pub fn below(&mut self, bound: usize) -> usize {
        ((self.next_fraction() * bound as f64) as usize).min(bound.saturating_sub(1))
    }

    /// True with this probability.
    pub fn happens(&mut self, probability: f64) -> bool {
        self.next_fraction() < probability
    }

    /// One of the choices, each with the same probability.
    pub fn choose<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }
}
