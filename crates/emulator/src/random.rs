//! Chance: one named, seedable generator (PCG64-MCG, O'Neill 2014) for each purpose, so that a change in one part of
//! a world leaves the draws of all others as they were, and policies can be compared on equal days.

use crate::queue::mix;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

pub type Generator = Pcg64Mcg;

/// The generator for one purpose of a day.
pub fn generator(seed: u64, purpose: &str) -> Generator {
    let named = purpose.bytes().fold(mix(seed), |h, b| mix(h ^ u64::from(b)));
    Pcg64Mcg::seed_from_u64(named)
}

/// The form of a distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    #[default]
    Exp,
    Fixed,
    /// Evenly between 0 and twice the mean.
    Uniform,
    /// By mean and `cv`.
    Lognormal,
    /// A heavy tail; `cv` is its exponent, above 1.
    Pareto,
}

/// A time that varies: its mean in seconds, its form, and for `lognormal` the coefficient of variation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spread {
    pub mean_s: f64,
    #[serde(default)]
    pub shape: Shape,
    #[serde(default = "one")]
    pub cv: f64,
}

fn one() -> f64 {
    1.0
}

impl Spread {
    pub const fn fixed(mean_s: f64) -> Self {
        Spread { mean_s, shape: Shape::Fixed, cv: 1.0 }
    }

    /// A draw in seconds.
    pub fn draw(&self, with: &mut Generator) -> f64 {
        let m = self.mean_s;
        if m <= 0.0 {
            return 0.0;
        }
        match self.shape {
            Shape::Fixed => m,
            Shape::Exp => m * with.sample::<f64, _>(Exp1),
            Shape::Uniform => 2.0 * m * with.random::<f64>(),
            Shape::Lognormal => {
                // The parameters that give this mean and coefficient of variation.
                let s2 = (1.0 + self.cv * self.cv).ln();
                LogNormal::new(m.ln() - s2 / 2.0, s2.sqrt()).map_or(m, |d| d.sample(with))
            }
            Shape::Pareto => {
                let a = self.cv.max(1.001);
                Pareto::new(m * (a - 1.0) / a, a).map_or(m, |d| d.sample(with))
            }
        }
    }
}

/// Which of several things by weight: a table of running sums, searched by halving.
pub struct Weighted {
    sums: Vec<f64>,
}

impl Weighted {
    pub fn new(weights: impl Iterator<Item = f64>) -> Self {
        let mut sum = 0.0;
        let sums = weights
            .map(|w| {
                sum += w.max(0.0);
                sum
            })
            .collect();
        Weighted { sums }
    }

    pub fn draw(&self, with: &mut Generator) -> usize {
        let top = self.sums.last().copied().unwrap_or(0.0);
        let x = top * with.random::<f64>();
        self.sums.partition_point(|s| *s <= x).min(self.sums.len().saturating_sub(1))
    }

    /// The share of one of them.
    pub fn share(&self, i: usize) -> f64 {
        let below = if i == 0 { 0.0 } else { self.sums[i - 1] };
        (self.sums[i] - below) / self.sums[self.sums.len() - 1]
    }
}
