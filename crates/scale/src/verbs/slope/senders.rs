//! Measures what each sender costs the other parties: calls to a destination in an outage, as every sender
//! with webhooks for it tries on its own, and calls to the list service.

use super::{Measurement, Quantity, SharedGuard};
use crate::error::Error;
use crate::fleet::{Fleet, FleetPlan, check_verdict};
use crate::standins::id::EventType;
use crate::standins::receivers::Behaviour;
use crate::verbs::load::{ClientTask, Load};
use std::path::Path;
use std::time::{Duration, Instant};

/// Senders to measure at by default.
pub const DEFAULT_POINTS: &[u64] = &[1, 5, 10, 20, 40];
/// The most real senders of a run; those beyond are hollow.
pub const MAX_REAL_SENDERS: usize = 40;
/// Destinations in the endpoint list.
const DESTINATION_COUNT: u32 = 20;
/// The destination that has an outage.
const OUTAGE_DESTINATION: u32 = 0;
/// The rate that the list names for each destination, if it names rates.
const CALLS_PER_SEC: f64 = 20.0;
/// Webhooks for the destination in outage that each sender accepts.
const PENDING_WEBHOOKS: u64 = 5;
/// Longer than any measurement, so that no webhook expires meanwhile.
const TTL: Duration = Duration::from_secs(3600);

/// How long each variant runs.
#[derive(Debug, Clone, Copy)]
pub struct Spans {
    /// Before calls are counted: the longer a destination is down, the less often a sender tries it.
    pub settle: Duration,
    /// While calls are counted.
    pub measure: Duration,
}

/// Long enough to count calls that a sender makes only every ten seconds.
pub const DEFAULT_SPANS: Spans = Spans { settle: Duration::from_secs(20), measure: Duration::from_secs(30) };

/// One way in which senders get the list and the rates, with the quantities to measure.
#[derive(Clone, Copy)]
struct Variant {
    /// Whether the list names the rates that destinations can take.
    rates_listed: bool,
    /// Whether senders request the list; otherwise it is pushed to them.
    pulls_list: bool,
    /// Calls to the destination in outage.
    destination_calls: Quantity,
    /// Calls for the list.
    list_calls: Quantity,
    /// Bytes of the answers to them.
    list_bytes: Quantity,
}

const VARIANTS: [Variant; 3] = [
    Variant {
        rates_listed: true,
        pulls_list: false,
        destination_calls: destination_calls(
            "senders.down_tries_per_second",
            "tries at a destination that is down, rates listed",
        ),
        list_calls: list_calls("senders.list_calls_per_second", "list calls, lists pushed"),
        list_bytes: list_bytes("senders.list_bytes_per_second", "bytes of list answers, lists pushed"),
    },
    Variant {
        rates_listed: false,
        pulls_list: false,
        destination_calls: destination_calls(
            "senders.down_tries_unlisted_per_second",
            "tries at a destination that is down, no rates",
        ),
        list_calls: list_calls(
            "senders.unlisted_list_calls_per_second",
            "list calls, lists pushed, no rates",
        ),
        list_bytes: list_bytes(
            "senders.unlisted_list_bytes_per_second",
            "bytes of list answers, lists pushed, no rates",
        ),
    },
    Variant {
        rates_listed: true,
        pulls_list: true,
        destination_calls: destination_calls(
            "senders.asking_down_tries_per_second",
            "tries at a destination that is down, lists asked for",
        ),
        list_calls: list_calls("senders.asking_list_calls_per_second", "list calls, lists asked for"),
        list_bytes: list_bytes(
            "senders.asking_list_bytes_per_second",
            "bytes of list answers, lists asked for",
        ),
    },
];

/// A quantity of calls to the destination in outage.
const fn destination_calls(id: &'static str, name: &'static str) -> Quantity {
    Quantity { id, role: "receiver", name, unit: "1/s" }
}

/// A quantity of calls for the list.
const fn list_calls(id: &'static str, name: &'static str) -> Quantity {
    Quantity { id, role: "list", name, unit: "1/s" }
}

/// A quantity of bytes in answers to calls for the list.
const fn list_bytes(id: &'static str, name: &'static str) -> Quantity {
    Quantity { id, role: "list", name, unit: "B/s" }
}

/// Measures all quantities of all variants with `count` senders.
pub fn measure(
    program: &Path, count: u64, spans: Spans, guard: &SharedGuard,
) -> Result<Vec<Measurement>, Error> {
    let mut measurements = Vec::new();
    for variant in &VARIANTS {
        measurements.extend(measure_variant(program, count as usize, variant, spans, guard)?);
    }
    Ok(measurements)
}

/// Measures the quantities of one variant.
fn measure_variant(
    program: &Path, sender_count: usize, variant: &Variant, spans: Spans, guard: &SharedGuard,
) -> Result<Vec<Measurement>, Error> {
    let plan = FleetPlan {
        sender_count: sender_count.min(MAX_REAL_SENDERS),
        hollow_count: sender_count.saturating_sub(MAX_REAL_SENDERS),
        calls_per_sec: CALLS_PER_SEC,
        rates_listed: variant.rates_listed,
        pulls_list: variant.pulls_list,
        behaviour: Behaviour::Serve(Duration::ZERO),
        ..FleetPlan::single_sender(program.to_owned(), DESTINATION_COUNT, 300)
    };
    let (fleet, _) = Fleet::start(&plan, guard)?;
    fleet.with_receivers(|receivers, _| {
        receivers.begin_outage(OUTAGE_DESTINATION, Behaviour::Fail, CALLS_PER_SEC)
    })?;
    hand_in_for_outage(&fleet)?;
    guard.stop_flag().sleep(spans.settle);
    let before = count_calls(&fleet)?;
    let began_at = Instant::now();
    guard.stop_flag().sleep(spans.measure);
    let (after, took_secs) = (count_calls(&fleet)?, began_at.elapsed().as_secs_f64());
    guard.check()?;
    check_verdict(&fleet.verdict())?;
    let quantities = [variant.destination_calls, variant.list_calls, variant.list_bytes];
    let rates = before.iter().zip(after).map(|(before, after)| (after - before) as f64 / took_secs);
    Ok(quantities.into_iter().zip(rates).map(|(quantity, value)| Measurement { quantity, value }).collect())
}

/// Hands in some webhooks for the destination in outage to each sender.
fn hand_in_for_outage(fleet: &Fleet) -> Result<(), Error> {
    let tasks = fleet.listen_addresses.iter().enumerate().map(|(sender, address)| ClientTask {
        sender_address: *address,
        sender: sender as u16,
        destinations: vec![OUTAGE_DESTINATION],
        event_types: vec![EventType::Idempotent],
        ttl: TTL,
        first_number: 0,
        max_accepted: PENDING_WEBHOOKS,
        webhooks_per_sec: f64::INFINITY,
    });
    let answers = Load::start(tasks.collect(), &fleet.judge, fleet.guard.stop_flag())?.join()?;
    tracing::info!(
        held = answers.accepted,
        refused = answers.refused,
        "webhooks for the destination in outage are pending"
    );
    Ok(())
}

/// Calls to the destination in outage, list calls, and bytes of list answers so far.
fn count_calls(fleet: &Fleet) -> Result<[u64; 3], Error> {
    let destination_calls =
        fleet.with_receivers(|receivers, _| receivers.call_count_to(OUTAGE_DESTINATION))?;
    let traffic = fleet.with_list_service(|list, _| list.total_traffic())?;
    Ok([destination_calls, traffic.list_calls, traffic.list_bytes])
}
