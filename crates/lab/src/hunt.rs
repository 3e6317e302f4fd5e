//! Searches random experiments for a day on which a rule is broken or on which the policy loses the most
//! value against the baseline, and shrinks the experiment that it finds.

use crate::experiment::{Experiment, Found};
use crate::simulate::{STOP_REQUESTED, simulate_day};
use indicatif::{ProgressBar, ProgressStyle};
use rand::RngExt;
use rayon::prelude::*;
use scalebarrow_emulator::random::{Generator, generator};
use scalebarrow_emulator::spec::{FaultKind, FaultSpec, FaultTarget, World};
use scalebarrow_emulator::{Report, Rule};
use std::sync::atomic::Ordering;

/// What a hunt searches for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Goal {
    /// A day on which a rule is broken.
    BrokenRule,
    /// The day with the greatest loss of value against the baseline, with no rule broken.
    Loss,
}

/// What a hunt looks at in a simulated day.
#[derive(Clone, Debug, PartialEq)]
pub struct DayOutcome {
    /// The first rule that was broken.
    pub rule: Option<Rule>,
    /// The baseline's value minus the policy's value; 0 if the baseline was not simulated.
    pub loss: f64,
    /// The hash of the event log.
    pub hash: u64,
}

/// The kinds of faults that a hunt draws from, with the smallest and largest size. What a size means depends
/// on the kind; see [`FaultKind`].
const FAULT_KINDS: [(FaultKind, f64, f64); 22] = [
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

/// A random fault for a day of so many seconds.
fn random_fault(day_length_s: f64, rng: &mut Generator) -> FaultSpec {
    let (kind, min_size, max_size) = FAULT_KINDS[rng.random_range(0..FAULT_KINDS.len())];
    let size: f64 = min_size + (max_size - min_size) * rng.random::<f64>();
    let start_s = day_length_s * 0.8 * rng.random::<f64>();
    let duration_s = (0.5 + day_length_s * 0.35 * rng.random::<f64>()).max(size);
    let share = if rng.random::<f64>() < 0.3 { 0.0 } else { 0.1 + 0.8 * rng.random::<f64>() };
    let period_s = if kind == FaultKind::Pauses { size * (2.0 + 6.0 * rng.random::<f64>()) } else { 0.0 };
    // Rounded, so that the numbers in the file that people read are short.
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

/// The experiment with random faults, at most as many senders and, in half of the cases, a coarse clock.
fn random_experiment(experiment: &Experiment, seed: u64) -> Experiment {
    let mut rng = generator(seed, "hunt");
    let mut experiment = experiment.clone();
    experiment.sweeps.clear();
    experiment.seed = seed;
    let world = &mut experiment.world;
    for _ in 0..rng.random_range(1..=4) {
        world.faults.push(random_fault(world.day.length_s, &mut rng));
    }
    world.senders.count = rng.random_range(1..=world.senders.count);
    world.faults.iter_mut().for_each(|fault| fault.target.senders.retain(|s| *s < world.senders.count));
    // In half of the cases times are rounded up to a grid, so that many events happen at one instant, in
    // shuffled order.
    if rng.random::<bool>() {
        (world.day.tick_us, world.day.shuffle_seed) =
            ([100, 1_000, 5_000][rng.random_range(0..3)], rng.random_range(1..1_000));
    }
    experiment
}

/// What a hunt looks at, from the reports of the policy and of the baseline on the same day.
fn day_outcome(report: &Report, baseline: Option<&Report>) -> DayOutcome {
    // A baseline that breaks a rule is no fair comparison, but its value still shows what could have been
    // delivered.
    let loss = baseline.map_or(0.0, |baseline| baseline.value - report.value);
    DayOutcome { rule: report.violations.first().map(|violation| violation.rule), loss, hash: report.hash }
}

/// Simulates a day of a hunt.
pub fn evaluate(experiment: &Experiment, goal: Goal) -> Result<DayOutcome, String> {
    let report = simulate_day(experiment, &experiment.policy, experiment.seed, &mut |_| {})?.0;
    let baseline = match goal {
        Goal::BrokenRule => None,
        Goal::Loss => Some(simulate_day(experiment, &experiment.baseline, experiment.seed, &mut |_| {})?.0),
    };
    Ok(day_outcome(&report, baseline.as_ref()))
}

/// Whether a day breaks the same rule, or loses nearly as much, as the one that was found.
fn is_as_bad(outcome: &DayOutcome, found: &DayOutcome, goal: Goal) -> bool {
    match goal {
        Goal::BrokenRule => outcome.rule == found.rule,
        Goal::Loss => outcome.rule.is_none() && outcome.loss >= 0.8 * found.loss,
    }
}

/// The experiments that are one step smaller, the largest steps first.
fn smaller_experiments(experiment: &Experiment) -> Vec<Experiment> {
    let mut candidates = Vec::new();
    let mut add_with = |change: &dyn Fn(&mut World)| {
        let mut candidate = experiment.clone();
        change(&mut candidate.world);
        if candidate.world != experiment.world && candidate.world.check().is_ok() {
            candidates.push(candidate);
        }
    };
    for index in 0..experiment.world.faults.len() {
        add_with(&|world| {
            world.faults.remove(index);
        });
    }
    for senders in [1, experiment.world.senders.count / 2, experiment.world.senders.count - 1] {
        add_with(&|world| world.senders.count = senders.max(1));
    }
    for destinations in [
        1,
        experiment.world.destinations.count / 4,
        experiment.world.destinations.count / 2,
        experiment.world.destinations.count - 1,
    ] {
        add_with(&|world| {
            let destinations = destinations.max(1);
            // The rate for each destination stays the same.
            world.clients.rate *= destinations as f64 / world.destinations.count as f64;
            world.destinations.count = destinations;
        });
    }
    for factor in [0.5, 0.75, 0.9] {
        add_with(&|world| world.day.length_s = (world.day.length_s * factor * 10.0).ceil() / 10.0);
    }
    add_with(&|world| (world.day.shuffle_seed, world.day.tick_us) = (0, 0));
    add_with(&|world| world.day.shuffle_seed = 0);
    add_with(&|world| world.clients.clump_share = 0.0);
    add_with(&|world| (world.clients.withdraw_share, world.clients.short_ttl_share) = (0.0, 0.0));
    add_with(&|world| world.destination_kinds.truncate(1));
    add_with(&|world| world.event_types.truncate(1));
    add_with(&|world| world.clients.rate = (world.clients.rate * 0.5).max(0.1));
    for index in 0..experiment.world.faults.len() {
        add_with(&|world| {
            world.faults[index].duration_s = (world.faults[index].duration_s * 50.0).ceil() / 100.0
        });
    }
    candidates
}

/// Makes an experiment smaller for as long as its day stays as bad. Returns it with its outcome, and how many
/// days were simulated.
pub fn shrink(
    experiment: Experiment, found: &DayOutcome, goal: Goal,
) -> Result<(Experiment, DayOutcome, u64), String> {
    let (mut smallest, mut smallest_outcome, mut simulated_days) = (experiment, found.clone(), 0);
    // Each step makes the experiment smaller by a part, so a few dozen steps are usual; the bound guards
    // against an endless loop.
    for _ in 0..200 {
        let mut next = None;
        for candidate in smaller_experiments(&smallest) {
            if STOP_REQUESTED.load(Ordering::Relaxed) {
                return Ok((smallest, smallest_outcome, simulated_days));
            }
            simulated_days += 1;
            let outcome = evaluate(&candidate, goal)?;
            if is_as_bad(&outcome, found, goal) {
                next = Some((candidate, outcome));
                break;
            }
        }
        match next {
            Some(next) => (smallest, smallest_outcome) = next,
            None => break,
        }
    }
    Ok((smallest, smallest_outcome, simulated_days))
}

/// Simulates up to `days` random experiments. Returns the first that breaks a rule, or the one with the
/// greatest loss, by the goal.
pub fn hunt(
    experiment: &Experiment, days: u64, seed: u64, goal: Goal,
) -> Result<Option<(Experiment, DayOutcome)>, String> {
    let bar = ProgressBar::new(days);
    let style = ProgressStyle::with_template("{bar:30} {pos} of {len} days, {eta} left {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let mut worst: Option<(Experiment, DayOutcome)> = None;
    // In batches, so that a rule broken early ends the hunt early, and the same day is found on any machine.
    for first in (0..days).step_by(32) {
        if STOP_REQUESTED.load(Ordering::Relaxed) {
            break;
        }
        let batch: Vec<u64> = (first..(first + 32).min(days)).collect();
        let evaluate_random = |i: &u64| {
            let experiment = random_experiment(experiment, seed + i);
            let outcome = evaluate(&experiment, goal)?;
            bar.inc(1);
            Ok((experiment, outcome))
        };
        let batch_outcomes: Result<Vec<(Experiment, DayOutcome)>, String> =
            batch.par_iter().map(evaluate_random).collect();
        for (experiment, outcome) in batch_outcomes? {
            if goal == Goal::BrokenRule {
                if outcome.rule.is_some() {
                    bar.finish_and_clear();
                    return Ok(Some((experiment, outcome)));
                }
            } else if outcome.rule.is_none() && worst.as_ref().is_none_or(|w| outcome.loss > w.1.loss) {
                worst = Some((experiment, outcome));
            }
        }
    }
    bar.finish_and_clear();
    Ok(worst)
}

/// The experiment file that `replay` reads, with the outcome to reproduce.
pub fn replay_file(mut experiment: Experiment, outcome: &DayOutcome) -> Result<String, String> {
    experiment.name = format!("{}-found", experiment.name);
    experiment.about = match outcome.rule {
        Some(rule) => format!("found by a hunt: breaks {rule:?}"),
        None => {
            format!("found by a hunt: {:.3} of the value less than {}", outcome.loss, experiment.baseline)
        }
    };
    (experiment.seeds, experiment.found) = (
        1,
        Some(Found {
            seed: experiment.seed,
            hash: format!("{:016x}", outcome.hash),
            rule: outcome.rule,
            loss: outcome.loss,
        }),
    );
    toml::to_string(&experiment).map_err(|e| e.to_string())
}
