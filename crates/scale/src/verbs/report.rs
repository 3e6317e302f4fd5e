//! What verbs tell while they run and at their end.

use crate::error::Error;
use crate::fleet::judged;
use crate::standins::clients::AnswerStats;
use crate::standins::judge::{Breach, RunCounts};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

/// A bar on standard error over so many steps; nothing where that is no terminal.
pub fn progress(steps: u64, what: &str) -> ProgressBar {
    let bar = ProgressBar::with_draw_target(Some(steps), ProgressDrawTarget::stderr());
    if let Ok(style) = ProgressStyle::with_template("{prefix} {wide_bar} {pos}/{len} {msg} {elapsed}") {
        bar.set_style(style);
    }
    bar.set_prefix(what.to_owned());
    bar
}

/// Quantiles of samples: p50, p99 and the worst; nothing where there are none.
pub fn quantiles(samples: &mut [f64]) -> Option<[f64; 3]> {
    samples.sort_by(f64::total_cmp);
    let last = samples.len().checked_sub(1)?;
    let at = |part: f64| samples[((last as f64) * part).ceil() as usize];
    Some([at(0.5), at(0.99), at(1.0)])
}

/// Prints what clients heard and what the judge counted; an error where a rule is broken.
pub fn verdict(answers: &AnswerStats, judge: &(RunCounts, Vec<Breach>)) -> Result<(), Error> {
    let counts = judge.0;
    println!(
        "webhooks: {} taken on, {} refused, {} unanswered; {} calls; {} delivered, {} given up, {} open",
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
    judged(judge)?;
    println!("rules: none broken");
    Ok(())
}
