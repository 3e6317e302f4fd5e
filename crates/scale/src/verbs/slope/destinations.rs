//! What a destination listed costs a sender that has nothing else to do.

use super::{Measured, Quantity, SharedGuard};
use crate::error::Error;
use crate::fleet::{Fleet, Plan};
use std::path::Path;
use std::time::{Duration, Instant};

/// Counts where none are told.
pub const POINTS: &[u64] = &[1_000, 10_000, 30_000, 60_000, 120_000];
/// After it is ready, before memory is read.
const SETTLE: Duration = Duration::from_secs(1);
/// A whole list that is not taken in by then is not taken in at all.
const WHOLE: Duration = Duration::from_secs(15);

const RESIDENT: Quantity = sender("destinations.resident_bytes", "resident memory", "B");
const PEAK: Quantity = sender("destinations.peak_bytes", "peak memory at the start", "B");
const READY: Quantity = sender("destinations.ready_seconds", "time to ready", "s");
const START_TIME: Quantity = sender("destinations.start_cpu_seconds", "processor time of a start", "s");
const LIST: Quantity =
    Quantity { id: "destinations.list_bytes", role: "list", name: "bytes of a whole list", unit: "B" };
const TAKE_WHOLE: Quantity =
    sender("destinations.whole_list_seconds", "time until a whole list is taken in", "s");
const TAKE_WHOLE_PEAK: Quantity =
    sender("destinations.whole_list_peak_bytes", "peak memory with a whole list taken in", "B");

const fn sender(id: &'static str, name: &'static str, unit: &'static str) -> Quantity {
    Quantity { id, role: "sender", name, unit }
}

/// All quantities with so many destinations listed.
pub fn measure(program: &Path, count: u64, guard: &SharedGuard) -> Result<Vec<Measured>, Error> {
    let destinations = u32::try_from(count)
        .map_err(|_| Error::Input(format!("--points {count}: so many destinations cannot be numbered")))?;
    let (fleet, ready) = Fleet::start(&Plan::one(program.to_owned(), destinations, 300), guard)?;
    guard.stop().sleep(SETTLE);
    let sender = &fleet.senders[0];
    let (memory, time) = (sender.memory(), sender.processor_time());
    let list = fleet.list(|list, _| list.full_list_bytes())?;
    let mut all = vec![
        (RESIDENT, memory.resident as f64),
        (PEAK, memory.peak as f64),
        (READY, ready.iter().map(Duration::as_secs_f64).sum()),
        (START_TIME, time),
        (LIST, list as f64),
    ];
    match take_whole(&fleet)? {
        Some(took) => {
            all.extend([(TAKE_WHOLE, took.as_secs_f64()), (TAKE_WHOLE_PEAK, sender.memory().peak as f64)]);
        }
        None => {
            let log = sender.log();
            tracing::warn!(destinations, bytes = list, log, "a whole list was not taken in within {WHOLE:?}");
        }
    }
    Ok(all.into_iter().map(|(quantity, value)| Measured { quantity, value }).collect())
}

/// Tells the sender the whole list. How long it took to take it in; nothing where it did not.
fn take_whole(fleet: &Fleet) -> Result<Option<Duration>, Error> {
    let watching = fleet.wait(WHOLE, |fleet| Ok(fleet.list(|list, _| list.watch_count())? == 1))?;
    if !watching {
        return Err(Error::Failed("the sender does not watch the list".into()));
    }
    let began = Instant::now();
    fleet.list(|list, actions| list.send_full_list(actions))?;
    let taken = fleet.wait(WHOLE, |fleet| Ok(fleet.list(|list, _| list.up_to_date_senders())? == 1))?;
    Ok(taken.then(|| began.elapsed()))
}
