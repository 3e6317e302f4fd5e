//! Draws a run from its seed.

use super::plan::{Event, Kind, Plan, Settings};
use crate::draws::Draws;

/// Endpoints of a destination, each in a zone of its own.
pub const ENDPOINTS_EACH: usize = 2;
/// Seconds between two faults in the mean.
const PAUSE: f64 = 1.2;
/// No fault begins in the first and the last seconds.
const EDGE: f64 = 1.0;
/// In one of so many runs trouble begins only after this part of the run.
const QUIET_RUNS: f64 = 0.25;
const QUIET_PART: f64 = 0.6;
/// Seconds between two faults that must not meet.
const APART: f64 = 1.0;
/// Seconds between a drain and silence of the list service, so that it is certain what a sender was told.
const TOLD: f64 = 7.0;

/// The run of a seed, without the kinds that are taken out.
pub fn draw(seed: u64, seconds: f64, without: &[Kind]) -> Plan {
    let mut draws = Draws::new(seed);
    let settings = draw_settings(&mut draws);
    let quiet = if draws.happens(QUIET_RUNS) { seconds * QUIET_PART } else { 0.0 };
    let mut events = Vec::new();
    let mut at = EDGE + quiet;
    loop {
        at += draws.between(0.2, 2.0 * PAUSE - 0.2);
        if at > seconds - EDGE {
            break;
        }
        let event = draw_event(&mut draws, at, seconds, &settings);
        if !without.contains(&event.kind) && events.iter().all(|other| may_meet(&event, other)) {
            events.push(event);
        }
    }
    Plan { seed, seconds, settings, events }
}

fn draw_settings(draws: &mut Draws) -> Settings {
    let ttl = draws.between(2.0, 12.0);
    Settings {
        senders: 1 + draws.below(2),
        destinations: 2,
        rate: draws.between(40.0, 140.0),
        takes: draws.between(150.0, 400.0),
        ttl,
        window: draws.between(1.0, 8.0).min(ttl),
        ordered: draws.happens(0.5),
        asks: draws.happens(0.5),
        slots: draws.one_of(&[8, 16, 64]),
        holds: draws.one_of(&[60, 150, 400]),
    }
}

fn draw_event(draws: &mut Draws, at: f64, seconds: f64, settings: &Settings) -> Event {
    let kind = Kind::ALL[draws.below(Kind::ALL.len())].0;
    let destinations = settings.destinations as usize;
    let target = match kind {
        _ if kind.is_of_sender() => draws.below(settings.senders),
        Kind::DiscoverySilent => 0,
        // What is known of a drain is certain only where nothing is held up on the way.
        Kind::Drain => draws.below(destinations) * ENDPOINTS_EACH + 1,
        _ if kind.is_on_the_way() => draws.below(destinations) * ENDPOINTS_EACH,
        _ if kind.is_outage() || kind == Kind::Wait => draws.below(destinations),
        _ => draws.below(destinations * ENDPOINTS_EACH),
    };
    let lasts = match kind {
        _ if kind.ends_process() || matches!(kind, Kind::Reload | Kind::ClockStep | Kind::ResetAll) => 0.0,
        Kind::Folder => draws.between(0.2, 1.5),
        Kind::StopMidway => 3.2,
        Kind::Drain => draws.between(2.0, 5.0),
        _ => draws.between(0.5, 5.0),
    };
    let amount = match kind {
        Kind::ClockStep | Kind::ClockStepBetween => {
            draws.one_of(&[-1.0, 1.0]) * draws.one_of(&[2.0, 20.0, 300.0, 3600.0])
        }
        Kind::HoldUp => draws.between(50.0, 150.0),
        Kind::Folder => (1 + draws.below(4)) as f64,
        Kind::Wait => draws.between(0.1, 2.0),
        Kind::Late => draws.between(0.2, 3.0),
        Kind::Crowd => (100 + draws.below(300)) as f64,
        Kind::StopMidway | Kind::Reload => (1 + draws.below(5)) as f64,
        Kind::KillTwice => draws.between(0.0, 1.5),
        _ => 0.0,
    };
    Event { at, lasts: lasts.min(seconds - at), kind, target, amount }
}

/// The destination of a drain or a crash.
fn destination(event: &Event) -> usize {
    if event.kind == Kind::Crash { event.target } else { event.target / ENDPOINTS_EACH }
}

/// Whether both can be in one run, and it is still certain what is allowed.
fn may_meet(event: &Event, other: &Event) -> bool {
    let same = event.target == other.target;
    let both = |kind: fn(Kind) -> bool| kind(event.kind) && kind(other.kind);
    let pair = |a: Kind, b: Kind| [(a, b), (b, a)].contains(&(event.kind, other.kind));
    if pair(Kind::Drain, Kind::DiscoverySilent) {
        return !event.meets(other, TOLD);
    }
    // The return from a crash lists both endpoints of the destination anew.
    if pair(Kind::Drain, Kind::Crash) && destination(event) == destination(other) {
        return !event.meets(other, APART);
    }
    let of_destination = |kind: Kind| kind.is_outage() || kind == Kind::Wait;
    let exclusive = event.kind == other.kind
        || both(Kind::ends_process)
        || both(of_destination)
        || both(Kind::is_on_the_way)
        || both(|kind| matches!(kind, Kind::Late | Kind::Half | Kind::Noise | Kind::EndKept));
    !(same && exclusive && event.meets(other, APART))
}
