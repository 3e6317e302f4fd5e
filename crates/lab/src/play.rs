//! Plays days: one or many, spread over the cores, with the time that the policy took.

use crate::experiment::Experiment;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use scalebarrow::{ActionSink, ListUpdate, ListedEndpoint, Outcome};
use scalebarrow_emulator::baselines::factory_by_name;
use scalebarrow_emulator::events::LogEntry;
use scalebarrow_emulator::policy::{Policy, SenderStart};
use scalebarrow_emulator::{Counts, Report, Violation, Window, run};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Set by Ctrl-C: days under way are played to their end, no others begin.
pub static STOP: AtomicBool = AtomicBool::new(false);

/// How long policies took for their inputs: all of them, the slowest one, and the slowest list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Took {
    pub sum: Duration,
    pub slowest: Duration,
    pub list: Duration,
}

/// Measures how long a policy takes for its inputs.
struct Timed {
    policy: Box<dyn Policy>,
    took: Rc<Cell<Took>>,
}

impl Timed {
    fn time(&mut self, give: impl FnOnce(&mut dyn Policy)) {
        let began = Instant::now();
        give(&mut *self.policy);
        let (this, mut took) = (began.elapsed(), self.took.get());
        took.sum += this;
        took.slowest = took.slowest.max(this);
        self.took.set(took);
    }
}

impl Policy for Timed {
    fn update_list(
        &mut self, now: f64, mode: ListUpdate, entries: &[ListedEndpoint], out: &mut dyn ActionSink,
    ) {
        // A list is no matter of the cost of a decision: it has a figure of its own.
        let began = Instant::now();
        self.policy.update_list(now, mode, entries, out);
        let took = self.took.get();
        self.took.set(Took { list: took.list.max(began.elapsed()), ..took });
    }
    fn accept(
        &mut self, now: f64, id: u64, event_type: &str, dest: u64, key: Option<&str>, customer: Option<&str>,
        left: f64, out: &mut dyn ActionSink,
    ) {
        self.time(|p| p.accept(now, id, event_type, dest, key, customer, left, out));
    }
    fn resume(
        &mut self, now: f64, id: u64, event_type: &str, dest: u64, key: Option<&str>, customer: Option<&str>,
        left: f64, tries: u32, ran: Option<(&str, f64)>, out: &mut dyn ActionSink,
    ) {
        self.time(|p| p.resume(now, id, event_type, dest, key, customer, left, tries, ran, out));
    }
    fn begin_shutdown(&mut self, now: f64, by: f64, out: &mut dyn ActionSink) {
        self.time(|p| p.begin_shutdown(now, by, out));
    }
    fn may_send(&self, now: f64, id: u64, ep: &str) -> bool {
        self.policy.may_send(now, id, ep)
    }
    fn attempt_ended(
        &mut self, now: f64, id: u64, ep: &str, outcome: Outcome, took: f64, ended: bool,
        report: Option<(f64, f64)>, out: &mut dyn ActionSink,
    ) {
        self.time(|p| p.attempt_ended(now, id, ep, outcome, took, ended, report, out));
    }
    fn wait_requested(&mut self, now: f64, ep: &str, wait: f64, out: &mut dyn ActionSink) {
        self.time(|p| p.wait_requested(now, ep, wait, out));
    }
    fn withdraw(&mut self, now: f64, id: u64, out: &mut dyn ActionSink) {
        self.time(|p| p.withdraw(now, id, out));
    }
    fn wake(&mut self, now: f64, handle: u64, out: &mut dyn ActionSink) {
        self.time(|p| p.wake(now, handle, out));
    }
}

thread_local! {
    /// What the policies of the day under way on this thread have taken: a day is played on one thread.
    static TOOK: Rc<Cell<Took>> = Rc::default();
}

/// Plays one day and measures what the policy took of it, and the whole in seconds.
pub fn day(
    e: &Experiment, policy: &str, seed: u64, watch: &mut dyn FnMut(&LogEntry),
) -> Result<(Report, Took, f64), String> {
    let make = factory_by_name(policy).ok_or_else(|| format!("no policy is called {policy:?}"))?;
    let took = TOOK.with(Rc::clone);
    took.set(Took::default());
    let maker = move |start: SenderStart| -> Box<dyn Policy> {
        Box::new(Timed { policy: make(start), took: TOOK.with(Rc::clone) })
    };
    let began = Instant::now();
    let report = run(&e.world, seed, &maker, watch).map_err(|f| f.to_string())?;
    Ok((report, took.get(), began.elapsed().as_secs_f64()))
}

/// What is written of a day: one JSON line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    pub experiment: String,
    /// The fields that a sweep set, with their values.
    pub point: Vec<(String, String)>,
    pub policy: String,
    pub seed: u64,
    pub hash: String,
    pub value: f64,
    pub worst_window: f64,
    /// Milliseconds from first hand-in to delivery, by percentile.
    pub latency_ms: Vec<(f64, f64)>,
    pub counts: Counts,
    pub windows: Vec<Window>,
    pub little_holds: bool,
    pub broken: Vec<Violation>,
    pub lines: Vec<String>,
    /// Of this machine: seconds for the day, for the policy's part of it, and microseconds an input.
    pub wall_s: f64,
    pub policy_s: f64,
    pub us_per_input: f64,
    /// The slowest input but for lists, and the slowest list.
    #[serde(default)]
    pub slowest_us: f64,
    #[serde(default)]
    pub slowest_list_ms: f64,
}

/// Percentiles that are written and drawn.
const PERCENTILES: [f64; 12] = [1.0, 5.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 99.99, 100.0];

impl Row {
    pub fn of(
        e: &Experiment, point: &[(String, toml::Value)], policy: &str, seed: u64,
    ) -> Result<Row, String> {
        let (r, took, wall_s) = day(e, policy, seed, &mut |_| {})?;
        let policy_s = took.sum.as_secs_f64();
        let ms = |p: f64| (p, r.latency.value_at_quantile(p / 100.0) as f64 / 1e3);
        Ok(Row {
            experiment: e.name.clone(),
            point: point.iter().map(|(f, v)| (f.clone(), shown(v))).collect(),
            policy: policy.into(),
            seed,
            hash: format!("{:016x}", r.hash),
            value: r.value,
            worst_window: r.worst_window,
            latency_ms: if r.latency.is_empty() { Vec::new() } else { PERCENTILES.map(ms).to_vec() },
            us_per_input: policy_s * 1e6 / r.counts.inputs.max(1) as f64,
            slowest_us: took.slowest.as_secs_f64() * 1e6,
            slowest_list_ms: took.list.as_secs_f64() * 1e3,
            little_holds: r.little_holds(),
            counts: r.counts,
            windows: r.windows,
            broken: r.violations,
            lines: r.policy_messages,
            wall_s,
            policy_s,
        })
    }
}

fn shown(v: &toml::Value) -> String {
    match v {
        toml::Value::String(s) => s.clone(),
        v => v.to_string(),
    }
}

/// One day to be played.
pub struct Task {
    pub experiment: Experiment,
    pub point: Vec<(String, toml::Value)>,
    pub policy: String,
    pub seed: u64,
}

/// Plays days on all cores, or one after the other where times are measured, and hands each result on as it is there.
/// After Ctrl-C those that are under way are finished and the others left out.
pub fn all(tasks: Vec<Task>, one_by_one: bool, done: &(dyn Fn(&Row) + Sync)) -> Result<Vec<Row>, String> {
    let bar = ProgressBar::new(tasks.len() as u64);
    let style = ProgressStyle::with_template("{bar:30} {pos} of {len} days, {eta} left {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let play = |t: &Task| {
        if STOP.load(Ordering::Relaxed) {
            return None;
        }
        let row = Row::of(&t.experiment, &t.point, &t.policy, t.seed);
        if let Ok(row) = &row {
            done(row);
        }
        bar.inc(1);
        Some(row)
    };
    let rows: Result<Vec<Row>, String> = if one_by_one {
        tasks.iter().filter_map(play).collect()
    } else {
        tasks.par_iter().filter_map(play).collect()
    };
    bar.finish_and_clear();
    rows
}
