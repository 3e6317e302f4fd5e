//! What a sender costs the others: tries of a destination that is down, which each sender that holds webhooks for it
//! makes by itself, and calls for the list.

use super::{Measured, Quantity, SharedGuard};
use crate::error::Error;
use crate::fleet::{Fleet, Plan, judged};
use crate::standins::id::EventType;
use crate::standins::receivers::Behaviour;
use crate::verbs::load::{Load, Task};
use std::path::Path;
use std::time::{Duration, Instant};

/// Counts where none are told.
pub const POINTS: &[u64] = &[1, 5, 10, 20, 40];
/// Senders beyond these are hollow.
pub const MOST_REAL: usize = 40;
const DESTINATIONS: u32 = 20;
/// The destination that is down.
const DOWN: u32 = 0;
/// Calls a second that the list tells for each destination, where it tells them.
const RATE: f64 = 20.0;
/// Webhooks for it that each sender holds.
const HELD: u64 = 5;
const TTL: Duration = Duration::from_secs(3600);
/// How long each variant is played.
#[derive(Debug, Clone, Copy)]
pub struct Spans {
    /// From the first tries on, before they are counted: a sender tries less often the longer a destination is down.
    pub settle: Duration,
    pub counted: Duration,
}

/// Long enough that a try in some ten seconds is seen.
pub const SPANS: Spans = Spans { settle: Duration::from_secs(20), counted: Duration::from_secs(30) };

/// How lists and rates come to the senders.
#[derive(Clone, Copy)]
struct Variant {
    rates_listed: bool,
    asks: bool,
    tries: Quantity,
    calls: Quantity,
    bytes: Quantity,
}

const VARIANTS: [Variant; 3] = [
    Variant {
        rates_listed: true,
        asks: false,
        tries: tries("senders.down_tries_per_second", "tries at a destination that is down, rates listed"),
        calls: calls("senders.list_calls_per_second", "list calls, lists pushed"),
        bytes: bytes("senders.list_bytes_per_second", "bytes of list answers, lists pushed"),
    },
    Variant {
        rates_listed: false,
        asks: false,
        tries: tries(
            "senders.down_tries_unlisted_per_second",
            "tries at a destination that is down, no rates",
        ),
        calls: calls("senders.unlisted_list_calls_per_second", "list calls, lists pushed, no rates"),
        bytes: bytes(
            "senders.unlisted_list_bytes_per_second",
            "bytes of list answers, lists pushed, no rates",
        ),
    },
    Variant {
        rates_listed: true,
        asks: true,
        tries: tries(
            "senders.asking_down_tries_per_second",
            "tries at a destination that is down, lists asked for",
        ),
        calls: calls("senders.asking_list_calls_per_second", "list calls, lists asked for"),
        bytes: bytes("senders.asking_list_bytes_per_second", "bytes of list answers, lists asked for"),
    },
];

const fn tries(id: &'static str, name: &'static str) -> Quantity {
    Quantity { id, role: "receiver", name, unit: "1/s" }
}

const fn calls(id: &'static str, name: &'static str) -> Quantity {
    Quantity { id, role: "list", name, unit: "1/s" }
}

const fn bytes(id: &'static str, name: &'static str) -> Quantity {
    Quantity { id, role: "list", name, unit: "B/s" }
}

/// All quantities with so many senders.
pub fn measure(
    program: &Path, count: u64, spans: Spans, guard: &SharedGuard,
) -> Result<Vec<Measured>, Error> {
    let mut all = Vec::new();
    for variant in &VARIANTS {
        all.extend(measure_variant(program, count as usize, variant, spans, guard)?);
    }
    Ok(all)
}

fn measure_variant(
    program: &Path, senders: usize, variant: &Variant, spans: Spans, guard: &SharedGuard,
) -> Result<Vec<Measured>, Error> {
    let plan = Plan {
        senders: senders.min(MOST_REAL),
        hollow: senders.saturating_sub(MOST_REAL),
        rate: RATE,
        rates_listed: variant.rates_listed,
        asks: variant.asks,
        behaviour: Behaviour::Serve(Duration::ZERO),
        ..Plan::one(program.to_owned(), DESTINATIONS, 300)
    };
    let (fleet, _) = Fleet::start(&plan, guard)?;
    fleet.receivers(|receivers, _| receivers.begin_outage(DOWN, Behaviour::Fail, RATE))?;
    hold(&fleet)?;
    guard.stop().sleep(spans.settle);
    let before = seen(&fleet)?;
    let began = Instant::now();
    guard.stop().sleep(spans.counted);
    let (after, took) = (seen(&fleet)?, began.elapsed().as_secs_f64());
    guard.check()?;
    judged(&fleet.verdict())?;
    let quantities = [variant.tries, variant.calls, variant.bytes];
    let rates = before.iter().zip(after).map(|(before, after)| (after - before) as f64 / took);
    Ok(quantities.into_iter().zip(rates).map(|(quantity, value)| Measured { quantity, value }).collect())
}

/// Each sender takes on some webhooks for the destination that is down.
fn hold(fleet: &Fleet) -> Result<(), Error> {
    let tasks = fleet.listen.iter().enumerate().map(|(sender, at)| Task {
        to: *at,
        sender: sender as u16,
        destinations: vec![DOWN],
        event_types: vec![EventType::Idempotent],
        ttl: TTL,
        first: 0,
        count: HELD,
        rate: f64::INFINITY,
    });
    let answers = Load::start(tasks.collect(), &fleet.record, fleet.guard.stop())?.join()?;
    tracing::info!(held = answers.accepted, refused = answers.refused, "held for a destination that is down");
    Ok(())
}

/// Calls to the destination, list calls and bytes so far.
fn seen(fleet: &Fleet) -> Result<[u64; 3], Error> {
    let calls = fleet.receivers(|receivers, _| receivers.call_count_to(DOWN))?;
    let total = fleet.list(|list, _| list.total_traffic())?;
    Ok([calls, total.list_calls, total.list_bytes])
}
