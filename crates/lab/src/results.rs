//! The folder of an experiment's results: `runs.jsonl`, a JSON line a day, and `summary.json`.

use crate::experiment::Experiment;
use crate::play::Row;
use scalebarrow_emulator::spec::FaultKind;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

/// Trouble of the day, for the shading of a plot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Shade {
    pub what: FaultKind,
    pub from_s: f64,
    pub to_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    pub experiment: String,
    pub about: String,
    /// All figures are of simulated clients, senders and destinations.
    pub simulated: bool,
    pub troubles: Vec<Shade>,
    pub days: usize,
    pub broken_days: usize,
    pub policies: Vec<Line>,
}

/// Means over the seeds of one policy at one point of the sweep.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    pub policy: String,
    pub point: Vec<(String, String)>,
    pub days: usize,
    pub broken_days: usize,
    pub value: f64,
    pub worst_window: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub delivered: u64,
    pub rejected: u64,
    pub dead_lettered: u64,
    pub attempts: u64,
    pub held_most: u64,
    pub inputs: u64,
    pub us_per_input: f64,
    pub slowest_us: f64,
    pub slowest_list_ms: f64,
    pub events_per_s: f64,
    pub policy_share: f64,
}

/// A policy and a point of the sweep.
type Key = (String, Vec<(String, String)>);

fn mean(rows: &[&Row], of: impl Fn(&Row) -> f64) -> f64 {
    rows.iter().map(|r| of(r)).sum::<f64>() / rows.len().max(1) as f64
}

fn sum(rows: &[&Row], of: impl Fn(&Row) -> u64) -> u64 {
    rows.iter().map(|r| of(r)).sum()
}

pub fn percentile(r: &Row, p: f64) -> f64 {
    r.latency_ms.iter().find(|x| x.0 == p).map_or(f64::NAN, |x| x.1)
}

impl Summary {
    pub fn of(e: &Experiment, rows: &[Row]) -> Summary {
        let mut groups: Vec<(Key, Vec<&Row>)> = Vec::new();
        for r in rows {
            let key = (r.policy.clone(), r.point.clone());
            match groups.iter_mut().find(|g| g.0 == key) {
                Some(g) => g.1.push(r),
                None => groups.push((key, vec![r])),
            }
        }
        let line = |((policy, point), rows): (Key, Vec<&Row>)| Line {
            policy,
            point,
            days: rows.len(),
            broken_days: rows.iter().filter(|r| !r.broken.is_empty()).count(),
            value: mean(&rows, |r| r.value),
            worst_window: mean(&rows, |r| r.worst_window),
            p50_ms: mean(&rows, |r| percentile(r, 50.0)),
            p99_ms: mean(&rows, |r| percentile(r, 99.0)),
            delivered: sum(&rows, |r| r.counts.delivered),
            rejected: sum(&rows, |r| r.counts.rejected),
            dead_lettered: sum(&rows, |r| r.counts.dead_lettered),
            attempts: sum(&rows, |r| r.counts.attempts),
            held_most: rows.iter().map(|r| r.counts.peak_queued).max().unwrap_or(0),
            inputs: sum(&rows, |r| r.counts.inputs),
            us_per_input: mean(&rows, |r| r.us_per_input),
            slowest_us: rows.iter().map(|r| r.slowest_us).fold(0.0, f64::max),
            slowest_list_ms: rows.iter().map(|r| r.slowest_list_ms).fold(0.0, f64::max),
            events_per_s: sum(&rows, |r| r.counts.events) as f64 / rows.iter().map(|r| r.wall_s).sum::<f64>(),
            policy_share: mean(&rows, |r| r.policy_s / r.wall_s.max(1e-9)),
        };
        let shade = |t: &scalebarrow_emulator::spec::FaultSpec| Shade {
            what: t.kind,
            from_s: t.start_s,
            to_s: t.start_s + t.duration_s,
        };
        Summary {
            experiment: e.name.clone(),
            about: e.about.clone(),
            simulated: true,
            troubles: e.world.faults.iter().map(shade).collect(),
            days: rows.len(),
            broken_days: rows.iter().filter(|r| !r.broken.is_empty()).count(),
            policies: groups.into_iter().map(line).collect(),
        }
    }

    pub fn print(&self) {
        println!(
            "{}: {} simulated days, {} with a broken rule",
            self.experiment, self.days, self.broken_days
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
        for l in &self.policies {
            let point: Vec<String> = l.point.iter().map(|(f, v)| format!("{f}={v}")).collect();
            println!(
                "{:<18} {:<34} {:>6.3} {:>6.3} {:>9.1} {:>10.1} {:>9} {:>8} {:>8} {:>7} {:>9.1} {:>10.0}",
                l.policy,
                point.join(" "),
                l.value,
                l.worst_window,
                l.p50_ms,
                l.p99_ms,
                l.delivered,
                l.rejected,
                l.dead_lettered,
                l.broken_days,
                l.us_per_input,
                l.slowest_us
            );
        }
    }
}

/// Writes each day's line as it is there, so that a break leaves what is finished readable.
pub struct Folder {
    dir: PathBuf,
    runs: Mutex<File>,
}

impl Folder {
    pub fn make(dir: &Path) -> Result<Folder, String> {
        let at = |e: std::io::Error| format!("{}: {e}", dir.display());
        std::fs::create_dir_all(dir).map_err(at)?;
        let runs = File::create(dir.join("runs.jsonl")).map_err(at)?;
        Ok(Folder { dir: dir.into(), runs: Mutex::new(runs) })
    }

    pub fn add(&self, row: &Row) {
        let Ok(mut line) = serde_json::to_vec(row) else { return };
        line.push(b'\n');
        let written = self.runs.lock().map(|mut f| f.write_all(&line).and_then(|()| f.flush()));
        if !matches!(written, Ok(Ok(()))) {
            tracing::warn!(dir = %self.dir.display(), "a result could not be written");
        }
    }

    pub fn summary(&self, summary: &Summary) -> Result<(), String> {
        let file = self.dir.join("summary.json");
        let text = serde_json::to_string_pretty(summary).map_err(|e| e.to_string())?;
        std::fs::write(&file, text + "\n").map_err(|e| format!("{}: {e}", file.display()))
    }

    pub fn dir(&self) -> &Path {
        &self.dir
    }
}

/// Reads a folder back. A last line that was cut off is left out.
pub fn read(dir: &Path) -> Result<(Vec<Row>, Option<Summary>), String> {
    let file = dir.join("runs.jsonl");
    let f = File::open(&file).map_err(|e| format!("{}: {e}; `run` or `sweep` writes it", file.display()))?;
    let mut rows = Vec::new();
    for (i, line) in BufReader::new(f).lines().enumerate() {
        let line = line.map_err(|e| format!("{}: {e}", file.display()))?;
        match serde_json::from_str(&line) {
            Ok(row) => rows.push(row),
            Err(e) if e.is_eof() => tracing::warn!(line = i + 1, "a result that was cut off is left out"),
            Err(e) => return Err(format!("{}:{}: {e}", file.display(), i + 1)),
        }
    }
    let summary = std::fs::read_to_string(dir.join("summary.json")).ok();
    Ok((rows, summary.and_then(|s| serde_json::from_str(&s).ok())))
}

/// Rows by policy and point, in the order that they came.
pub fn grouped(rows: &[Row]) -> BTreeMap<String, Vec<&Row>> {
    let mut groups: BTreeMap<String, Vec<&Row>> = BTreeMap::new();
    for r in rows {
        let point: Vec<String> = r.point.iter().map(|(f, v)| format!("{f}={v}")).collect();
        let name =
            if point.is_empty() { r.policy.clone() } else { format!("{} {}", r.policy, point.join(" ")) };
        groups.entry(name).or_default().push(r);
    }
    groups
}
