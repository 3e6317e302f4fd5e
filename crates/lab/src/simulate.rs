//! Simulates days, one or many in parallel, and measures the elapsed time that the policies took.

use crate::experiment::Experiment;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use scalebarrow::{ActionSink, ListUpdate, ListedEndpoint, Outcome, ScopeMemory};
use scalebarrow_emulator::baselines::factory_by_name;
use scalebarrow_emulator::events::LogEntry;
use scalebarrow_emulator::policy::{Policy, SenderStart};
use scalebarrow_emulator::{Counts, Report, Violation, Window, run};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Set by Ctrl-C: days in progress are finished, no others are started.
pub static STOP_REQUESTED: AtomicBool = AtomicBool::new(false);

/// The time that the policies of a day took to handle their inputs. Endpoint lists are measured apart from
/// the rest.
#[derive(Clone, Copy, Debug, Default)]
pub struct PolicyTime {
    /// All inputs except endpoint lists.
    pub total: Duration,
    /// The slowest input, endpoint lists excepted.
    pub slowest: Duration,
    /// The slowest endpoint list.
    pub slowest_list: Duration,
}

/// Wraps a policy and measures the time that it takes for its inputs.
struct TimedPolicy {
    policy: Box<dyn Policy>,
    policy_time: Rc<Cell<PolicyTime>>,
}

impl TimedPolicy {
    /// Makes a call to the policy and adds the time that it takes.
    fn time(&mut self, call: impl FnOnce(&mut dyn Policy)) {
        let started_at = Instant::now();
        call(&mut *self.policy);
        let (elapsed, mut policy_time) = (started_at.elapsed(), self.policy_time.get());
        policy_time.total += elapsed;
        policy_time.slowest = policy_time.slowest.max(elapsed);
        self.policy_time.set(policy_time);
    }
}

impl Policy for TimedPolicy {
    fn update_list(
        &mut self, now: f64, mode: ListUpdate, entries: &[ListedEndpoint], out: &mut dyn ActionSink,
    ) {
        // Lists are no part of the cost of a decision, so they have a figure of their own.
        let started_at = Instant::now();
        self.policy.update_list(now, mode, entries, out);
        let policy_time = self.policy_time.get();
        self.policy_time.set(PolicyTime {
            slowest_list: policy_time.slowest_list.max(started_at.elapsed()),
            ..policy_time
        });
    }
    fn accept(
        &mut self, now: f64, id: u64, event_type: &str, destination: u64, key: Option<&str>,
        customer: Option<&str>, ttl: f64, out: &mut dyn ActionSink,
    ) {
        self.time(|p| p.accept(now, id, event_type, destination, key, customer, ttl, out));
    }
    fn resume(
        &mut self, now: f64, id: u64, event_type: &str, destination: u64, key: Option<&str>,
        customer: Option<&str>, ttl: f64, tries: u32, last_run: Option<(&str, f64)>,
        out: &mut dyn ActionSink,
    ) {
        self.time(|p| p.resume(now, id, event_type, destination, key, customer, ttl, tries, last_run, out));
    }
    fn remember(&mut self, now: f64, memory: &ScopeMemory) {
        self.time(|policy| policy.remember(now, memory));
    }
    fn begin_shutdown(&mut self, now: f64, deadline: f64, out: &mut dyn ActionSink) {
        self.time(|policy| policy.begin_shutdown(now, deadline, out));
    }
    fn may_send(&self, now: f64, id: u64, endpoint: &str) -> bool {
        self.policy.may_send(now, id, endpoint)
    }
    fn attempt_ended(
        &mut self, now: f64, id: u64, endpoint: &str, outcome: Outcome, duration: f64, ended: bool,
        report: Option<(f64, f64)>, out: &mut dyn ActionSink,
    ) {
        self.time(|p| p.attempt_ended(now, id, endpoint, outcome, duration, ended, report, out));
    }
    fn wait_requested(&mut self, now: f64, endpoint: &str, wait: f64, out: &mut dyn ActionSink) {
        self.time(|policy| policy.wait_requested(now, endpoint, wait, out));
    }
    fn withdraw(&mut self, now: f64, id: u64, out: &mut dyn ActionSink) {
        self.time(|policy| policy.withdraw(now, id, out));
    }
    fn wake(&mut self, now: f64, handle: u64, out: &mut dyn ActionSink) {
        self.time(|policy| policy.wake(now, handle, out));
    }
}

thread_local! {
    /// The time taken by the policies of the day that this thread simulates; a day runs on one thread.
    static POLICY_TIME: Rc<Cell<PolicyTime>> = Rc::default();
}

/// Simulates one day. Returns its report, the time that its policies took, and the seconds that the whole day
/// took.
pub fn simulate_day(
    experiment: &Experiment, policy: &str, seed: u64, on_event: &mut dyn FnMut(&LogEntry),
) -> Result<(Report, PolicyTime, f64), String> {
    let factory = factory_by_name(policy).ok_or_else(|| format!("no policy is called {policy:?}"))?;
    let policy_time = POLICY_TIME.with(Rc::clone);
    policy_time.set(PolicyTime::default());
    let timed_factory = move |start: SenderStart| -> Box<dyn Policy> {
        Box::new(TimedPolicy { policy: factory(start), policy_time: POLICY_TIME.with(Rc::clone) })
    };
    let started_at = Instant::now();
    let report = run(&experiment.world, seed, &timed_factory, on_event).map_err(|e| e.to_string())?;
    Ok((report, policy_time.get(), started_at.elapsed().as_secs_f64()))
}

/// The result of one day: a line of `runs.jsonl`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DayResult {
    pub experiment: String,
    /// The fields that the sweeps set, with their values.
    pub point: Vec<(String, String)>,
    pub policy: String,
    pub seed: u64,
    /// The hash of the event log, in hex.
    pub hash: String,
    /// The value delivered as a share of the value of all webhooks handed in.
    pub value: f64,
    /// That share in the window where it was lowest.
    pub worst_window: f64,
    /// Milliseconds from first hand-in to delivery, by percentile.
    pub latency_ms: Vec<(f64, f64)>,
    pub counts: Counts,
    pub windows: Vec<Window>,
    /// Whether Little's law holds at the endpoints, in their queues and at the senders; if it does not, the
    /// model is wrong.
    pub little_holds: bool,
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    #[serde(rename = "lines")]
    pub policy_messages: Vec<String>,
    /// Seconds that this machine took for the day.
    pub wall_s: f64,
    /// Seconds of those that the policies took.
    pub policy_s: f64,
    /// Microseconds that the policies took for an input.
    pub us_per_input: f64,
    /// Microseconds for the slowest input, endpoint lists excepted.
    #[serde(default)]
    pub slowest_us: f64,
    /// Milliseconds for the slowest endpoint list.
    #[serde(default)]
    pub slowest_list_ms: f64,
}

/// The percentiles of latency that are stored and plotted.
const PERCENTILES: [f64; 12] = [1.0, 5.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 99.99, 100.0];

impl DayResult {
    /// Simulates a day and summarizes it.
    pub fn simulate(
        experiment: &Experiment, point: &[(String, toml::Value)], policy: &str, seed: u64,
    ) -> Result<DayResult, String> {
        let (report, policy_time, wall_s) = simulate_day(experiment, policy, seed, &mut |_| {})?;
        let policy_s = policy_time.total.as_secs_f64();
        let latency_ms = |p: f64| (p, report.latency.value_at_quantile(p / 100.0) as f64 / 1e3);
        Ok(DayResult {
            experiment: experiment.name.clone(),
            point: point.iter().map(|(field, value)| (field.clone(), value_text(value))).collect(),
            policy: policy.into(),
            seed,
            hash: format!("{:016x}", report.hash),
            value: report.value,
            worst_window: report.worst_window,
            latency_ms: if report.latency.is_empty() {
                Vec::new()
            } else {
                PERCENTILES.map(latency_ms).to_vec()
            },
            us_per_input: policy_s * 1e6 / report.counts.inputs.max(1) as f64,
            slowest_us: policy_time.slowest.as_secs_f64() * 1e6,
            slowest_list_ms: policy_time.slowest_list.as_secs_f64() * 1e3,
            little_holds: report.little_holds(),
            counts: report.counts,
            windows: report.windows,
            violations: report.violations,
            policy_messages: report.policy_messages,
            wall_s,
            policy_s,
        })
    }
}

fn value_text(value: &toml::Value) -> String {
    match value {
        toml::Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}

/// A day to simulate.
pub struct DayTask {
    pub experiment: Experiment,
    /// The fields that the sweeps set, with their values.
    pub point: Vec<(String, toml::Value)>,
    pub policy: String,
    pub seed: u64,
}

/// Simulates days on all cores, or one after the other if their times are to be measured, and calls
/// `on_result` as each one ends. After Ctrl-C the days in progress are finished and the others left out.
pub fn run_tasks(
    tasks: Vec<DayTask>, sequential: bool, on_result: &(dyn Fn(&DayResult) + Sync),
) -> Result<Vec<DayResult>, String> {
    let bar = ProgressBar::new(tasks.len() as u64);
    let style = ProgressStyle::with_template("{bar:30} {pos} of {len} days, {eta} left {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let run_task = |task: &DayTask| {
        if STOP_REQUESTED.load(Ordering::Relaxed) {
            return None;
        }
        let result = DayResult::simulate(&task.experiment, &task.point, &task.policy, task.seed);
        if let Ok(result) = &result {
            on_result(result);
        }
        bar.inc(1);
        Some(result)
    };
    let results: Result<Vec<DayResult>, String> = if sequential {
        tasks.iter().filter_map(run_task).collect()
    } else {
        tasks.par_iter().filter_map(run_task).collect()
    };
    bar.finish_and_clear();
    results
}
