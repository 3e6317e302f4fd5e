//! What several verbs print while they run and at their end.

use crate::error::Error;
use crate::fleet::check_verdict;
use crate::standins::clients::AnswerStats;
use crate::standins::judge::{Breach, RunCounts};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

/// A progress bar on standard error, which shows nothing if that is not a terminal.
pub fn progress_bar(steps: u64, label: &str) -> ProgressBar {
    let bar = ProgressBar::with_draw_target(Some(steps), ProgressDrawTarget::stderr());
    if let Ok(style) = ProgressStyle::with_template("{prefix} {wide_bar} {pos}/{len} {msg} {elapsed}") {
        bar.set_style(style);
    }
    bar.set_prefix(label.to_owned());
    bar
}

/// The median, the 99th percentile and the maximum of samples; `None` if there are none. The samples get
/// sorted.
pub fn quantiles(samples: &mut [f64]) -> Option<[f64; 3]> {
    samples.sort_by(f64::total_cmp);
    let last = samples.len().checked_sub(1)?;
    let quantile = |fraction: f64| samples[((last as f64) * fraction).ceil() as usize];
    Some([quantile(0.5), quantile(0.99), quantile(1.0)])
}

/// Prints the answers that clients got and what the judge counted. Returns an error if a rule was broken.
pub fn print_verdict(answers: &AnswerStats, verdict: &(RunCounts, Vec<Breach>)) -> Result<(), Error> {
    let counts = verdict.0;
    println!(
        "webhooks: {} accepted, {} refused, {} unanswered; {} calls; {} delivered, {} given up, {} pending",
        counts.accepted,
        counts.refused,
        counts.unanswered,
        counts.calls,
        counts.delivered,
        counts.given_up,
        counts.pending
    );
    println!(
        "answers to clients: p50 {:.1} ms, p99 {:.1} ms, worst {:.1} ms",
        answers.latency_millis(0.5),
        answers.latency_millis(0.99),
        answers.latency_millis(1.0)
    );
    check_verdict(verdict)?;
    println!("rules: none broken");
    Ok(())
}
