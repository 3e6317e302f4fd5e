//! Looks for days on which a rule breaks, or on which most is lost against a baseline, and makes the day small.

use crate::experiment::{Experiment, Found};
use crate::play::{STOP, day};
use indicatif::{ProgressBar, ProgressStyle};
use rand::RngExt;
use rayon::prelude::*;
use scalebarrow_emulator::random::{Generator, generator};
use scalebarrow_emulator::spec::{FaultKind, FaultSpec, FaultTarget, World};
use scalebarrow_emulator::{Report, Rule};
use std::sync::atomic::Ordering;

/// What is hunted for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Prey {
    /// Any rule broken.
    Rules,
    /// The greatest loss of value against the baseline.
    Loss,
}

/// What a day showed.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    pub rule: Option<Rule>,
    pub loss: f64,
    pub hash: u64,
}

/// Sorts of trouble that a hunt draws from, with the least and greatest size.
const SORTS: [(FaultKind, f64, f64); 22] = [
    (FaultKind::Down, 0.0, 0.0),
    (FaultKind::Silent, 0.0, 0.0),
    (FaultKind::Hang, 0.0, 0.0),
    (FaultKind::Slow, 2.0, 12.0),
    (FaultKind::Errors, 0.2, 1.0),
    (FaultKind::Pauses, 0.05, 0.6),
    (FaultKind::Shut, 0.0, 0.0),
    (FaultKind::Limit, 0.1, 0.8),
    (FaultKind::Loss, 0.01, 0.2),
    (FaultKind::Delay, 0.05, 0.5),
    (FaultKind::Resets, 0.02, 0.3),
    (FaultKind::StallOut, 0.0, 0.0),
    (FaultKind::StallBack, 0.0, 0.0),
    (FaultKind::SlowConnect, 0.1, 1.5),
    (FaultKind::Forgets, 0.2, 3.0),
    (FaultKind::ListLate, 1.0, 8.0),
    (FaultKind::ListRefused, 0.0, 0.0),
    (FaultKind::ListWrong, 0.3, 3.0),
    (FaultKind::Drain, 0.0, 0.0),
    (FaultKind::Kill, 0.0, 0.0),
    (FaultKind::Restart, 0.2, 2.0),
    (FaultKind::Surge, 1.2, 3.0),
];

fn trouble(length: f64, with: &mut Generator) -> FaultSpec {
    let (kind, least, most) = SORTS[with.random_range(0..SORTS.len())];
    let size: f64 = least + (most - least) * with.random::<f64>();
    let start_s = length * 0.8 * with.random::<f64>();
    let duration_s = (0.5 + length * 0.35 * with.random::<f64>()).max(size);
    let share = if with.random::<f64>() < 0.3 { 0.0 } else { 0.1 + 0.8 * with.random::<f64>() };
    let period_s = if kind == FaultKind::Pauses { size * (2.0 + 6.0 * with.random::<f64>()) } else { 0.0 };
    // Rounded, so that a file that people read holds short figures.
    let round = |x: f64| (x * 100.0).round() / 100.0;
    let (start_s, duration_s) = (round(start_s), (duration_s * 100.0).ceil() / 100.0);
    let target = FaultTarget { share: round(share), ..FaultTarget::default() };
    FaultSpec {
        kind,
        start_s,
        duration_s,
        size: round(size),
        period_s: (period_s * 100.0).ceil() / 100.0,
        target,
    }
}

/// A day drawn by chance round the experiment's world.
fn draw(e: &Experiment, seed: u64) -> Experiment {
    let mut with = generator(seed, "hunt");
    let mut e = e.clone();
    e.sweeps.clear();
    e.seed = seed;
    let w = &mut e.world;
    for _ in 0..with.random_range(1..=4) {
        w.faults.push(trouble(w.day.length_s, &mut with));
    }
    w.senders.count = with.random_range(1..=w.senders.count);
    w.faults.iter_mut().for_each(|t| t.target.senders.retain(|s| *s < w.senders.count));
    // Half the days on a grid, where many events come at one instant, in some order.
    if with.random::<bool>() {
        (w.day.tick_us, w.day.shuffle_seed) =
            ([100, 1_000, 5_000][with.random_range(0..3)], with.random_range(1..1_000));
    }
    e
}

fn shown(ours: &Report, theirs: Option<&Report>) -> Shown {
    // A baseline that breaks a rule has no value to be measured against, but tells what was there to be had.
    let loss = theirs.map_or(0.0, |t| t.value - ours.value);
    Shown { rule: ours.violations.first().map(|b| b.rule), loss, hash: ours.hash }
}

/// Plays a day of a hunt.
pub fn look(e: &Experiment, prey: Prey) -> Result<Shown, String> {
    let ours = day(e, &e.policy, e.seed, &mut |_| {})?.0;
    let theirs = match prey {
        Prey::Rules => None,
        Prey::Loss => Some(day(e, &e.baseline, e.seed, &mut |_| {})?.0),
    };
    Ok(shown(&ours, theirs.as_ref()))
}

/// Whether a day shows as much as the one found.
fn as_bad(now: &Shown, found: &Shown, prey: Prey) -> bool {
    match prey {
        Prey::Rules => now.rule == found.rule,
        Prey::Loss => now.rule.is_none() && now.loss >= 0.8 * found.loss,
    }
}

/// Smaller days, the greatest steps first.
fn smaller(e: &Experiment) -> Vec<Experiment> {
    let mut all = Vec::new();
    let mut with = |change: &dyn Fn(&mut World)| {
        let mut less = e.clone();
        change(&mut less.world);
        if less.world != e.world && less.world.check().is_ok() {
            all.push(less);
        }
    };
    for i in 0..e.world.faults.len() {
        with(&|w| {
            w.faults.remove(i);
        });
    }
    for senders in [1, e.world.senders.count / 2, e.world.senders.count - 1] {
        with(&|w| w.senders.count = senders.max(1));
    }
    for many in
        [1, e.world.destinations.count / 4, e.world.destinations.count / 2, e.world.destinations.count - 1]
    {
        with(&|w| {
            let many = many.max(1);
            // As much for each as before.
            w.clients.rate *= many as f64 / w.destinations.count as f64;
            w.destinations.count = many;
        });
    }
    for part in [0.5, 0.75, 0.9] {
        with(&|w| w.day.length_s = (w.day.length_s * part * 10.0).ceil() / 10.0);
    }
    with(&|w| (w.day.shuffle_seed, w.day.tick_us) = (0, 0));
    with(&|w| w.day.shuffle_seed = 0);
    with(&|w| w.clients.clump_share = 0.0);
    with(&|w| (w.clients.withdraw_share, w.clients.short_ttl_share) = (0.0, 0.0));
    with(&|w| w.destination_kinds.truncate(1));
    with(&|w| w.event_types.truncate(1));
    with(&|w| w.clients.rate = (w.clients.rate * 0.5).max(0.1));
    for i in 0..e.world.faults.len() {
        with(&|w| w.faults[i].duration_s = (w.faults[i].duration_s * 50.0).ceil() / 100.0);
    }
    all
}

/// Makes a day smaller for as long as it shows as much. Also gives how many days that took.
pub fn shrink(e: Experiment, found: &Shown, prey: Prey) -> Result<(Experiment, Shown, u64), String> {
    let (mut best, mut last, mut played) = (e, found.clone(), 0);
    // Each step is smaller by a part, so that few dozen come about; the bound guards against steps without end.
    for _ in 0..200 {
        let mut next = None;
        for less in smaller(&best) {
            if STOP.load(Ordering::Relaxed) {
                return Ok((best, last, played));
            }
            played += 1;
            let now = look(&less, prey)?;
            if as_bad(&now, found, prey) {
                next = Some((less, now));
                break;
            }
        }
        match next {
            Some(n) => (best, last) = n,
            None => break,
        }
    }
    Ok((best, last, played))
}

/// Plays `days` days drawn by chance, and gives the worst: a rule broken, else the greatest loss.
pub fn hunt(e: &Experiment, days: u64, seed: u64, prey: Prey) -> Result<Option<(Experiment, Shown)>, String> {
    let bar = ProgressBar::new(days);
    let style = ProgressStyle::with_template("{bar:30} {pos} of {len} days, {eta} left {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let mut worst: Option<(Experiment, Shown)> = None;
    // In parts, so that a rule broken early ends the hunt early, and the same one is found on any machine.
    for first in (0..days).step_by(32) {
        if STOP.load(Ordering::Relaxed) {
            break;
        }
        let part: Vec<u64> = (first..(first + 32).min(days)).collect();
        let look_at = |i: &u64| {
            let day = draw(e, seed + i);
            let shown = look(&day, prey)?;
            bar.inc(1);
            Ok((day, shown))
        };
        let seen: Result<Vec<(Experiment, Shown)>, String> = part.par_iter().map(look_at).collect();
        for (day, shown) in seen? {
            if prey == Prey::Rules {
                if shown.rule.is_some() {
                    bar.finish_and_clear();
                    return Ok(Some((day, shown)));
                }
            } else if shown.rule.is_none() && worst.as_ref().is_none_or(|w| shown.loss > w.1.loss) {
                worst = Some((day, shown));
            }
        }
    }
    bar.finish_and_clear();
    Ok(worst)
}

/// The file of a day found.
pub fn file(mut e: Experiment, shown: &Shown) -> Result<String, String> {
    e.name = format!("{}-found", e.name);
    e.about = match shown.rule {
        Some(rule) => format!("found by a hunt: breaks {rule:?}"),
        None => format!("found by a hunt: {:.3} of the value less than {}", shown.loss, e.baseline),
    };
    (e.seeds, e.found) = (
        1,
        Some(Found {
            seed: e.seed,
            hash: format!("{:016x}", shown.hash),
            rule: shown.rule,
            loss: shown.loss,
        }),
    );
    toml::to_string(&e).map_err(|e| e.to_string())
}
