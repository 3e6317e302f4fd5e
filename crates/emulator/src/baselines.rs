//! Policies to measure the module against, and nothing more: a way to choose an endpoint, with capped exponential
//! backoff. They keep the ledger (what may have run is not sent where that could do harm), heed waits, and know
//! nothing of circuits, windows, shares of limits or cold destinations.

use crate::policy::{Policy, SenderStart};
use crate::random::{Generator, generator};
use crate::spec::{Effect, World};
use rand::RngExt;
use scalebarrow::{ActionSink, ListUpdate, ListedEndpoint, Outcome};
use std::collections::BTreeMap;

/// How a baseline chooses among the endpoints of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    Random,
    RoundRobin,
    LeastOutstanding,
    /// The less busy of two drawn by chance.
    TwoChoices,
}

/// Names of the policies that a file or a command line may ask for.
pub const POLICY_NAMES: [&str; 6] =
    ["module", "random", "round-robin", "least-outstanding", "two-choices", "straight"];

/// Makes the policy of that name.
pub fn factory_by_name(name: &str) -> Option<fn(SenderStart) -> Box<dyn Policy>> {
    Some(match name {
        "module" => crate::policy::decision_module,
        "random" => |s| Baseline::open(s, Choice::Random),
        "round-robin" => |s| Baseline::open(s, Choice::RoundRobin),
        "least-outstanding" => |s| Baseline::open(s, Choice::LeastOutstanding),
        "two-choices" => |s| Baseline::open(s, Choice::TwoChoices),
        "straight" => |_| Box::new(Straight::default()),
        _ => return None,
    })
}

struct Held {
    event_type: usize,
    dest: u64,
    ttl_at: f64,
    tries: u32,
    ran: Option<(String, f64)>,
    out: bool,
}

struct Route {
    ep: String,
    zone: String,
    ready: bool,
    out: u32,
    /// A told wait is not over before.
    waits: f64,
}

pub struct Baseline {
    choice: Choice,
    world: World,
    chance: Generator,
    dests: BTreeMap<u64, Vec<Route>>,
    turns: BTreeMap<u64, usize>,
    held: BTreeMap<u64, Held>,
}

impl Baseline {
    pub fn open(start: SenderStart, choice: Choice) -> Box<dyn Policy> {
        let chance = generator(start.seed, "baseline");
        let (dests, turns, held) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        // Only its settings; the troubles of the day are none of its business.
        let world = World { faults: Vec::new(), ..start.world.clone() };
        Box::new(Baseline { choice, world, chance, dests, turns, held })
    }

    fn route(&mut self, ep: &str) -> Option<&mut Route> {
        self.dests.values_mut().flatten().find(|r| r.ep == ep)
    }

    fn give_up(&mut self, id: u64, out: &mut dyn ActionSink) {
        let Some(h) = self.held.remove(&id) else { return };
        let t = &self.world.event_types[h.event_type];
        let no_harm = t.effect == Effect::Idempotent || (t.effect == Effect::Tokened && t.by_all);
        if h.ran.is_none() || no_harm { out.reject(id, 0.0) } else { out.dead_letter(id) }
    }

    fn try_send(&mut self, now: f64, id: u64, out: &mut dyn ActionSink) {
        let Some(h) = self.held.get(&id).filter(|h| !h.out) else { return };
        let t = &self.world.event_types[h.event_type];
        let ends = match (&h.ran, t.effect) {
            (None, _) | (_, Effect::Idempotent) => h.ttl_at,
            (_, Effect::AtMostOnce) => 0.0,
            // 50 ms short, since the repeat takes time to arrive.
            (Some((_, at)), Effect::Tokened) => (at + t.known_s - 0.05).min(h.ttl_at),
        };
        // No attempt can come back any more when it goes out so late.
        if now >= ends - 0.01 || h.tries >= self.world.senders.attempts {
            return self.give_up(id, out);
        }
        let one_zone =
            h.ran.as_ref().filter(|_| t.effect == Effect::Tokened && !t.by_all).map(|r| r.0.as_str());
        let routes = self.dests.entry(h.dest).or_default();
        let fits = |r: &Route| r.ready && now >= r.waits && one_zone.is_none_or(|z| z == r.zone);
        let free: Vec<usize> = (0..routes.len()).filter(|i| fits(&routes[*i])).collect();
        if free.is_empty() {
            let opens = routes.iter().filter(|r| r.ready).map(|r| r.waits).fold(f64::INFINITY, f64::min);
            let next = if opens.is_finite() { opens.max(now + 0.1) } else { now + 0.25 };
            return self.later(now, id, next + 0.001, ends, out);
        }
        let many = free.len();
        let at = match self.choice {
            Choice::Random => free[self.chance.random_range(0..many)],
            Choice::RoundRobin => {
                let turn = self.turns.entry(h.dest).or_default();
                *turn += 1;
                free[*turn % many]
            }
            Choice::LeastOutstanding => {
                free.iter().copied().min_by_key(|i| routes[*i].out).unwrap_or(free[0])
            }
            Choice::TwoChoices => {
                let (a, b) =
                    (free[self.chance.random_range(0..many)], free[self.chance.random_range(0..many)]);
                if routes[a].out <= routes[b].out { a } else { b }
            }
        };
        routes[at].out += 1;
        // An attempt has as long as the target latency.
        let stop = (now + t.target_s).min(h.ttl_at - 0.005);
        out.start_attempt(id, &routes[at].ep, stop);
        if let Some(h) = self.held.get_mut(&id) {
            (h.out, h.tries) = (true, h.tries + 1);
        }
    }

    fn later(&mut self, now: f64, id: u64, at: f64, ends: f64, out: &mut dyn ActionSink) {
        if at >= ends - 0.01 { self.give_up(id, out) } else { out.schedule_wake(at - now, id) }
    }
}

impl Policy for Baseline {
    fn update_list(
        &mut self, _now: f64, mode: ListUpdate, entries: &[ListedEndpoint], out: &mut dyn ActionSink,
    ) {
        match mode {
            ListUpdate::Refused => return out.schedule_wake(0.5, 0),
            ListUpdate::Remembered if self.world.list.ask => out.watch_list(true),
            ListUpdate::Whole => self.dests.values_mut().flatten().for_each(|r| r.ready = false),
            ListUpdate::Remembered | ListUpdate::Changes => {}
        }
        for e in entries {
            let routes = self.dests.entry(e.destination).or_default();
            match routes.iter_mut().find(|r| r.ep == e.endpoint) {
                Some(r) => r.ready = e.ready,
                None => {
                    let (ep, zone) = (e.endpoint.into(), e.zone.into());
                    routes.push(Route { ep, zone, ready: e.ready, out: 0, waits: 0.0 });
                }
            }
        }
    }

    fn accept(
        &mut self, now: f64, id: u64, event_type: &str, dest: u64, _key: Option<&str>,
        _customer: Option<&str>, left: f64, out: &mut dyn ActionSink,
    ) {
        let event_type = self.world.event_types.iter().position(|t| t.name == event_type).unwrap_or(0);
        self.held.insert(id, Held { event_type, dest, ttl_at: now + left, tries: 0, ran: None, out: false });
        self.try_send(now, id, out);
    }

    fn resume(
        &mut self, now: f64, id: u64, event_type: &str, dest: u64, _key: Option<&str>,
        _customer: Option<&str>, left: f64, tries: u32, ran: Option<(&str, f64)>, out: &mut dyn ActionSink,
    ) {
        let event_type = self.world.event_types.iter().position(|t| t.name == event_type).unwrap_or(0);
        let ran = ran.map(|(zone, at)| (zone.into(), at));
        self.held.insert(id, Held { event_type, dest, ttl_at: now + left, tries, ran, out: false });
        self.try_send(now, id, out);
    }

    fn begin_shutdown(&mut self, _now: f64, _by: f64, _out: &mut dyn ActionSink) {}

    fn attempt_ended(
        &mut self, now: f64, id: u64, ep: &str, outcome: Outcome, took: f64, ended: bool,
        _report: Option<(f64, f64)>, out: &mut dyn ActionSink,
    ) {
        let mut zone = String::new();
        if let Some(r) = self.route(ep) {
            r.out = r.out.saturating_sub(1);
            zone.clone_from(&r.zone);
            if let Outcome::Full(wait @ 0.001..) = outcome {
                // 1 ms more, so that rounding cannot end it early.
                r.waits = r.waits.max(now + wait + 0.001);
            }
        }
        // Routes that are not apart share a wait.
        if let Outcome::Full(wait @ 0.001..) = outcome {
            let until = now + wait + 0.001;
            let all = self.dests.values_mut().find(|rs| rs.iter().any(|r| r.ep == ep));
            all.into_iter().flatten().for_each(|r| r.waits = r.waits.max(until));
        }
        if ended {
            self.held.remove(&id);
            return;
        }
        let Some(h) = self.held.get_mut(&id) else { return };
        h.out = false;
        let may_run =
            matches!(outcome, Outcome::Failed | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if may_run && h.ran.is_none() {
            h.ran = Some((zone, now - took));
        }
        // Capped exponential backoff: 0.1 s, twice as long each time, 2 s at most, half of it by chance.
        let (tries, ends) = (h.tries.min(6), h.ttl_at);
        let pause = (0.1 * f64::from(1_u32 << tries.saturating_sub(1))).min(2.0);
        let at = now + pause * (0.5 + 0.5 * self.chance.random::<f64>());
        self.later(now, id, at, ends, out);
    }

    fn wait_requested(&mut self, now: f64, ep: &str, wait: f64, _out: &mut dyn ActionSink) {
        let all = self.dests.values_mut().find(|rs| rs.iter().any(|r| r.ep == ep));
        all.into_iter().flatten().for_each(|r| r.waits = r.waits.max(now + wait + 0.001));
    }

    fn withdraw(&mut self, _now: f64, id: u64, _out: &mut dyn ActionSink) {
        self.held.remove(&id);
    }

    fn wake(&mut self, now: f64, handle: u64, out: &mut dyn ActionSink) {
        if handle == 0 { out.watch_list(true) } else { self.try_send(now, handle, out) }
    }
}

/// Sends each webhook at once to the first endpoint listed for it and rejects it when that fails: next to no work,
/// so that the model's own speed can be measured, and queues be compared with theory.
#[derive(Default)]
pub struct Straight {
    first: BTreeMap<u64, String>,
}

impl Policy for Straight {
    fn update_list(
        &mut self, _now: f64, _mode: ListUpdate, entries: &[ListedEndpoint], _out: &mut dyn ActionSink,
    ) {
        for e in entries {
            self.first.entry(e.destination).or_insert_with(|| e.endpoint.into());
        }
    }
    fn accept(
        &mut self, now: f64, id: u64, _evt: &str, dest: u64, _key: Option<&str>, _customer: Option<&str>,
        left: f64, out: &mut dyn ActionSink,
    ) {
        match self.first.get(&dest) {
            Some(ep) => out.start_attempt(id, ep, now + left),
            None => out.reject(id, 0.0),
        }
    }
    fn resume(
        &mut self, _now: f64, id: u64, _evt: &str, _dest: u64, _key: Option<&str>, _customer: Option<&str>,
        _left: f64, _tries: u32, _ran: Option<(&str, f64)>, out: &mut dyn ActionSink,
    ) {
        out.dead_letter(id);
    }
    fn begin_shutdown(&mut self, _now: f64, _by: f64, _out: &mut dyn ActionSink) {}
    fn attempt_ended(
        &mut self, _now: f64, id: u64, _ep: &str, outcome: Outcome, _took: f64, ended: bool,
        _report: Option<(f64, f64)>, out: &mut dyn ActionSink,
    ) {
        match outcome {
            _ if ended => {}
            Outcome::Full(_) | Outcome::ConnectFailed | Outcome::Moot(_) => out.reject(id, 0.0),
            _ => out.dead_letter(id),
        }
    }
    fn wait_requested(&mut self, _now: f64, _ep: &str, _wait: f64, _out: &mut dyn ActionSink) {}
    fn withdraw(&mut self, _now: f64, _id: u64, _out: &mut dyn ActionSink) {}
    fn wake(&mut self, _now: f64, _handle: u64, _out: &mut dyn ActionSink) {}
}
