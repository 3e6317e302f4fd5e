//! What a webhook held costs: a backlog that all receivers refuse, a SIGKILL, a start, and its delivery while new ones
//! come.

use super::{Measured, Quantity, SharedGuard};
use crate::error::Error;
use crate::fleet::{Fleet, Plan, judged};
use crate::standins::clients::AnswerStats;
use crate::standins::id::EventType;
use crate::standins::receivers::Behaviour;
use crate::verbs::load::{Load, Task};
use nix::sys::signal::Signal;
use std::cell::Cell;
use std::path::Path;
use std::time::{Duration, Instant};

/// Counts where none are told.
pub const POINTS: &[u64] = &[10_000, 30_000, 100_000, 200_000, 300_000];
/// Destinations of the backlog, and one more that always serves.
const DESTINATIONS: u32 = 100;
const SERVING: u32 = DESTINATIONS;
/// Clients that fill the backlog side by side.
const FILLERS: u32 = 4;
/// Longer than any point takes: no webhook's time may be over meanwhile.
const TTL: Duration = Duration::from_secs(3600);
/// After the backlog stands, before memory is read.
const SETTLE: Duration = Duration::from_secs(1);
/// Room on disk for each webhook that may be held: twice what a journal of today's form counts for one, and a tenth more.
const DISK_EACH: f64 = 1150.0;
const DISK_BASE_MB: f64 = 2.0;
/// Webhooks that may be held beside the backlog.
const MOST_NEW: usize = 2_000;
/// Webhooks that may be held by the settings, beyond the backlog: room on disk is the limit. Who is at this limit looks
/// for one to give up at each hand-in, which is another cost than that of a webhook held.
const MOST_PASSING: usize = 100_000;
/// Enough that no connection has to make room for another: a new one for each call costs more than the call.
const SOCKETS: usize = 1024;
/// New webhooks a second while the backlog is delivered.
const NEW_RATE: f64 = 300.0;
/// Clients that hand them in side by side: one alone would wait through a pause and so count it once.
const NEW_CLIENTS: u32 = 10;
/// Delivery is measured until half of the backlog is delivered, so long at most.
const DELIVERY: Duration = Duration::from_secs(30);
/// Clients whose webhooks pass by the backlog, and for how long at most.
const PASSERS: u32 = 8;
const PASSING: Duration = Duration::from_secs(60);
/// Filling may not take longer.
const FILLING: Duration = Duration::from_secs(300);

const RESIDENT: Quantity =
    Quantity { id: "held.resident_bytes", role: "sender", name: "resident memory", unit: "B" };
const PEAK: Quantity = Quantity { id: "held.peak_bytes", role: "sender", name: "peak memory", unit: "B" };
const AFTER_START: Quantity = Quantity {
    id: "held.resident_after_start_bytes",
    role: "sender",
    name: "resident memory after a restart",
    unit: "B",
};
const DISK: Quantity = Quantity { id: "held.disk_bytes", role: "sender", name: "bytes on disk", unit: "B" };
const READY: Quantity =
    Quantity { id: "held.ready_seconds", role: "sender", name: "time to ready after SIGKILL", unit: "s" };
const DELIVERY_TIME: Quantity = Quantity {
    id: "held.delivery_cpu_seconds",
    role: "sender",
    name: "processor time a delivery out of the backlog",
    unit: "s",
};
const PASSING_P99: Quantity = answer(
    "held.passing_answer_p99_seconds",
    "p99 answer while others pass by the backlog, until the folder was written anew",
);
const PASSING_WORST: Quantity = answer(
    "held.passing_answer_worst_seconds",
    "worst answer while others pass by the backlog, until the folder was written anew",
);
const ANSWER_P50: Quantity = answer("held.answer_p50_seconds", "median answer while a backlog is delivered");
const ANSWER_P99: Quantity = answer("held.answer_p99_seconds", "p99 answer while a backlog is delivered");
const ANSWER_WORST: Quantity =
    answer("held.answer_worst_seconds", "worst answer while a backlog is delivered");

const fn answer(id: &'static str, name: &'static str) -> Quantity {
    Quantity { id, role: "client", name, unit: "s" }
}

/// All quantities with so many webhooks held.
pub fn measure(program: &Path, count: u64, guard: &SharedGuard) -> Result<Vec<Measured>, Error> {
    let disk_mb = DISK_BASE_MB + (count as usize + MOST_NEW) as f64 * DISK_EACH / 1e6;
    let most = count as usize + MOST_PASSING;
    let plan = Plan { disk_mb, sockets: SOCKETS, ..Plan::one(program.to_owned(), DESTINATIONS + 1, most) };
    let (mut fleet, _) = Fleet::start(&plan, guard)?;
    fill(&fleet, count)?;
    guard.stop().sleep(SETTLE);
    let (memory, disk) = (fleet.senders[0].memory(), fleet.senders[0].disk());
    let ready = restart(&mut fleet)?;
    let after_start = fleet.senders[0].memory();
    let passing = pass_by(&fleet)?;
    let (delivery, answers) = deliver(&fleet, count)?;
    judged(&fleet.verdict())?;
    let second = |answers: &AnswerStats, part| answers.latency_millis(part) / 1e3;
    Ok([
        (RESIDENT, memory.resident as f64),
        (PEAK, memory.peak as f64),
        (AFTER_START, after_start.resident as f64),
        (DISK, disk as f64),
        (READY, ready.as_secs_f64()),
        (DELIVERY_TIME, delivery),
        (PASSING_P99, second(&passing, 0.99)),
        (PASSING_WORST, second(&passing, 1.0)),
        (ANSWER_P50, second(&answers, 0.5)),
        (ANSWER_P99, second(&answers, 0.99)),
        (ANSWER_WORST, second(&answers, 1.0)),
    ]
    .map(|(quantity, value)| Measured { quantity, value })
    .to_vec())
}

fn task(fleet: &Fleet, destinations: Vec<u32>, first: u32, count: u64, rate: f64) -> Task {
    let (to, event_types) = (fleet.senders[0].listen, vec![EventType::Idempotent]);
    Task { to, sender: 0, destinations, event_types, ttl: TTL, first, count, rate }
}

/// Hands in as many as are to be held.
fn fill(fleet: &Fleet, count: u64) -> Result<(), Error> {
    let began = Instant::now();
    let share =
        |own: u32| count / u64::from(FILLERS) + u64::from(u64::from(own) < count % u64::from(FILLERS));
    let tasks = (0..FILLERS).map(|own| {
        let destinations = (0..DESTINATIONS).filter(|dest| dest % FILLERS == own).collect();
        task(fleet, destinations, 0, share(own), f64::INFINITY)
    });
    let load = Load::start(tasks.collect(), &fleet.record, fleet.guard.stop())?;
    let full = fleet.wait(FILLING, |fleet| Ok(fleet.open() >= count))?;
    let answers = load.finish()?;
    tracing::info!(
        held = answers.accepted,
        refused = answers.refused,
        unheard = answers.unanswered,
        took = ?began.elapsed(),
        "filled"
    );
    if full { Ok(()) } else { Err(Error::Failed(format!("{} of {count} were taken on", answers.accepted))) }
}

/// Kills the sender and starts it again; how long it took to be ready.
fn restart(fleet: &mut Fleet) -> Result<Duration, Error> {
    fleet.record.with(|judge, now| judge.record_sender_stop(0, now));
    fleet.senders[0].end(Signal::SIGKILL)?;
    let took = fleet.senders[0].start()?;
    fleet.record.with(|judge, now| judge.record_sender_ready(0, now));
    Ok(took)
}

/// Hands in webhooks that are delivered at once, as fast as they are taken on, until the folder has shrunk: then it was
/// written anew, or a part of it given up. Returns the answers.
fn pass_by(fleet: &Fleet) -> Result<AnswerStats, Error> {
    fleet.receivers(|receivers, _| {
        receivers.set_destination_behaviour(SERVING, Some(Behaviour::Serve(Duration::ZERO)))
    })?;
    let first = |own: u32| u32::MAX / PASSERS * own;
    let tasks = (0..PASSERS).map(|own| task(fleet, vec![SERVING], first(own), u64::MAX, f64::INFINITY));
    let load = Load::start(tasks.collect(), &fleet.record, fleet.guard.stop())?;
    let (sender, largest) = (&fleet.senders[0], Cell::new(0));
    let shrank = fleet.wait(PASSING, |_| {
        let size = sender.disk();
        largest.set(largest.get().max(size));
        Ok(size < largest.get() / 10 * 9)
    })?;
    let answers = load.finish()?;
    tracing::info!(passed = answers.accepted, refused = answers.refused, shrank, "others passed by");
    Ok(answers)
}

/// Has half of the backlog delivered while new webhooks come. Returns the processor time of a delivery, and the answers
/// to the new ones.
fn deliver(fleet: &Fleet, count: u64) -> Result<(f64, AnswerStats), Error> {
    let sender = &fleet.senders[0];
    fleet.receivers(|receivers, _| receivers.set_default_behaviour(Behaviour::Serve(Duration::ZERO)))?;
    let new = (0..NEW_CLIENTS).map(|own| {
        let destinations = (0..DESTINATIONS).filter(|dest| dest % NEW_CLIENTS == own).collect();
        task(fleet, destinations, u32::MAX / 2, u64::MAX, NEW_RATE / f64::from(NEW_CLIENTS))
    });
    let (calls, time) = (fleet.receivers(|receivers, _| receivers.call_count())?, sender.processor_time());
    let load = Load::start(new.collect(), &fleet.record, fleet.guard.stop())?;
    fleet.wait(DELIVERY, move |fleet| {
        Ok(fleet.receivers(|receivers, _| receivers.call_count())? >= calls + count / 2)
    })?;
    let time = sender.processor_time() - time;
    let calls = fleet.receivers(|receivers, _| receivers.call_count())? - calls;
    let answers = load.finish()?;
    tracing::info!(calls, time, new = answers.accepted, refused = answers.refused, "delivered");
    if calls == 0 {
        return Err(Error::Failed("nothing of the backlog was delivered".into()));
    }
    Ok((time / calls as f64, answers))
}
