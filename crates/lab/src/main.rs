//! The command line of `scalebarrow-lab`.

mod compare;
mod experiment;
mod fleet;
mod hunt;
mod plot;
mod results;
mod returns;
mod simulate;

use bpaf::Bpaf;
use experiment::Experiment;
use hunt::Goal;
use results::{ResultFolder, Summary};
use simulate::{DayResult, DayTask, STOP_REQUESTED};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;

/// Experiments on scalebarrow in simulated time.
///
/// A day is one simulation of an experiment with one seed.
///
/// Exit codes: 0 success, 1 a rule was broken or days differ, 2 an argument was wrong, a file could not be
/// read or written, or an experiment could not be simulated.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Simulate an experiment once for each seed and plot the results
    #[bpaf(command)]
    Run {
        /// The first seed [default: the one in the file]
        #[bpaf(long, argument("N"))]
        seed: Option<u64>,
        /// How many seeds [default: the number in the file, or 1 if --seed is given]
        #[bpaf(long, argument("N"))]
        seeds: Option<u64>,
        /// The policy: module, random, round-robin, least-outstanding, two-choices, straight
        #[bpaf(long, argument("NAME"))]
        policy: Option<String>,
        /// The folder for the results
        #[bpaf(long, argument("DIR"), fallback("lab-out".into()), debug_fallback)]
        out: PathBuf,
        /// The experiment file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Simulate an experiment at each value of the fields that its sweeps name, one day at a time, so that
    /// times are comparable
    #[bpaf(command)]
    Sweep {
        /// Set a field to a value, written as in TOML; may be given more than once
        #[bpaf(long, argument("FIELD=VALUE"))]
        set: Vec<String>,
        /// Also simulate the baseline
        #[bpaf(long)]
        baseline: bool,
        /// Simulate on all cores at once: faster, but the measured times are meaningless
        #[bpaf(long)]
        parallel: bool,
        /// The folder for the results
        #[bpaf(long, argument("DIR"), fallback("lab-out".into()), debug_fallback)]
        out: PathBuf,
        /// The experiment file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Simulate two policies with the same seeds and print the mean differences with confidence intervals
    #[bpaf(command)]
    Compare {
        /// How many seeds [default: the number in the file, at least 10]
        #[bpaf(long, argument("N"))]
        seeds: Option<u64>,
        /// The policy to compare with [default: the baseline in the file]
        #[bpaf(long, argument("NAME"))]
        with: Option<String>,
        /// The folder for the results
        #[bpaf(long, argument("DIR"), fallback("lab-out".into()), debug_fallback)]
        out: PathBuf,
        /// The experiment file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Search random variants of an experiment for one that breaks a rule, shrink it and write it to a file
    #[bpaf(command)]
    Hunt {
        /// How many days to simulate at most
        #[bpaf(long, argument("N"), fallback(200), display_fallback)]
        days: u64,
        /// The first seed
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Search for the greatest loss of value against the baseline instead of a broken rule
        #[bpaf(long)]
        loss: bool,
        /// The policy [default: the one in the file]
        #[bpaf(long, argument("NAME"))]
        policy: Option<String>,
        /// The experiment file to write
        #[bpaf(long, argument("FILE"), fallback("found.toml".into()), debug_fallback)]
        out: PathBuf,
        /// The experiment file to vary
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Simulate random days on which destinations have an outage and return, and report each rule that is
    /// broken
    #[bpaf(command)]
    Returns {
        /// How many days
        #[bpaf(long, argument("N"), fallback(100), display_fallback)]
        days: u64,
        /// The seed of the first day; each further day has the next one
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Only days with this combination: none, a kind of fault, or kinds joined by +
        #[bpaf(long, argument("KINDS"))]
        beside: Option<String>,
        /// Write the experiment of the first day to this file instead of simulating
        #[bpaf(long, argument("FILE"))]
        write: Option<PathBuf>,
    },
    /// Simulate a day that a hunt found and report whether the result is the same
    #[bpaf(command)]
    Replay {
        /// Write the event log to this file, one JSON line for each event
        #[bpaf(long, argument("FILE"))]
        events: Option<PathBuf>,
        /// The file that the hunt wrote
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Compare the event logs of two folders of results by hash: they are equal if a change of the code
    /// altered no decision
    #[bpaf(command)]
    Same {
        /// The folder with results from before a change
        #[bpaf(positional("DIR"))]
        before: PathBuf,
        /// The folder with results from after it
        #[bpaf(positional("DIR"))]
        after: PathBuf,
    },
    /// Count calls by outcome, connections and endpoint list requests in the debug logs of a fleet of senders
    #[bpaf(command)]
    Fleet {
        /// The length of the spans of time to count by, in seconds
        #[bpaf(long, argument("SECONDS"), guard(|s: &f64| *s >= 0.001 && s.is_finite(), "must be 0.001 at least"), fallback(1.0), display_fallback)]
        span: f64,
        /// The folder with one `*.log` for each sender
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Plot the results in a folder again
    #[bpaf(command)]
    Plot {
        /// The folder that `run`, `sweep` or `compare` wrote
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
}

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_env("LAB_LOG").unwrap_or_else(|_| "info".into());
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .init();
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let handler_set = ctrlc::set_handler(|| {
        // A second Ctrl-C ends the program at once.
        if STOP_REQUESTED.swap(true, Ordering::Relaxed) {
            std::process::exit(130);
        }
    });
    if let Err(e) = handler_set {
        tracing::warn!("cannot handle Ctrl-C, which will end the program at once: {e}");
    }
    match execute(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("scalebarrow-lab: {reason}");
            ExitCode::from(2)
        }
    }
}

fn read_experiment(file: &Path) -> Result<(Experiment, toml::Value), String> {
    Experiment::read(file).map_err(|e| e.to_string())
}

/// Checks a policy's name from the command line.
fn check_policy(policy: &str) -> Result<(), String> {
    let names = scalebarrow_emulator::baselines::POLICY_NAMES;
    if names.contains(&policy) {
        Ok(())
    } else {
        Err(format!("--policy: {policy:?} is none of {}", names.join(", ")))
    }
}

/// Executes a verb. False if a rule was broken or days differ.
fn execute(command: Command) -> Result<bool, String> {
    match command {
        Command::Run { seed, seeds, policy, out, file } => {
            let (experiment, _) = read_experiment(&file)?;
            let policy = policy.unwrap_or_else(|| experiment.policy.clone());
            check_policy(&policy)?;
            let first_seed = seed.unwrap_or(experiment.seed);
            // A seed without a number of seeds means one day.
            let count = seeds.unwrap_or(if seed.is_some() { 1 } else { experiment.seeds });
            let task = |seed| DayTask {
                experiment: experiment.clone(),
                point: Vec::new(),
                policy: policy.clone(),
                seed,
            };
            run_experiment(&experiment, (first_seed..first_seed + count).map(task).collect(), false, &out)
        }
        Command::Sweep { set, baseline, parallel, out, file } => {
            let (mut experiment, mut value) = read_experiment(&file)?;
            let settings = set.iter().map(|text| parse_setting(text)).collect::<Result<Vec<_>, _>>()?;
            if !settings.is_empty() {
                experiment = Experiment::with(&value, &settings)?;
                value = toml::Value::try_from(&experiment).map_err(|e| e.to_string())?;
            }
            if experiment.sweeps.is_empty() {
                return Err(format!("{}: has no [[sweep]] with a field and its values", file.display()));
            }
            let mut tasks = Vec::new();
            for point in experiment.points() {
                let variant = Experiment::with(&value, &point)?;
                let policies = [Some(variant.policy.clone()), baseline.then(|| variant.baseline.clone())];
                for policy in policies.into_iter().flatten() {
                    for seed in variant.seed..variant.seed + variant.seeds {
                        let (experiment, point) = (variant.clone(), point.clone());
                        tasks.push(DayTask { experiment, point, policy: policy.clone(), seed });
                    }
                }
            }
            run_experiment(&experiment, tasks, !parallel, &out)
        }
        Command::Compare { seeds, with, out, file } => {
            let (experiment, _) = read_experiment(&file)?;
            let other_policy = with.unwrap_or_else(|| experiment.baseline.clone());
            check_policy(&other_policy)?;
            // With fewer than ten pairs the intervals are too wide to say much.
            let count = seeds.unwrap_or(experiment.seeds.max(10));
            let mut tasks = Vec::new();
            for seed in experiment.seed..experiment.seed + count {
                for policy in [&experiment.policy, &other_policy] {
                    let (experiment, point, policy) = (experiment.clone(), Vec::new(), policy.clone());
                    tasks.push(DayTask { experiment, point, policy, seed });
                }
            }
            let days = run_and_save(&experiment, tasks, false, &out)?;
            let (ours, theirs): (Vec<DayResult>, Vec<DayResult>) =
                days.into_iter().partition(|day| day.policy == experiment.policy);
            let differences = compare::compare(&ours, &theirs);
            println!(
                "\n{} less {other_policy}, paired over {} days:",
                experiment.policy,
                ours.len().min(theirs.len())
            );
            println!("{:<14} {:>12} {:>26}", "figure", "mean", "95% confidence interval");
            for difference in &differences {
                println!(
                    "{:<14} {:>12.4} {:>12.4} to {:>10.4}",
                    difference.figure, difference.mean, difference.low, difference.high
                );
            }
            let text = serde_json::to_string_pretty(&differences).map_err(|e| e.to_string())?;
            let path = out.join("differences.json");
            std::fs::write(&path, text + "\n").map_err(|e| format!("{}: {e}", path.display()))?;
            Ok(ours.iter().all(|day| day.violations.is_empty()))
        }
        Command::Hunt { days, seed, loss, policy, out, file } => {
            let (mut experiment, _) = read_experiment(&file)?;
            if let Some(policy) = policy {
                check_policy(&policy)?;
                experiment.policy = policy;
            }
            let goal = if loss { Goal::Loss } else { Goal::BrokenRule };
            let Some((found, outcome)) = hunt::hunt(&experiment, days, seed, goal)? else {
                println!("{days} days, no rule broken");
                return Ok(true);
            };
            let (smallest, outcome, simulated_days) = hunt::shrink(found, &outcome, goal)?;
            std::fs::write(&out, hunt::replay_file(smallest.clone(), &outcome)?)
                .map_err(|e| format!("{}: {e}", out.display()))?;
            match outcome.rule {
                Some(rule) => println!("seed {} breaks {rule:?}", smallest.seed),
                None => {
                    println!(
                        "seed {} loses {:.3} of the value against {}",
                        smallest.seed, outcome.loss, experiment.baseline
                    )
                }
            }
            println!(
                "shrunk in {simulated_days} days: {} senders, {} destinations, {} faults, {} s; `replay {}` simulates it again",
                smallest.world.senders.count,
                smallest.world.destinations.count,
                smallest.world.faults.len(),
                smallest.world.day.length_s,
                out.display()
            );
            Ok(outcome.rule.is_none())
        }
        Command::Returns { seed, write: Some(path), .. } => {
            let text = toml::to_string(&returns::random_day(seed).experiment).map_err(|e| e.to_string())?;
            std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
            Ok(true)
        }
        Command::Returns { days, seed, beside, write: None } => {
            let report = returns::simulate(seed, days, beside.as_deref())?;
            print!("{report}");
            Ok(report.broken.is_empty())
        }
        Command::Replay { events, file } => {
            let (experiment, _) = read_experiment(&file)?;
            let found = experiment.found.clone().ok_or_else(|| {
                format!("{}: has no [found]; use `run` for a file that `hunt` did not write", file.display())
            })?;
            let io_error = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
            let mut log = match &events {
                Some(path) => {
                    Some(std::io::BufWriter::new(std::fs::File::create(path).map_err(|e| io_error(path, e))?))
                }
                None => None,
            };
            let mut write_error = None;
            let (report, ..) =
                simulate::simulate_day(&experiment, &experiment.policy, found.seed, &mut |entry| {
                    let Some(log) = &mut log else { return };
                    let written = serde_json::to_writer(&mut *log, entry).map_err(std::io::Error::from);
                    if let Err(e) = written.and_then(|()| log.write_all(b"\n")) {
                        write_error = Some(e);
                    }
                })?;
            let flushed = log.map_or(Ok(()), |mut log| log.flush());
            if let (Some(path), Some(e)) = (&events, write_error.or(flushed.err())) {
                return Err(io_error(path, e));
            }
            for violation in &report.violations {
                println!("{:>9.3} s {:?}: {}", violation.at_s, violation.rule, violation.text);
            }
            let same = format!("{:016x}", report.hash) == found.hash;
            println!(
                "value {:.3}, {} events, hash {:016x}: {}",
                report.value,
                report.counts.events,
                report.hash,
                if same {
                    "the day as it was found"
                } else {
                    "not the day that was found: the policy or the model has changed"
                }
            );
            Ok(report.violations.is_empty())
        }
        Command::Fleet { span, dir } => {
            print!("{}", fleet::count(&dir, span)?.table());
            Ok(true)
        }
        Command::Same { before, after } => {
            let (old, new) = (results::read(&before)?.0, results::read(&after)?.0);
            let (mut same, mut different, mut missing) = (0, 0, 0);
            for old_day in &old {
                let same_task = |new_day: &&DayResult| {
                    (&new_day.experiment, &new_day.point, &new_day.policy, new_day.seed)
                        == (&old_day.experiment, &old_day.point, &old_day.policy, old_day.seed)
                };
                match new.iter().find(same_task) {
                    None => missing += 1,
                    Some(new_day) if old_day.hash == new_day.hash => same += 1,
                    Some(new_day) => {
                        different += 1;
                        println!(
                            "{} {:?} seed {}: value {:.4}, then {:.4}",
                            old_day.experiment, old_day.point, old_day.seed, old_day.value, new_day.value
                        );
                    }
                }
            }
            println!(
                "{same} days are the same, {different} differ, {missing} are not in {}",
                after.display()
            );
            Ok(different == 0 && missing == 0)
        }
        Command::Plot { dir } => {
            let (days, summary) = results::read(&dir)?;
            for path in plot::write_all(&days, summary.as_ref(), &dir)? {
                println!("{}", path.display());
            }
            Ok(true)
        }
    }
}

/// Parses `FIELD=VALUE`. A value that is not TOML is taken as a string.
fn parse_setting(text: &str) -> Result<(String, toml::Value), String> {
    let (field, value) = text.split_once('=').ok_or_else(|| format!("--set {text}: needs FIELD=VALUE"))?;
    let parsed: Result<toml::Table, _> = toml::from_str(&format!("v = {value}"));
    let value = parsed.ok().and_then(|mut table| table.remove("v")).unwrap_or_else(|| value.into());
    Ok((field.trim().into(), value))
}

/// Simulates the days, writes and prints their results, and plots them. Fails without plots if Little's law
/// does not hold on a day.
fn run_and_save(
    experiment: &Experiment, tasks: Vec<DayTask>, sequential: bool, out: &Path,
) -> Result<Vec<DayResult>, String> {
    let folder = ResultFolder::create(out)?;
    let days = simulate::run_tasks(tasks, sequential, &|day| folder.append(day))?;
    let summary = Summary::of(experiment, &days);
    folder.write_summary(&summary)?;
    summary.print();
    for day in days.iter().filter(|day| !day.violations.is_empty()) {
        for violation in day.violations.iter().take(3) {
            println!(
                "seed {} {}: {:.3} s {:?}: {}",
                day.seed, day.policy, violation.at_s, violation.rule, violation.text
            );
        }
    }
    for message in days.iter().flat_map(|day| day.policy_messages.iter()).take(5) {
        println!("policy: {message}");
    }
    if let Some(day) = days.iter().find(|day| !day.little_holds) {
        return Err(format!("seed {}: Little's law does not hold, so the model is wrong", day.seed));
    }
    if !days.is_empty() {
        for path in plot::write_all(&days, Some(&summary), folder.dir())? {
            println!("{}", path.display());
        }
    }
    if STOP_REQUESTED.load(Ordering::Relaxed) {
        println!("interrupted: {} days are finished", days.len());
    }
    Ok(days)
}

/// Simulates the days and saves their results. False if the experiment's policy broke a rule.
fn run_experiment(
    experiment: &Experiment, tasks: Vec<DayTask>, sequential: bool, out: &Path,
) -> Result<bool, String> {
    // Baselines may break rules; only the policy of the experiment has to keep them.
    Ok(run_and_save(experiment, tasks, sequential, out)?
        .iter()
        .filter(|day| day.policy == experiment.policy)
        .all(|day| day.violations.is_empty()))
}
