//! Measures what each destination in the endpoint list costs a sender without webhooks.

use super::{Measurement, Quantity, SharedGuard};
use crate::error::Error;
use crate::fleet::{Fleet, FleetPlan};
use std::path::Path;
use std::time::{Duration, Instant};

/// Destinations to measure at by default.
pub const DEFAULT_POINTS: &[u64] = &[1_000, 10_000, 30_000, 60_000, 120_000];
/// The pause between the start of the sender and the reading of its memory.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// How long the sender may take to start its watch, and to apply a full list.
const FULL_LIST_TIMEOUT: Duration = Duration::from_secs(15);

const RESIDENT_MEMORY: Quantity = sender_quantity("destinations.resident_bytes", "resident memory", "B");
const PEAK_MEMORY: Quantity = sender_quantity("destinations.peak_bytes", "peak memory at the start", "B");
const TIME_TO_READY: Quantity = sender_quantity("destinations.ready_seconds", "time to ready", "s");
const START_CPU_TIME: Quantity =
    sender_quantity("destinations.start_cpu_seconds", "processor time of a start", "s");
const FULL_LIST_SIZE: Quantity =
    Quantity { id: "destinations.list_bytes", role: "list", name: "bytes of a whole list", unit: "B" };
const FULL_LIST_TIME: Quantity =
    sender_quantity("destinations.whole_list_seconds", "time until a whole list is taken in", "s");
const FULL_LIST_PEAK_MEMORY: Quantity =
    sender_quantity("destinations.whole_list_peak_bytes", "peak memory with a whole list taken in", "B");

/// A quantity of the sender.
const fn sender_quantity(id: &'static str, name: &'static str, unit: &'static str) -> Quantity {
    Quantity { id, role: "sender", name, unit }
}

/// Measures all quantities with `count` destinations in the list.
pub fn measure(program: &Path, count: u64, guard: &SharedGuard) -> Result<Vec<Measurement>, Error> {
    let destination_count =
        u32::try_from(count).map_err(|_| Error::Input(format!("--points {count}: too many destinations")))?;
    let (fleet, ready_after) =
        Fleet::start(&FleetPlan::single_sender(program.to_owned(), destination_count, 300), guard)?;
    guard.stop_flag().sleep(SETTLE_TIME);
    let sender = &fleet.senders[0];
    let (memory, cpu_secs) = (sender.memory(), sender.cpu_secs());
    let list_bytes = fleet.with_list_service(|list, _| list.full_list_bytes())?;
    let mut values = vec![
        (RESIDENT_MEMORY, memory.resident_bytes as f64),
        (PEAK_MEMORY, memory.peak_bytes as f64),
        (TIME_TO_READY, ready_after.iter().map(Duration::as_secs_f64).sum()),
        (START_CPU_TIME, cpu_secs),
        (FULL_LIST_SIZE, list_bytes as f64),
    ];
    match time_full_list(&fleet)? {
        Some(took) => {
            values.extend([
                (FULL_LIST_TIME, took.as_secs_f64()),
                (FULL_LIST_PEAK_MEMORY, sender.memory().peak_bytes as f64),
            ]);
        }
        None => {
            let log = sender.log_tail();
            tracing::warn!(
                destinations = destination_count,
                bytes = list_bytes,
                log,
                "the sender did not apply a full list within {FULL_LIST_TIMEOUT:?}"
            );
        }
    }
    Ok(values.into_iter().map(|(quantity, value)| Measurement { quantity, value }).collect())
}

/// Sends the sender the full list and measures how long it takes to apply it; `None` if it does not within
/// the timeout.
fn time_full_list(fleet: &Fleet) -> Result<Option<Duration>, Error> {
    let has_watch = fleet.wait_until(FULL_LIST_TIMEOUT, |fleet| {
        Ok(fleet.with_list_service(|list, _| list.watch_count())? == 1)
    })?;
    if !has_watch {
        return Err(Error::Failed("the sender has no watch on the list".into()));
    }
    let began_at = Instant::now();
    fleet.with_list_service(|list, actions| list.send_full_list(actions))?;
    let applied = fleet.wait_until(FULL_LIST_TIMEOUT, |fleet| {
        Ok(fleet.with_list_service(|list, _| list.up_to_date_senders())? == 1)
    })?;
    Ok(applied.then(|| began_at.elapsed()))
}
