//! Two policies on the same days: the differences, day by day, and how sure they are.

use crate::play::Row;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// The mean of paired differences with the interval in which it lies with 95% confidence (Student's t).
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    pub figure: String,
    pub pairs: usize,
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

pub fn paired(figure: &str, differences: &[f64]) -> Difference {
    let n = differences.len();
    let mean = differences.iter().sum::<f64>() / n.max(1) as f64;
    let squares: f64 = differences.iter().map(|d| (d - mean).powi(2)).sum();
    // Of one pair nothing can be said about the spread.
    let half = if n < 2 {
        f64::INFINITY
    } else {
        let error = (squares / (n - 1) as f64 / n as f64).sqrt();
        StudentsT::new(0.0, 1.0, (n - 1) as f64).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975) * error)
    };
    Difference { figure: figure.into(), pairs: n, mean, low: mean - half, high: mean + half }
}

/// All figures of days that both policies played, by seed.
pub fn compare(ours: &[Row], theirs: &[Row]) -> Vec<Difference> {
    type Figure = (&'static str, fn(&Row) -> f64);
    let figures: [Figure; 5] = [
        ("value", |r| r.value),
        ("worst window", |r| r.worst_window),
        ("p50 ms", |r| crate::results::percentile(r, 50.0)),
        ("p99 ms", |r| crate::results::percentile(r, 99.0)),
        ("attempts", |r| r.counts.attempts as f64),
    ];
    let pair = |of: fn(&Row) -> f64| -> Vec<f64> {
        let both = ours.iter().filter_map(|a| Some((a, theirs.iter().find(|b| b.seed == a.seed)?)));
        both.map(|(a, b)| of(a) - of(b)).filter(|d| d.is_finite()).collect()
    };
    figures.iter().map(|(name, of)| paired(name, &pair(*of))).collect()
}

#[cfg(test)]
mod tests;
