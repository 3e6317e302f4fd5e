//! The folder with an experiment's results: `runs.jsonl`, with a JSON line for each simulated day, and
//! `summary.json`.

use crate::experiment::Experiment;
use crate::simulate::DayResult;
use scalebarrow_emulator::spec::FaultKind;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

/// When a fault of the world lasts; plots shade this period.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultPeriod {
    #[serde(rename = "what")]
    pub kind: FaultKind,
    #[serde(rename = "from_s")]
    pub start_s: f64,
    #[serde(rename = "to_s")]
    pub end_s: f64,
}

/// The results of an experiment, as `summary.json` holds them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    pub experiment: String,
    /// The experiment's description.
    pub about: String,
    /// Always true: all clients, senders and destinations are simulated.
    pub simulated: bool,
    #[serde(rename = "troubles")]
    pub faults: Vec<FaultPeriod>,
    pub days: usize,
    /// Days on which a rule was broken.
    #[serde(rename = "broken_days")]
    pub days_with_violations: usize,
    pub policies: Vec<PolicySummary>,
}

/// The results of one policy at one point of the sweep, over all seeds: means, sums of counts, and maxima of
/// what is called peak or slowest.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PolicySummary {
    pub policy: String,
    pub point: Vec<(String, String)>,
    pub days: usize,
    /// Days on which a rule was broken.
    #[serde(rename = "broken_days")]
    pub days_with_violations: usize,
    /// The value delivered as a share of the value of all webhooks handed in.
    pub value: f64,
    /// That share in the window where it was lowest.
    pub worst_window: f64,
    /// The median latency from first hand-in to delivery.
    pub p50_ms: f64,
    /// The 99th percentile of that latency.
    pub p99_ms: f64,
    pub delivered: u64,
    pub rejected: u64,
    pub dead_lettered: u64,
    pub attempts: u64,
    /// The most webhooks without a final answer at all senders at once, queued or in flight.
    #[serde(rename = "held_most")]
    pub peak_queued: u64,
    /// Inputs that the policies handled.
    pub inputs: u64,
    /// Microseconds that the policies took for an input.
    pub us_per_input: f64,
    /// Microseconds for the slowest input, endpoint lists excepted.
    pub slowest_us: f64,
    /// Milliseconds for the slowest endpoint list.
    pub slowest_list_ms: f64,
    /// Simulated events per second of this machine's time.
    pub events_per_s: f64,
    /// The share of the simulation's time that the policies took.
    pub policy_share: f64,
}

/// A policy's name and a point of the sweep.
type PolicyAndPoint = (String, Vec<(String, String)>);

/// The mean of a figure over days; 0 if there are none.
fn mean(days: &[&DayResult], value_of: impl Fn(&DayResult) -> f64) -> f64 {
    days.iter().map(|day| value_of(day)).sum::<f64>() / days.len().max(1) as f64
}

/// The sum of a count over days.
fn sum(days: &[&DayResult], count_of: impl Fn(&DayResult) -> u64) -> u64 {
    days.iter().map(|day| count_of(day)).sum()
}

/// A day's latency in milliseconds at one of the stored percentiles; NaN if nothing was delivered.
pub fn latency_percentile(day: &DayResult, percentile: f64) -> f64 {
    day.latency_ms.iter().find(|entry| entry.0 == percentile).map_or(f64::NAN, |entry| entry.1)
}

impl Summary {
    /// Summarizes the days of an experiment.
    pub fn of(experiment: &Experiment, days: &[DayResult]) -> Summary {
        let mut groups: Vec<(PolicyAndPoint, Vec<&DayResult>)> = Vec::new();
        for day in days {
            let key = (day.policy.clone(), day.point.clone());
            match groups.iter_mut().find(|group| group.0 == key) {
                Some(group) => group.1.push(day),
                None => groups.push((key, vec![day])),
            }
        }
        let policy_summary = |((policy, point), days): (PolicyAndPoint, Vec<&DayResult>)| PolicySummary {
            policy,
            point,
            days: days.len(),
            days_with_violations: days.iter().filter(|day| !day.violations.is_empty()).count(),
            value: mean(&days, |day| day.value),
            worst_window: mean(&days, |day| day.worst_window),
            p50_ms: mean(&days, |day| latency_percentile(day, 50.0)),
            p99_ms: mean(&days, |day| latency_percentile(day, 99.0)),
            delivered: sum(&days, |day| day.counts.delivered),
            rejected: sum(&days, |day| day.counts.rejected),
            dead_lettered: sum(&days, |day| day.counts.dead_lettered),
            attempts: sum(&days, |day| day.counts.attempts),
            peak_queued: days.iter().map(|day| day.counts.peak_queued).max().unwrap_or(0),
            inputs: sum(&days, |day| day.counts.inputs),
            us_per_input: mean(&days, |day| day.us_per_input),
            slowest_us: days.iter().map(|day| day.slowest_us).fold(0.0, f64::max),
            slowest_list_ms: days.iter().map(|day| day.slowest_list_ms).fold(0.0, f64::max),
            events_per_s: sum(&days, |day| day.counts.events) as f64
                / days.iter().map(|day| day.wall_s).sum::<f64>(),
            policy_share: mean(&days, |day| day.policy_s / day.wall_s.max(1e-9)),
        };
        let fault_period = |fault: &scalebarrow_emulator::spec::FaultSpec| FaultPeriod {
            kind: fault.kind,
            start_s: fault.start_s,
            end_s: fault.start_s + fault.duration_s,
        };
        Summary {
            experiment: experiment.name.clone(),
            about: experiment.about.clone(),
            simulated: true,
            faults: experiment.world.faults.iter().map(fault_period).collect(),
            days: days.len(),
            days_with_violations: days.iter().filter(|day| !day.violations.is_empty()).count(),
            policies: groups.into_iter().map(policy_summary).collect(),
        }
    }

    /// Prints a table with a line for each policy and point.
    pub fn print(&self) {
        println!(
            "{}: {} simulated days, {} with a broken rule",
            self.experiment, self.days, self.days_with_violations
        );
        println!(
            "{:<18} {:<34} {:>6} {:>6} {:>9} {:>10} {:>9} {:>8} {:>8} {:>7} {:>9} {:>10}",
            "policy",
            "point",
            "value",
            "worst",
            "p50 ms",
            "p99 ms",
            "delivered",
            "rejected",
            "dead",
            "broken",
            "us/input",
            "slowest us"
        );
        for summary in &self.policies {
            let point: Vec<String> =
                summary.point.iter().map(|(field, value)| format!("{field}={value}")).collect();
            println!(
                "{:<18} {:<34} {:>6.3} {:>6.3} {:>9.1} {:>10.1} {:>9} {:>8} {:>8} {:>7} {:>9.1} {:>10.0}",
                summary.policy,
                point.join(" "),
                summary.value,
                summary.worst_window,
                summary.p50_ms,
                summary.p99_ms,
                summary.delivered,
                summary.rejected,
                summary.dead_lettered,
                summary.days_with_violations,
                summary.us_per_input,
                summary.slowest_us
            );
        }
    }
}

/// The folder that results are written to. Each day's line is written as the day ends, so that an interrupted
/// run leaves the finished days readable.
pub struct ResultFolder {
    dir: PathBuf,
    runs: Mutex<File>,
}

impl ResultFolder {
    /// Creates the folder and an empty `runs.jsonl` in it.
    pub fn create(dir: &Path) -> Result<ResultFolder, String> {
        let error = |e: std::io::Error| format!("{}: {e}", dir.display());
        std::fs::create_dir_all(dir).map_err(error)?;
        let runs = File::create(dir.join("runs.jsonl")).map_err(error)?;
        Ok(ResultFolder { dir: dir.into(), runs: Mutex::new(runs) })
    }

    /// Appends a day's result; a failure is logged and does not stop the run.
    pub fn append(&self, day: &DayResult) {
        let Ok(mut line) = serde_json::to_vec(day) else { return };
        line.push(b'\n');
        let written = self.runs.lock().map(|mut file| file.write_all(&line).and_then(|()| file.flush()));
        if !matches!(written, Ok(Ok(()))) {
            tracing::warn!(dir = %self.dir.display(), "cannot write a result to runs.jsonl");
        }
    }

    /// Writes `summary.json`.
    pub fn write_summary(&self, summary: &Summary) -> Result<(), String> {
        let file = self.dir.join("summary.json");
        let text = serde_json::to_string_pretty(summary).map_err(|e| e.to_string())?;
        std::fs::write(&file, text + "\n").map_err(|e| format!("{}: {e}", file.display()))
    }

    /// The path of the folder.
    pub fn dir(&self) -> &Path {
        &self.dir
    }
}

/// Reads the results in a folder, and the summary if there is a readable one. A line that is cut off, as an
/// interrupted run leaves it, is skipped.
pub fn read(dir: &Path) -> Result<(Vec<DayResult>, Option<Summary>), String> {
    let file = dir.join("runs.jsonl");
    let runs =
        File::open(&file).map_err(|e| format!("{}: {e}; `run` or `sweep` writes it", file.display()))?;
    let mut days = Vec::new();
    for (index, line) in BufReader::new(runs).lines().enumerate() {
        let line = line.map_err(|e| format!("{}: {e}", file.display()))?;
        match serde_json::from_str(&line) {
            Ok(day) => days.push(day),
            Err(e) if e.is_eof() => tracing::warn!(line = index + 1, "skipped a result that is cut off"),
            Err(e) => return Err(format!("{}:{}: {e}", file.display(), index + 1)),
        }
    }
    let summary = std::fs::read_to_string(dir.join("summary.json")).ok();
    Ok((days, summary.and_then(|text| serde_json::from_str(&text).ok())))
}

/// The days grouped by policy and point, whose names are the keys; within a group they keep their order.
pub fn group_by_policy_and_point(days: &[DayResult]) -> BTreeMap<String, Vec<&DayResult>> {
    let mut groups: BTreeMap<String, Vec<&DayResult>> = BTreeMap::new();
    for day in days {
        let point: Vec<String> = day.point.iter().map(|(field, value)| format!("{field}={value}")).collect();
        let name =
            if point.is_empty() { day.policy.clone() } else { format!("{} {}", day.policy, point.join(" ")) };
        groups.entry(name).or_default().push(day);
    }
    groups
}
