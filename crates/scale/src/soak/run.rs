//! Runs one plan and reports its outcome.

use super::clients::ClientFactory;
use super::fault_injection;
use super::plan::{Fault, Plan};
use super::testbed::{SenderUnderTest, Testbed};
use crate::error::Error;
use crate::guard::Guard;
use crate::interrupt::StopFlag;
use crate::standins::judge::{Breach, RunCounts};
use scalebarrow_fault_control::ControlWord;
use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long after the last webhook's deadline the judge waits for final answers.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(2500);
/// How often it is checked whether webhooks are still pending.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Faults that are active this close to a breach are reported with it.
const NEARBY_FAULT_SECS: f64 = 3.0;
/// Breaches that the report of a seed describes at most; the others are only counted.
const MAX_REPORTED_BREACHES: usize = 5;
/// Log lines that the report shows for one breach at most.
const MAX_LOG_LINES: usize = 24;

/// A breach with what may explain it.
pub struct ReportedBreach {
    breach: Breach,
    /// The faults around the time of the breach.
    nearby_faults: Vec<Fault>,
    /// What the sender logged about the webhook.
    log_lines: Vec<String>,
}

/// The outcome of a run.
pub struct RunOutcome {
    /// What the judge counted.
    pub counts: RunCounts,
    /// How often senders were started again.
    restarts: u32,
    /// Pauses after clock reads, failed or short socket calls, and failed or short calls on the state folder,
    /// as the fault shim counted them.
    shim_faults: [u64; 3],
    reported_breaches: Vec<ReportedBreach>,
}

impl RunOutcome {
    /// The report of the run as text.
    pub fn report(&self, plan: &Plan) -> String {
        let RunCounts { accepted, refused, unanswered, calls, delivered, given_up, pending, breaches } =
            self.counts;
        let [hold_ups, sockets, folder] = self.shim_faults;
        let mut text = format!(
            "seed {}: {accepted} taken on, {refused} refused, {unanswered} unanswered, {calls} calls, {delivered} \
             delivered, {given_up} given up, {pending} open; {} restarts, {hold_ups} hold-ups, {sockets} socket \
             faults, {folder} folder faults; {breaches} breaches\n",
            plan.seed, self.restarts
        );
        for ReportedBreach { breach, nearby_faults, log_lines } in &self.reported_breaches {
            // Writing to a string does not fail.
            let _ = writeln!(text, "  {:.3} s {:?}: {}", breach.at_secs, breach.rule, breach.text);
            for fault in nearby_faults {
                let _ = writeln!(text, "    near: {fault}");
            }
            for line in log_lines {
                let _ = writeln!(text, "    log: {line}");
            }
        }
        text
    }
}

/// Runs a plan. The senders' logs are copied to the folder `logs` if one is given.
pub fn run_plan(
    program: &Path, plan: &Plan, logs: Option<&Path>, guard: &Arc<Guard>,
) -> Result<RunOutcome, Error> {
    let (testbed, mut subjects) = Testbed::prepare(program, plan, guard)?;
    for subject in &mut subjects {
        subject.shim_control.set(ControlWord::Seed, plan.seed ^ u64::from(subject.number) << 40)?;
        subject.process.start()?;
    }
    let (began_at, stop) = (Instant::now(), guard.stop_flag());
    let load_start_secs = testbed.judge.now();
    let restarts = run_load(&testbed, &mut subjects, plan, began_at, stop)?;
    fault_injection::clear_environment_faults(&testbed)?;
    let wait_until = Instant::now() + Duration::from_secs_f64(plan.settings.ttl_secs) + FINAL_ANSWER_MARGIN;
    while testbed.judge.with(|judge, _| judge.pending_count()) > 0
        && Instant::now() < wait_until
        && !stop.is_set()
    {
        std::thread::sleep(POLL_INTERVAL);
    }
    if let Some(folder) = logs {
        copy_logs(folder, plan, &subjects)?;
    }
    let (counts, breaches) = testbed.judge.with(|judge, now| judge.finish(now));
    let sum =
        |word: ControlWord| subjects.iter().map(|subject| subject.shim_control.get(word).unwrap_or(0)).sum();
    let shim_faults = [ControlWord::HoldUps, ControlWord::SocketFaults, ControlWord::FolderFaults].map(sum);
    let reported_breaches = breaches
        .into_iter()
        .take(MAX_REPORTED_BREACHES)
        .map(|breach| explain_breach(breach, plan, &subjects, load_start_secs));
    Ok(RunOutcome { counts, restarts, shim_faults, reported_breaches: reported_breaches.collect() })
}

/// Runs clients and faults until the load ends. Returns how often senders were started again.
fn run_load(
    testbed: &Testbed, subjects: &mut [SenderUnderTest], plan: &Plan, began_at: Instant, stop: &StopFlag,
) -> Result<u32, Error> {
    let (load_ended, settings) = (StopFlag::default(), &plan.settings);
    let factories: Vec<ClientFactory> = subjects
        .iter()
        .map(|subject| {
            ClientFactory::new(subject.number, subject.process.listen_address, &testbed.judge, settings)
        })
        .collect();
    std::thread::scope(|scope| {
        for factory in &factories {
            let seed = plan.seed.wrapping_mul(31) ^ u64::from(factory.sender);
            for client in factory.permanent_clients(settings.webhooks_per_sec, seed) {
                let load_ended = load_ended.clone();
                scope.spawn(move || client(&load_ended));
            }
        }
        let environment =
            scope.spawn(|| fault_injection::inject_environment_faults(testbed, plan, began_at, stop));
        let sender_threads: Vec<_> = subjects
            .iter_mut()
            .zip(&factories)
            .map(|(subject, factory)| {
                scope.spawn(move || {
                    fault_injection::inject_sender_faults(testbed, subject, factory, plan, began_at, stop)
                })
            })
            .collect();
        stop.sleep_until(began_at + Duration::from_secs_f64(plan.load_secs));
        let sender_results: Vec<_> = sender_threads.into_iter().map(|thread| thread.join()).collect();
        let environment_result = environment.join();
        load_ended.set();
        let panicked = |_| Error::Failed("a thread of the run panicked".into());
        environment_result.map_err(panicked)??;
        let mut restarts = 0;
        for result in sender_results {
            restarts += result.map_err(panicked)??;
        }
        Ok(restarts)
    })
}

/// Copies the senders' logs to a folder.
fn copy_logs(folder: &Path, plan: &Plan, subjects: &[SenderUnderTest]) -> Result<(), Error> {
    std::fs::create_dir_all(folder)?;
    for subject in subjects {
        let name = format!("seed-{}-sender-{}.log", plan.seed, subject.number);
        std::fs::copy(subject.process.log_path(), folder.join(name))?;
    }
    Ok(())
}

/// Finds the faults and log lines that may explain a breach. The load began at `load_start_secs` on the
/// judge's clock.
fn explain_breach(
    breach: Breach, plan: &Plan, subjects: &[SenderUnderTest], load_start_secs: f64,
) -> ReportedBreach {
    let at_secs = breach.at_secs - load_start_secs;
    let nearby_faults =
        plan.faults.iter().copied().filter(|fault| fault.is_near(at_secs, NEARBY_FAULT_SECS)).collect();
    let find_log_lines = |id: &crate::standins::id::WebhookId| {
        let subject = subjects.iter().find(|subject| subject.number == id.sender)?;
        let lines = subject.process.log_lines_with(&format!("\"{id}\""));
        Some(lines.into_iter().take(MAX_LOG_LINES).collect::<Vec<_>>())
    };
    let log_lines = breach.id.as_ref().and_then(find_log_lines).unwrap_or_default();
    ReportedBreach { breach, nearby_faults, log_lines }
}
