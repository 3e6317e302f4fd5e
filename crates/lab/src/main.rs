//! The command line of `scalebarrow-lab`.

mod compare;
mod experiment;
mod fleet;
mod hunt;
mod play;
mod plot;
mod results;

use bpaf::Bpaf;
use experiment::Experiment;
use hunt::Prey;
use play::{Row, STOP, Task};
use results::{Folder, Summary};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;

/// Experiments on scalebarrow in simulated time.
///
/// Exit codes: 0 done, 1 a rule was broken or days differ, 2 something could not be read, written or played.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Play an experiment's day, once for each seed, and draw it
    #[bpaf(command)]
    Run {
        /// The first seed; the file's where none is given
        #[bpaf(long, argument("N"))]
        seed: Option<u64>,
        /// How many seeds
        #[bpaf(long, argument("N"))]
        seeds: Option<u64>,
        /// What decides: module, random, round-robin, least-outstanding, two-choices, straight
        #[bpaf(long, argument("NAME"))]
        policy: Option<String>,
        /// Where the results go
        #[bpaf(long, argument("DIR"), fallback("lab-out".into()), debug_fallback)]
        out: PathBuf,
        /// The experiment
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Play an experiment at each value of the fields that its sweeps name, one day at a time where cost is measured
    #[bpaf(command)]
    Sweep {
        /// Sets a field to a value, in TOML: may be given more than once
        #[bpaf(long, argument("FIELD=VALUE"))]
        set: Vec<String>,
        /// Also play the baseline
        #[bpaf(long)]
        baseline: bool,
        /// Days on all cores at once: faster, but their times are no measurement
        #[bpaf(long)]
        parallel: bool,
        /// Where the results go
        #[bpaf(long, argument("DIR"), fallback("lab-out".into()), debug_fallback)]
        out: PathBuf,
        /// The experiment
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Play two policies on the same days and print the differences with their confidence intervals
    #[bpaf(command)]
    Compare {
        /// How many seeds
        #[bpaf(long, argument("N"))]
        seeds: Option<u64>,
        /// Against which policy; the file's baseline where none is given
        #[bpaf(long, argument("NAME"))]
        with: Option<String>,
        /// Where the results go
        #[bpaf(long, argument("DIR"), fallback("lab-out".into()), debug_fallback)]
        out: PathBuf,
        /// The experiment
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Look for a day on which a rule breaks, make it small and write it to a file
    #[bpaf(command)]
    Hunt {
        /// How many days to play at most
        #[bpaf(long, argument("N"), fallback(200), display_fallback)]
        days: u64,
        /// The first seed
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Look for the greatest loss against the baseline instead of a broken rule
        #[bpaf(long)]
        loss: bool,
        /// What decides, where not what the file says
        #[bpaf(long, argument("NAME"))]
        policy: Option<String>,
        /// Where the day found is written
        #[bpaf(long, argument("FILE"), fallback("found.toml".into()), debug_fallback)]
        out: PathBuf,
        /// The experiment to begin with
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Play a day that a hunt found and say whether it is as it was
    #[bpaf(command)]
    Replay {
        /// Write the event log there, one JSON line an event
        #[bpaf(long, argument("FILE"))]
        events: Option<PathBuf>,
        /// The day found
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Say which days of two folders are the same event for event, as a change that alters no decision leaves them
    #[bpaf(command)]
    Same {
        /// The folder from before a change
        #[bpaf(positional("DIR"))]
        before: PathBuf,
        /// The folder from after it
        #[bpaf(positional("DIR"))]
        after: PathBuf,
    },
    /// Count across a fleet what its senders logged at debug: calls by outcome, connections, calls for the list
    #[bpaf(command)]
    Fleet {
        /// Seconds that are counted together
        #[bpaf(long, argument("SECONDS"), guard(|s: &f64| *s >= 0.001 && s.is_finite(), "must be 0.001 at least"), fallback(1.0), display_fallback)]
        span: f64,
        /// The folder with one `*.log` for each sender
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Draw the results in a folder again
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
    let heard = ctrlc::set_handler(|| {
        // A second one ends at once.
        if STOP.swap(true, Ordering::Relaxed) {
            std::process::exit(130);
        }
    });
    if let Err(e) = heard {
        tracing::warn!("Ctrl-C ends at once: {e}");
    }
    match carry_out(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("scalebarrow-lab: {why}");
            ExitCode::from(2)
        }
    }
}

fn read(file: &Path) -> Result<(Experiment, toml::Value), String> {
    Experiment::read(file).map_err(|e| e.to_string())
}

fn known(policy: &str) -> Result<(), String> {
    let names = scalebarrow_emulator::baselines::POLICY_NAMES;
    if names.contains(&policy) {
        Ok(())
    } else {
        Err(format!("--policy: {policy:?} is none of {}", names.join(", ")))
    }
}

/// True where no rule was broken.
fn carry_out(command: Command) -> Result<bool, String> {
    match command {
        Command::Run { seed, seeds, policy, out, file } => {
            let (e, _) = read(&file)?;
            let policy = policy.unwrap_or_else(|| e.policy.clone());
            known(&policy)?;
            let first = seed.unwrap_or(e.seed);
            // One seed named alone is one day.
            let many = seeds.unwrap_or(if seed.is_some() { 1 } else { e.seeds });
            let task = |seed| Task { experiment: e.clone(), point: Vec::new(), policy: policy.clone(), seed };
            finish(&e, (first..first + many).map(task).collect(), false, &out)
        }
        Command::Sweep { set, baseline, parallel, out, file } => {
            let (mut e, mut value) = read(&file)?;
            let set = set.iter().map(|s| setting(s)).collect::<Result<Vec<_>, _>>()?;
            if !set.is_empty() {
                e = Experiment::with(&value, &set)?;
                value = toml::Value::try_from(&e).map_err(|e| e.to_string())?;
            }
            if e.sweeps.is_empty() {
                return Err(format!(
                    "{}: has no [[sweep]] that names a field and its values",
                    file.display()
                ));
            }
            let mut tasks = Vec::new();
            for point in e.points() {
                let at = Experiment::with(&value, &point)?;
                let policies = [Some(at.policy.clone()), baseline.then(|| at.baseline.clone())];
                for policy in policies.into_iter().flatten() {
                    for seed in at.seed..at.seed + at.seeds {
                        let (experiment, point) = (at.clone(), point.clone());
                        tasks.push(Task { experiment, point, policy: policy.clone(), seed });
                    }
                }
            }
            finish(&e, tasks, !parallel, &out)
        }
        Command::Compare { seeds, with, out, file } => {
            let (e, _) = read(&file)?;
            let other = with.unwrap_or_else(|| e.baseline.clone());
            known(&other)?;
            // Fewer than ten pairs give intervals that say little.
            let many = seeds.unwrap_or(e.seeds.max(10));
            let mut tasks = Vec::new();
            for seed in e.seed..e.seed + many {
                for policy in [&e.policy, &other] {
                    let (experiment, point, policy) = (e.clone(), Vec::new(), policy.clone());
                    tasks.push(Task { experiment, point, policy, seed });
                }
            }
            let rows = played(&e, tasks, false, &out)?;
            let (ours, theirs): (Vec<Row>, Vec<Row>) = rows.into_iter().partition(|r| r.policy == e.policy);
            let all = compare::compare(&ours, &theirs);
            println!("\n{} less {other}, paired over {} days:", e.policy, ours.len().min(theirs.len()));
            println!("{:<14} {:>12} {:>26}", "figure", "mean", "95% confidence interval");
            for d in &all {
                println!("{:<14} {:>12.4} {:>12.4} to {:>10.4}", d.figure, d.mean, d.low, d.high);
            }
            let text = serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?;
            let to = out.join("differences.json");
            std::fs::write(&to, text + "\n").map_err(|e| format!("{}: {e}", to.display()))?;
            Ok(ours.iter().all(|r| r.broken.is_empty()))
        }
        Command::Hunt { days, seed, loss, policy, out, file } => {
            let (mut e, _) = read(&file)?;
            if let Some(policy) = policy {
                known(&policy)?;
                e.policy = policy;
            }
            let prey = if loss { Prey::Loss } else { Prey::Rules };
            let Some((day, shown)) = hunt::hunt(&e, days, seed, prey)? else {
                println!("{days} days, no rule broken");
                return Ok(true);
            };
            let (small, last, played) = hunt::shrink(day, &shown, prey)?;
            std::fs::write(&out, hunt::file(small.clone(), &last)?)
                .map_err(|e| format!("{}: {e}", out.display()))?;
            match last.rule {
                Some(rule) => println!("seed {} breaks {rule:?}", small.seed),
                None => {
                    println!("seed {} loses {:.3} of the value against {}", small.seed, last.loss, e.baseline)
                }
            }
            println!(
                "made smaller over {played} days: {} senders, {} destinations, {} troubles, {} s; `replay {}` plays it",
                small.world.senders.count,
                small.world.destinations.count,
                small.world.faults.len(),
                small.world.day.length_s,
                out.display()
            );
            Ok(last.rule.is_none())
        }
        Command::Replay { events, file } => {
            let (e, _) = read(&file)?;
            let found = e.found.clone().ok_or_else(|| {
                format!("{}: has no [found]; `run` plays an experiment that no hunt wrote", file.display())
            })?;
            let at = |p: &Path, e: std::io::Error| format!("{}: {e}", p.display());
            let mut log = match &events {
                Some(p) => Some(std::io::BufWriter::new(std::fs::File::create(p).map_err(|e| at(p, e))?)),
                None => None,
            };
            let mut failed = None;
            let (report, ..) = play::day(&e, &e.policy, found.seed, &mut |line| {
                let Some(log) = &mut log else { return };
                let written = serde_json::to_writer(&mut *log, line).map_err(std::io::Error::from);
                if let Err(e) = written.and_then(|()| log.write_all(b"\n")) {
                    failed = Some(e);
                }
            })?;
            let flushed = log.map_or(Ok(()), |mut l| l.flush());
            if let (Some(p), Some(e)) = (&events, failed.or(flushed.err())) {
                return Err(at(p, e));
            }
            for b in &report.violations {
                println!("{:>9.3} s {:?}: {}", b.at_s, b.rule, b.text);
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
                    "not the day that was found: policy or model have changed"
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
            let (mut same, mut other, mut missing) = (0, 0, 0);
            for a in &old {
                let alike = |b: &&Row| {
                    (&b.experiment, &b.point, &b.policy, b.seed)
                        == (&a.experiment, &a.point, &a.policy, a.seed)
                };
                match new.iter().find(alike) {
                    None => missing += 1,
                    Some(b) if a.hash == b.hash => same += 1,
                    Some(b) => {
                        other += 1;
                        println!(
                            "{} {:?} seed {}: value {:.4}, then {:.4}",
                            a.experiment, a.point, a.seed, a.value, b.value
                        );
                    }
                }
            }
            println!("{same} days are the same, {other} differ, {missing} are not in {}", after.display());
            Ok(other == 0 && missing == 0)
        }
        Command::Plot { dir } => {
            let (rows, summary) = results::read(&dir)?;
            for f in plot::all(&rows, summary.as_ref(), &dir)? {
                println!("{}", f.display());
            }
            Ok(true)
        }
    }
}

/// `FIELD=VALUE`, with the value as TOML, or as a text where it is none.
fn setting(s: &str) -> Result<(String, toml::Value), String> {
    let (field, value) = s.split_once('=').ok_or_else(|| format!("--set {s}: needs FIELD=VALUE"))?;
    let read: Result<toml::Table, _> = toml::from_str(&format!("v = {value}"));
    let value = read.ok().and_then(|mut t| t.remove("v")).unwrap_or_else(|| value.into());
    Ok((field.trim().into(), value))
}

fn played(e: &Experiment, tasks: Vec<Task>, one_by_one: bool, out: &Path) -> Result<Vec<Row>, String> {
    let folder = Folder::make(out)?;
    let rows = play::all(tasks, one_by_one, &|row| folder.add(row))?;
    let summary = Summary::of(e, &rows);
    folder.summary(&summary)?;
    summary.print();
    for r in rows.iter().filter(|r| !r.broken.is_empty()) {
        for b in r.broken.iter().take(3) {
            println!("seed {} {}: {:.3} s {:?}: {}", r.seed, r.policy, b.at_s, b.rule, b.text);
        }
    }
    for line in rows.iter().flat_map(|r| r.lines.iter()).take(5) {
        println!("policy: {line}");
    }
    if let Some(r) = rows.iter().find(|r| !r.little_holds) {
        return Err(format!("seed {}: Little's law does not hold: the model is wrong there", r.seed));
    }
    if !rows.is_empty() {
        for f in plot::all(&rows, Some(&summary), folder.dir())? {
            println!("{}", f.display());
        }
    }
    if STOP.load(Ordering::Relaxed) {
        println!("interrupted: {} days are finished", rows.len());
    }
    Ok(rows)
}

fn finish(e: &Experiment, tasks: Vec<Task>, one_by_one: bool, out: &Path) -> Result<bool, String> {
    // Baselines may break rules; what is asked is whether the policy does.
    Ok(played(e, tasks, one_by_one, out)?
        .iter()
        .filter(|r| r.policy == e.policy)
        .all(|r| r.broken.is_empty()))
}
