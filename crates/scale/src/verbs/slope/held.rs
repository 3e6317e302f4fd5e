//! Measures what each pending webhook costs a sender: builds up a backlog that all receivers refuse, kills
//! the sender, starts it again, and has the backlog delivered while clients hand in new webhooks.

use super::{Measurement, Quantity, SharedGuard};
use crate::error::Error;
use crate::fleet::{Fleet, FleetPlan, check_verdict};
use crate::standins::clients::AnswerStats;
use crate::standins::id::EventType;
use crate::standins::receivers::Behaviour;
use crate::verbs::load::{ClientTask, Load};
use nix::sys::signal::Signal;
use std::cell::Cell;
use std::path::Path;
use std::time::{Duration, Instant};

/// Pending webhooks to measure at by default.
pub const DEFAULT_POINTS: &[u64] = &[10_000, 30_000, 100_000, 200_000, 300_000];
/// The destinations of the backlog.
const BACKLOG_DESTINATIONS: u32 = 100;
/// One more destination, which answers calls while those of the backlog refuse them.
const SERVING_DESTINATION: u32 = BACKLOG_DESTINATIONS;
/// Clients that fill the backlog at the same time.
const FILL_CLIENTS: u32 = 4;
/// Longer than the measurement at any count, so that no webhook expires meanwhile.
const TTL: Duration = Duration::from_secs(3600);
/// The pause between the filling of the backlog and the reading of the memory.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Disk space for each pending webhook: twice what the journal's present format needs for one, and a tenth
/// more.
const DISK_BYTES_PER_WEBHOOK: f64 = 1150.0;
/// Disk space that does not depend on the backlog.
const DISK_BASE_MB: f64 = 2.0;
/// Pending webhooks beyond the backlog for which there is disk space.
const EXTRA_PENDING_ON_DISK: usize = 2_000;
/// Pending webhooks beyond the backlog that the settings allow, so many that disk space is the limit that
/// applies. At the limit of the settings a sender searches for a webhook to give up whenever one is handed
/// in, which is a cost other than that of a pending webhook.
const EXTRA_PENDING_ALLOWED: usize = 100_000;
/// Enough that the sender never closes a connection to open another: a new connection for each call costs
/// more than the call.
const MAX_SOCKETS: usize = 1024;
/// Webhooks that clients hand in per second while the backlog is delivered.
const NEW_WEBHOOKS_PER_SEC: f64 = 300.0;
/// Clients that hand them in at the same time. A single client would wait during a pause of the sender, and
/// so measure the pause only once.
const NEW_CLIENTS: u32 = 10;
/// How long the delivery is measured, unless half of the backlog is delivered before.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Clients that hand in webhooks for the serving destination while the backlog is pending.
const BYPASS_CLIENTS: u32 = 8;
/// How long they do so at most.
const BYPASS_TIMEOUT: Duration = Duration::from_secs(60);
/// How long filling the backlog may take.
const FILL_TIMEOUT: Duration = Duration::from_secs(300);

const RESIDENT_MEMORY: Quantity =
    Quantity { id: "held.resident_bytes", role: "sender", name: "resident memory", unit: "B" };
const PEAK_MEMORY: Quantity =
    Quantity { id: "held.peak_bytes", role: "sender", name: "peak memory", unit: "B" };
const RESIDENT_MEMORY_AFTER_START: Quantity = Quantity {
    id: "held.resident_after_start_bytes",
    role: "sender",
    name: "resident memory after a restart",
    unit: "B",
};
const DISK_USAGE: Quantity =
    Quantity { id: "held.disk_bytes", role: "sender", name: "bytes on disk", unit: "B" };
const TIME_TO_READY: Quantity =
    Quantity { id: "held.ready_seconds", role: "sender", name: "time to ready after SIGKILL", unit: "s" };
const DELIVERY_CPU_TIME: Quantity = Quantity {
    id: "held.delivery_cpu_seconds",
    role: "sender",
    name: "processor time a delivery out of the backlog",
    unit: "s",
};
const BYPASS_ANSWER_P99: Quantity = answer_quantity(
    "held.passing_answer_p99_seconds",
    "p99 answer while others pass by the backlog, until the folder was written anew",
);
const BYPASS_ANSWER_WORST: Quantity = answer_quantity(
    "held.passing_answer_worst_seconds",
    "worst answer while others pass by the backlog, until the folder was written anew",
);
const DELIVERY_ANSWER_P50: Quantity =
    answer_quantity("held.answer_p50_seconds", "median answer while a backlog is delivered");
const DELIVERY_ANSWER_P99: Quantity =
    answer_quantity("held.answer_p99_seconds", "p99 answer while a backlog is delivered");
const DELIVERY_ANSWER_WORST: Quantity =
    answer_quantity("held.answer_worst_seconds", "worst answer while a backlog is delivered");

/// A quantity of the answers that clients get.
const fn answer_quantity(id: &'static str, name: &'static str) -> Quantity {
    Quantity { id, role: "client", name, unit: "s" }
}

/// Measures all quantities with `count` pending webhooks.
pub fn measure(program: &Path, count: u64, guard: &SharedGuard) -> Result<Vec<Measurement>, Error> {
    let disk_limit_mb =
        DISK_BASE_MB + (count as usize + EXTRA_PENDING_ON_DISK) as f64 * DISK_BYTES_PER_WEBHOOK / 1e6;
    let max_pending = count as usize + EXTRA_PENDING_ALLOWED;
    let plan = FleetPlan {
        disk_limit_mb,
        max_sockets: MAX_SOCKETS,
        ..FleetPlan::single_sender(program.to_owned(), BACKLOG_DESTINATIONS + 1, max_pending)
    };
    let (mut fleet, _) = Fleet::start(&plan, guard)?;
    fill_backlog(&fleet, count)?;
    guard.stop_flag().sleep(SETTLE_TIME);
    let (memory, state_bytes) = (fleet.senders[0].memory(), fleet.senders[0].state_bytes());
    let ready_after = restart_sender(&mut fleet)?;
    let memory_after_start = fleet.senders[0].memory();
    let bypass_answers = measure_bypass(&fleet)?;
    let (delivery_cpu_secs, delivery_answers) = measure_delivery(&fleet, count)?;
    check_verdict(&fleet.verdict())?;
    let latency_secs = |answers: &AnswerStats, quantile| answers.latency_millis(quantile) / 1e3;
    Ok([
        (RESIDENT_MEMORY, memory.resident_bytes as f64),
        (PEAK_MEMORY, memory.peak_bytes as f64),
        (RESIDENT_MEMORY_AFTER_START, memory_after_start.resident_bytes as f64),
        (DISK_USAGE, state_bytes as f64),
        (TIME_TO_READY, ready_after.as_secs_f64()),
        (DELIVERY_CPU_TIME, delivery_cpu_secs),
        (BYPASS_ANSWER_P99, latency_secs(&bypass_answers, 0.99)),
        (BYPASS_ANSWER_WORST, latency_secs(&bypass_answers, 1.0)),
        (DELIVERY_ANSWER_P50, latency_secs(&delivery_answers, 0.5)),
        (DELIVERY_ANSWER_P99, latency_secs(&delivery_answers, 0.99)),
        (DELIVERY_ANSWER_WORST, latency_secs(&delivery_answers, 1.0)),
    ]
    .map(|(quantity, value)| Measurement { quantity, value })
    .to_vec())
}

/// A task for a client of the only sender.
fn client_task(
    fleet: &Fleet, destinations: Vec<u32>, first_number: u32, max_accepted: u64, webhooks_per_sec: f64,
) -> ClientTask {
    let (sender_address, event_types) = (fleet.senders[0].listen_address, vec![EventType::Idempotent]);
    ClientTask {
        sender_address,
        sender: 0,
        destinations,
        event_types,
        ttl: TTL,
        first_number,
        max_accepted,
        webhooks_per_sec,
    }
}

/// Hands in webhooks until `count` of them are pending.
fn fill_backlog(fleet: &Fleet, count: u64) -> Result<(), Error> {
    let began_at = Instant::now();
    let count_of = |client: u32| {
        count / u64::from(FILL_CLIENTS) + u64::from(u64::from(client) < count % u64::from(FILL_CLIENTS))
    };
    let tasks = (0..FILL_CLIENTS).map(|client| {
        let destinations =
            (0..BACKLOG_DESTINATIONS).filter(|destination| destination % FILL_CLIENTS == client).collect();
        client_task(fleet, destinations, 0, count_of(client), f64::INFINITY)
    });
    let load = Load::start(tasks.collect(), &fleet.judge, fleet.guard.stop_flag())?;
    let is_filled = fleet.wait_until(FILL_TIMEOUT, |fleet| Ok(fleet.pending_count() >= count))?;
    let answers = load.finish()?;
    tracing::info!(
        held = answers.accepted,
        refused = answers.refused,
        unheard = answers.unanswered,
        took = ?began_at.elapsed(),
        "stopped filling the backlog"
    );
    if is_filled {
        Ok(())
    } else {
        Err(Error::Failed(format!("{} of {count} webhooks were accepted", answers.accepted)))
    }
}

/// Kills the sender and starts it again. Returns how long it took to be ready.
fn restart_sender(fleet: &mut Fleet) -> Result<Duration, Error> {
    fleet.judge.with(|judge, now| judge.record_sender_stop(0, now));
    fleet.senders[0].signal_and_wait(Signal::SIGKILL)?;
    let ready_after = fleet.senders[0].start()?;
    fleet.judge.with(|judge, now| judge.record_sender_ready(0, now));
    Ok(ready_after)
}

/// Hands in webhooks that are delivered at once, as fast as the sender answers, until its state folder has
/// shrunk. Then the sender has rewritten the folder or dropped a part of it. Returns the answers.
fn measure_bypass(fleet: &Fleet) -> Result<AnswerStats, Error> {
    fleet.with_receivers(|receivers, _| {
        receivers.set_destination_behaviour(SERVING_DESTINATION, Some(Behaviour::Serve(Duration::ZERO)))
    })?;
    let first_number = |client: u32| u32::MAX / BYPASS_CLIENTS * client;
    let tasks = (0..BYPASS_CLIENTS).map(|client| {
        client_task(fleet, vec![SERVING_DESTINATION], first_number(client), u64::MAX, f64::INFINITY)
    });
    let load = Load::start(tasks.collect(), &fleet.judge, fleet.guard.stop_flag())?;
    let (sender, max_bytes) = (&fleet.senders[0], Cell::new(0));
    let shrank = fleet.wait_until(BYPASS_TIMEOUT, |_| {
        let state_bytes = sender.state_bytes();
        max_bytes.set(max_bytes.get().max(state_bytes));
        Ok(state_bytes < max_bytes.get() / 10 * 9)
    })?;
    let answers = load.finish()?;
    tracing::info!(
        passed = answers.accepted,
        refused = answers.refused,
        shrank,
        "webhooks were delivered past the backlog"
    );
    Ok(answers)
}

/// Has half of the backlog delivered while clients hand in new webhooks. Returns the processor time of one
/// delivery in seconds, and the answers to the new webhooks.
fn measure_delivery(fleet: &Fleet, count: u64) -> Result<(f64, AnswerStats), Error> {
    let sender = &fleet.senders[0];
    fleet.with_receivers(|receivers, _| receivers.set_default_behaviour(Behaviour::Serve(Duration::ZERO)))?;
    let tasks = (0..NEW_CLIENTS).map(|client| {
        let destinations =
            (0..BACKLOG_DESTINATIONS).filter(|destination| destination % NEW_CLIENTS == client).collect();
        client_task(
            fleet,
            destinations,
            u32::MAX / 2,
            u64::MAX,
            NEW_WEBHOOKS_PER_SEC / f64::from(NEW_CLIENTS),
        )
    });
    let (calls_before, cpu_secs_before) =
        (fleet.with_receivers(|receivers, _| receivers.call_count())?, sender.cpu_secs());
    let load = Load::start(tasks.collect(), &fleet.judge, fleet.guard.stop_flag())?;
    fleet.wait_until(DELIVERY_TIMEOUT, move |fleet| {
        Ok(fleet.with_receivers(|receivers, _| receivers.call_count())? >= calls_before + count / 2)
    })?;
    let cpu_secs = sender.cpu_secs() - cpu_secs_before;
    let calls = fleet.with_receivers(|receivers, _| receivers.call_count())? - calls_before;
    let answers = load.finish()?;
    tracing::info!(
        calls,
        time = cpu_secs,
        new = answers.accepted,
        refused = answers.refused,
        "half of the backlog is delivered, or the time for it is over"
    );
    if calls == 0 {
        return Err(Error::Failed("no webhook of the backlog was delivered".into()));
    }
    Ok((cpu_secs / calls as f64, answers))
}
