//! Numbers that are drawn one after another from a seed.

/// A linear congruential generator with Knuth's figures.
#[derive(Debug, Clone)]
pub struct Draws(u64);

impl Draws {
    /// Draws from a seed. Seeds beside one another lead to unlike draws.
    pub fn new(seed: u64) -> Draws {
        let mut draws = Draws(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        draws.part();
        draws
    }

    /// From 0 to 1.
    pub fn part(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Evenly between two bounds.
    pub fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.part()
    }

    /// A whole number below a bound.
    pub fn below(&mut self, bound: usize) -> usize {
        ((self.part() * bound as f64) as usize).min(bound.saturating_sub(1))
    }

    /// True in that part of all draws.
    pub fn happens(&mut self, part: f64) -> bool {
        self.part() < part
    }

    /// One of several.
    pub fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.below(all.len())]
    }
}
