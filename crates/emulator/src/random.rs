//! Random numbers: one seeded generator (PCG64-MCG, O'Neill 2014) for each purpose, so that a change in one
//! part of a world leaves the draws of all others unchanged, and policies can be compared on equal days.

use crate::queue::mix;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// The random generator of the model.
pub type Generator = Pcg64Mcg;

/// The generator for one purpose of a day with this seed.
pub fn generator(seed: u64, purpose: &str) -> Generator {
    let purpose_seed = purpose.bytes().fold(mix(seed), |hash, byte| mix(hash ^ u64::from(byte)));
    Pcg64Mcg::seed_from_u64(purpose_seed)
}

/// The shape of a distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Exponential.
    #[default]
    Exp,
    /// Always the mean.
    Fixed,
    /// Uniform between 0 and twice the mean.
    Uniform,
    /// Log-normal, by mean and coefficient of variation `cv`.
    Lognormal,
    /// Pareto, with a heavy tail; `cv` is the exponent, above 1.
    Pareto,
}

/// A random duration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spread {
    /// Mean in seconds.
    pub mean_s: f64,
    /// Shape of the distribution.
    #[serde(default)]
    pub shape: Shape,
    /// Coefficient of variation of a log-normal, exponent of a Pareto distribution.
    #[serde(default = "one")]
    pub cv: f64,
}

fn one() -> f64 {
    1.0
}

impl Spread {
    /// Always the same duration.
    pub const fn fixed(mean_s: f64) -> Self {
        Spread { mean_s, shape: Shape::Fixed, cv: 1.0 }
    }

    /// Draws a duration in seconds.
    pub fn draw(&self, generator: &mut Generator) -> f64 {
        let mean = self.mean_s;
        if mean <= 0.0 {
            return 0.0;
        }
        match self.shape {
            Shape::Fixed => mean,
            Shape::Exp => mean * generator.sample::<f64, _>(Exp1),
            Shape::Uniform => 2.0 * mean * generator.random::<f64>(),
            Shape::Lognormal => {
                // Parameters of the underlying normal distribution for this mean and coefficient of
                // variation.
                let variance = (1.0 + self.cv * self.cv).ln();
                LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt())
                    .map_or(mean, |distribution| distribution.sample(generator))
            }
            Shape::Pareto => {
                let exponent = self.cv.max(1.001);
                Pareto::new(mean * (exponent - 1.0) / exponent, exponent)
                    .map_or(mean, |distribution| distribution.sample(generator))
            }
        }
    }
}

/// Draws an index by weight: a table of running sums with binary search.
pub struct Weighted {
    sums: Vec<f64>,
}

impl Weighted {
    /// A table for these weights; negative ones count as 0.
    pub fn new(weights: impl Iterator<Item = f64>) -> Self {
        let mut sum = 0.0;
        let sums = weights
            .map(|weight| {
                sum += weight.max(0.0);
                sum
            })
            .collect();
        Weighted { sums }
    }

    /// Draws an index.
    pub fn draw(&self, generator: &mut Generator) -> usize {
        let total = self.sums.last().copied().unwrap_or(0.0);
        let point = total * generator.random::<f64>();
        self.sums.partition_point(|running_sum| *running_sum <= point).min(self.sums.len().saturating_sub(1))
    }

    /// The share of an index in the sum of all weights.
    pub fn share(&self, index: usize) -> f64 {
        let below = if index == 0 { 0.0 } else { self.sums[index - 1] };
        (self.sums[index] - below) / self.sums[self.sums.len() - 1]
    }
}
