//! Generates the plan of a run from its seed.

use super::plan::{Fault, FaultKind, Plan, RunSettings};
use crate::random::SeededRng;

/// Endpoints of each destination, each in a zone of its own.
pub const ENDPOINTS_PER_DESTINATION: usize = 2;
/// Mean time between the starts of two faults.
const MEAN_FAULT_INTERVAL_SECS: f64 = 1.2;
/// No fault begins this close to the begin or the end of the run.
const FAULT_FREE_EDGE_SECS: f64 = 1.0;
/// The probability that a run starts with a quiet period, without faults.
const QUIET_START_PROBABILITY: f64 = 0.25;
/// The quiet period, as a fraction of the run.
const QUIET_START_FRACTION: f64 = 0.6;
/// The mean time between the starts of two faults of messages.
const MEAN_MESSAGE_FAULT_INTERVAL_SECS: f64 = 0.8;
/// The probability that a fault of messages is one of copied answers, beside its share among all kinds.
const COPIED_ANSWERS_PROBABILITY: f64 = 0.5;
/// The longest lags of copies.
const COPY_LAGS_SECS: [f64; 5] = [0.004, 0.012, 0.06, 0.4, 1.0];
/// Decides which random numbers the faults of messages are drawn from.
const MESSAGE_FAULT_SEED: u64 = 0x5eed_c0b1;
/// The least time between two faults that exclude each other.
const EXCLUSIVE_GAP_SECS: f64 = 1.0;
/// The least time between a drain and a silence of the list service, so that it is certain which list each
/// sender has received.
const LIST_UPDATE_GAP_SECS: f64 = 7.0;

/// Generates the plan of a seed, without the excluded kinds of faults.
pub fn generate_plan(seed: u64, load_secs: f64, excluded_kinds: &[FaultKind]) -> Plan {
    let mut rng = SeededRng::new(seed);
    let mut message_rng = SeededRng::new(seed ^ MESSAGE_FAULT_SEED);
    let settings = RunSettings { max_batch: message_rng.choose(&[1, 4]), ..generate_settings(&mut rng) };
    let quiet_secs =
        if rng.happens(QUIET_START_PROBABILITY) { load_secs * QUIET_START_FRACTION } else { 0.0 };
    let mut faults = Vec::new();
    let mut start_secs = FAULT_FREE_EDGE_SECS + quiet_secs;
    loop {
        start_secs += rng.between(0.2, 2.0 * MEAN_FAULT_INTERVAL_SECS - 0.2);
        if start_secs > load_secs - FAULT_FREE_EDGE_SECS {
            break;
        }
        let fault = generate_fault(&mut rng, start_secs, load_secs, &settings);
        if !excluded_kinds.contains(&fault.kind) && faults.iter().all(|other| can_combine(&fault, other)) {
            faults.push(fault);
        }
    }
    add_message_faults(&mut message_rng, load_secs, quiet_secs, &settings, excluded_kinds, &mut faults);
    Plan { seed, load_secs, settings, faults }
}

/// Adds the faults of messages, and puts all faults in order.
fn add_message_faults(
    rng: &mut SeededRng, load_secs: f64, quiet_secs: f64, settings: &RunSettings,
    excluded_kinds: &[FaultKind], faults: &mut Vec<Fault>,
) {
    let mut start_secs = FAULT_FREE_EDGE_SECS + quiet_secs;
    loop {
        start_secs += rng.between(0.2, 2.0 * MEAN_MESSAGE_FAULT_INTERVAL_SECS - 0.2);
        if start_secs > load_secs - FAULT_FREE_EDGE_SECS {
            break;
        }
        let kind = if rng.happens(COPIED_ANSWERS_PROBABILITY) {
            FaultKind::CopyAnswers
        } else {
            rng.choose(&FaultKind::OF_MESSAGES).0
        };
        let target = match kind {
            _ if kind.targets_platform() => 0,
            _ if kind.targets_sender() => rng.below(settings.sender_count),
            _ => rng.below(settings.destination_count as usize * ENDPOINTS_PER_DESTINATION),
        };
        let duration_secs = rng.between(2.0, 8.0).min(load_secs - start_secs);
        let is_copy =
            matches!(kind, FaultKind::CopyAnswers | FaultKind::CopyAcknowledgements | FaultKind::CopyLists);
        let lag_secs = rng.choose(&COPY_LAGS_SECS);
        let amount = if is_copy { lag_secs } else { 0.0 };
        let fault = Fault { start_secs, duration_secs, kind, target, amount };
        if !excluded_kinds.contains(&kind) && faults.iter().all(|other| can_combine(&fault, other)) {
            faults.push(fault);
        }
    }
    faults.sort_by(|a, b| a.start_secs.total_cmp(&b.start_secs));
}

fn generate_settings(rng: &mut SeededRng) -> RunSettings {
    let ttl_secs = rng.between(2.0, 12.0);
    RunSettings {
        sender_count: 1 + rng.below(2),
        destination_count: 2,
        webhooks_per_sec: rng.between(40.0, 140.0),
        calls_per_sec: rng.between(150.0, 400.0),
        ttl_secs,
        repeat_window_secs: rng.between(1.0, 8.0).min(ttl_secs),
        ordered: rng.happens(0.5),
        pulls_list: rng.happens(0.5),
        slots: rng.choose(&[8, 16, 64]),
        max_pending: rng.choose(&[60, 150, 400]),
        max_batch: 1,
    }
}

fn generate_fault(rng: &mut SeededRng, start_secs: f64, load_secs: f64, settings: &RunSettings) -> Fault {
    let kind = FaultKind::OTHERS[rng.below(FaultKind::OTHERS.len())].0;
    let destination_count = settings.destination_count as usize;
    let target = match kind {
        _ if kind.targets_sender() => rng.below(settings.sender_count),
        FaultKind::DiscoverySilent => 0,
        // Drains and connection faults get different endpoints. Where a proxy delays a connection, it is not
        // certain that a call which arrives after the drain was also sent after it.
        FaultKind::Drain => rng.below(destination_count) * ENDPOINTS_PER_DESTINATION + 1,
        _ if kind.is_connection_fault() => rng.below(destination_count) * ENDPOINTS_PER_DESTINATION,
        _ if kind.is_outage() || kind == FaultKind::Wait => rng.below(destination_count),
        _ => rng.below(destination_count * ENDPOINTS_PER_DESTINATION),
    };
    let duration_secs = match kind {
        _ if kind.ends_process()
            || matches!(kind, FaultKind::Reload | FaultKind::ClockStep | FaultKind::ResetAll) =>
        {
            0.0
        }
        FaultKind::Folder => rng.between(0.2, 1.5),
        FaultKind::StopMidway => 3.2,
        FaultKind::Drain => rng.between(2.0, 5.0),
        _ => rng.between(0.5, 5.0),
    };
    let amount = match kind {
        FaultKind::ClockStep | FaultKind::ClockStepBetween => {
            rng.choose(&[-1.0, 1.0]) * rng.choose(&[2.0, 20.0, 300.0, 3600.0])
        }
        FaultKind::HoldUp => rng.between(50.0, 150.0),
        FaultKind::Folder => (1 + rng.below(4)) as f64,
        FaultKind::Wait => rng.between(0.1, 2.0),
        FaultKind::Late => rng.between(0.2, 3.0),
        FaultKind::Crowd => (100 + rng.below(300)) as f64,
        FaultKind::StopMidway | FaultKind::Reload => (1 + rng.below(5)) as f64,
        FaultKind::KillTwice => rng.between(0.0, 1.5),
        _ => 0.0,
    };
    Fault { start_secs, duration_secs: duration_secs.min(load_secs - start_secs), kind, target, amount }
}

/// The destination of a drain or a crash.
fn destination_of(fault: &Fault) -> usize {
    if fault.kind == FaultKind::Crash { fault.target } else { fault.target / ENDPOINTS_PER_DESTINATION }
}

/// Whether one run can have both faults, and it stays certain what the senders may do.
fn can_combine(fault: &Fault, other: &Fault) -> bool {
    let same_target = fault.target == other.target;
    let both = |has_property: fn(FaultKind) -> bool| has_property(fault.kind) && has_property(other.kind);
    let is_pair = |a: FaultKind, b: FaultKind| [(a, b), (b, a)].contains(&(fault.kind, other.kind));
    if is_pair(FaultKind::Drain, FaultKind::DiscoverySilent) {
        return !fault.overlaps(other, LIST_UPDATE_GAP_SECS);
    }
    // The end of a crash lists both endpoints of the destination as serving.
    if is_pair(FaultKind::Drain, FaultKind::Crash) && destination_of(fault) == destination_of(other) {
        return !fault.overlaps(other, EXCLUSIVE_GAP_SECS);
    }
    let targets_destination = |kind: FaultKind| kind.is_outage() || kind == FaultKind::Wait;
    let exclusive = fault.kind == other.kind
        || both(FaultKind::ends_process)
        || both(targets_destination)
        || both(FaultKind::is_connection_fault)
        || both(FaultKind::is_endpoint_behaviour)
        || both(|kind| matches!(kind, FaultKind::RepeatRequests | FaultKind::SplitRequests));
    !(same_target && exclusive && fault.overlaps(other, EXCLUSIVE_GAP_SECS))
}
