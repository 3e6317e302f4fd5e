//! Plays one plan and says what came of it.

use super::clients::Door;
use super::nemesis;
use super::plan::{Event, Plan};
use super::testbed::{Subject, Testbed};
use crate::error::Error;
use crate::guard::Guard;
use crate::interrupt::Stop;
use crate::standins::judge::{Breach, RunCounts};
use scalebarrow_fault_control::ControlWord;
use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// After the last webhook's time is up, before the judge speaks.
const MARGIN: Duration = Duration::from_millis(2500);
const LOOK: Duration = Duration::from_millis(20);
/// Faults that began or ended so long before a breach are told with it.
const NEAR: f64 = 3.0;
/// Breaches of a seed that are told with all that is known, and lines of the log with each.
const MOST_BREACHES: usize = 5;
const MOST_LINES: usize = 24;

/// A breach with what was found of it.
pub struct Finding {
    breach: Breach,
    /// The faults round it.
    near: Vec<Event>,
    /// What its sender logged of the webhook.
    lines: Vec<String>,
}

/// What came of a run.
pub struct Outcome {
    pub counts: RunCounts,
    restarts: u32,
    /// Hold-ups, faults of socket calls and of the folder, as the shim counted them.
    faults: [u64; 3],
    findings: Vec<Finding>,
}

impl Outcome {
    /// A text that tells it.
    pub fn report(&self, plan: &Plan) -> String {
        let RunCounts { accepted, refused, unanswered, calls, delivered, given_up, pending, breaches } =
            self.counts;
        let [hold_ups, sockets, folder] = self.faults;
        let mut text = format!(
            "seed {}: {accepted} taken on, {refused} refused, {unanswered} unanswered, {calls} calls, {delivered} \
             delivered, {given_up} given up, {pending} open; {} restarts, {hold_ups} hold-ups, {sockets} socket \
             faults, {folder} folder faults; {breaches} breaches\n",
            plan.seed, self.restarts
        );
        for Finding { breach, near, lines } in &self.findings {
            // Writing to a text does not fail.
            let _ = writeln!(text, "  {:.3} s {:?}: {}", breach.at_secs, breach.rule, breach.text);
            for event in near {
                let _ = writeln!(text, "    near: {event}");
            }
            for line in lines {
                let _ = writeln!(text, "    log: {line}");
            }
        }
        text
    }
}

/// Plays a plan.
pub fn play(program: &Path, plan: &Plan, logs: Option<&Path>, guard: &Arc<Guard>) -> Result<Outcome, Error> {
    let (testbed, mut subjects) = Testbed::prepare(program, plan, guard)?;
    for subject in &mut subjects {
        subject.control.set(ControlWord::Seed, plan.seed ^ u64::from(subject.me) << 40)?;
        subject.sender.start()?;
    }
    let (began, stop) = (Instant::now(), guard.stop());
    let offset = testbed.record.now();
    let restarts = with_load(&testbed, &mut subjects, plan, began, stop)?;
    nemesis::end_all(&testbed)?;
    let until = Instant::now() + Duration::from_secs_f64(plan.settings.ttl) + MARGIN;
    while testbed.record.with(|judge, _| judge.pending_count()) > 0
        && Instant::now() < until
        && !stop.is_set()
    {
        std::thread::sleep(LOOK);
    }
    if let Some(folder) = logs {
        keep_logs(folder, plan, &subjects)?;
    }
    let (counts, breaches) = testbed.record.with(|judge, now| judge.finish(now));
    let sum = |word: ControlWord| subjects.iter().map(|subject| subject.control.get(word).unwrap_or(0)).sum();
    let faults = [ControlWord::HoldUps, ControlWord::SocketFaults, ControlWord::FolderFaults].map(sum);
    let findings =
        breaches.into_iter().take(MOST_BREACHES).map(|breach| find(breach, plan, &subjects, offset));
    Ok(Outcome { counts, restarts, faults, findings: findings.collect() })
}

/// Runs clients and faults until the load ends. Returns how often senders were started again.
fn with_load(
    testbed: &Testbed, subjects: &mut [Subject], plan: &Plan, began: Instant, stop: &Stop,
) -> Result<u32, Error> {
    let (over, settings) = (Stop::default(), &plan.settings);
    let doors: Vec<Door> = subjects
        .iter()
        .map(|subject| Door::new(subject.me, subject.sender.listen, &testbed.record, settings))
        .collect();
    std::thread::scope(|scope| {
        for door in &doors {
            let seed = plan.seed.wrapping_mul(31) ^ u64::from(door.me);
            for client in door.usual(settings.rate, seed) {
                let over = over.clone();
                scope.spawn(move || client(&over));
            }
        }
        let surroundings = scope.spawn(|| nemesis::of_surroundings(testbed, plan, began, stop));
        let senders: Vec<_> = subjects
            .iter_mut()
            .zip(&doors)
            .map(|(subject, door)| {
                scope.spawn(move || nemesis::of_sender(testbed, subject, door, plan, began, stop))
            })
            .collect();
        stop.sleep_until(began + Duration::from_secs_f64(plan.seconds));
        let done: Vec<_> = senders.into_iter().map(|thread| thread.join()).collect();
        let surrounded = surroundings.join();
        over.set();
        let failed = |_| Error::Failed("a thread of the run failed".into());
        surrounded.map_err(failed)??;
        let mut restarts = 0;
        for one in done {
            restarts += one.map_err(failed)??;
        }
        Ok(restarts)
    })
}

/// Copies what the senders logged to a folder.
fn keep_logs(folder: &Path, plan: &Plan, subjects: &[Subject]) -> Result<(), Error> {
    std::fs::create_dir_all(folder)?;
    for subject in subjects {
        let name = format!("seed-{}-sender-{}.log", plan.seed, subject.me);
        std::fs::copy(subject.sender.log_path(), folder.join(name))?;
    }
    Ok(())
}

/// What is known of a breach. `offset` is when the load began, on the judge's clock.
fn find(breach: Breach, plan: &Plan, subjects: &[Subject], offset: f64) -> Finding {
    let at = breach.at_secs - offset;
    let near = plan.events.iter().copied().filter(|event| event.is_near(at, NEAR)).collect();
    let log = |id: &crate::standins::id::WebhookId| {
        let subject = subjects.iter().find(|subject| subject.me == id.sender)?;
        let lines = subject.sender.logged(&format!("\"{id}\""));
        Some(lines.into_iter().take(MOST_LINES).collect::<Vec<_>>())
    };
    let lines = breach.id.as_ref().and_then(log).unwrap_or_default();
    Finding { breach, near, lines }
}
