//! Compares two policies that were simulated with the same seeds: the mean paired differences with confidence
//! intervals.

use crate::simulate::DayResult;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// The mean of paired differences with its 95% confidence interval by Student's t: an entry of
/// `differences.json`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// The name of the figure that is compared, as `p99 ms`.
    pub figure: String,
    /// The number of differences.
    pub pairs: usize,
    pub mean: f64,
    /// The bounds of the interval.
    pub low: f64,
    pub high: f64,
}

/// The mean of the differences and its confidence interval.
pub fn paired_difference(figure: &str, differences: &[f64]) -> Difference {
    let pairs = differences.len();
    let mean = differences.iter().sum::<f64>() / pairs.max(1) as f64;
    let squared_deviations: f64 = differences.iter().map(|d| (d - mean).powi(2)).sum();
    // One pair says nothing about the spread.
    let half_width = if pairs < 2 {
        f64::INFINITY
    } else {
        let standard_error = (squared_deviations / (pairs - 1) as f64 / pairs as f64).sqrt();
        StudentsT::new(0.0, 1.0, (pairs - 1) as f64)
            .map_or(f64::INFINITY, |t| t.inverse_cdf(0.975) * standard_error)
    };
    Difference { figure: figure.into(), pairs, mean, low: mean - half_width, high: mean + half_width }
}

/// The differences of all figures, first policy less second, over the seeds that both were simulated with.
pub fn compare(first: &[DayResult], second: &[DayResult]) -> Vec<Difference> {
    type Figure = (&'static str, fn(&DayResult) -> f64);
    let figures: [Figure; 5] = [
        ("value", |day| day.value),
        ("worst window", |day| day.worst_window),
        ("p50 ms", |day| crate::results::latency_percentile(day, 50.0)),
        ("p99 ms", |day| crate::results::latency_percentile(day, 99.0)),
        ("attempts", |day| day.counts.attempts as f64),
    ];
    let differences = |figure: fn(&DayResult) -> f64| -> Vec<f64> {
        let pairs = first.iter().filter_map(|a| Some((a, second.iter().find(|b| b.seed == a.seed)?)));
        pairs.map(|(a, b)| figure(a) - figure(b)).filter(|d| d.is_finite()).collect()
    };
    figures.iter().map(|(name, figure)| paired_difference(name, &differences(*figure))).collect()
}

#[cfg(test)]
mod tests;
