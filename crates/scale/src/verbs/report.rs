//! What verbs tell while they run and at their end.

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
