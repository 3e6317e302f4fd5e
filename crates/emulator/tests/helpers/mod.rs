//! Worlds that tests begin with, and policies that break one rule each.
#![allow(dead_code)]

use scalebarrow::{ActionSink, ListUpdate, ListedEndpoint, Outcome};
use scalebarrow_emulator::policy::{Policy, SenderStart};
use scalebarrow_emulator::random::{Shape, Spread};
use scalebarrow_emulator::spec::*;
use scalebarrow_emulator::{Report, run};
use std::collections::BTreeMap;

/// One destination with one endpoint of so many workers, no way, no limits, and time without end.
pub fn queue(rate: f64, workers: usize, service: Spread, length_s: f64) -> World {
    let kind = DestinationKind {
        service,
        workers,
        queue: usize::MAX,
        connections: usize::MAX,
        ..DestinationKind::default()
    };
    let event_type = EventType { target_s: 1e5, ttl_s: 1e6, ..EventType::default() };
    World {
        day: Day { length_s, ..Day::default() },
        senders: Senders { count: 1, slots: usize::MAX, holds: usize::MAX, ..Senders::default() },
        clients: Clients { rate, ..Clients::default() },
        destinations: Destinations { count: 1, skew: 0.0, endpoints: (1, 1) },
        destination_kinds: vec![kind],
        event_types: vec![event_type],
        net: Net {
            zones: 1,
            same: Spread::fixed(0.0),
            cross: Spread::fixed(0.0),
            client: Spread::fixed(0.0),
            handshakes: 0.0,
            ..Net::default()
        },
        ..World::default()
    }
}

/// Three senders, ten destinations, both sorts of kind, all event types.
pub fn office(length_s: f64) -> World {
    let types = [
        ("idem", Effect::Idempotent, false, false),
        ("token", Effect::Tokened, false, false),
        ("once", Effect::AtMostOnce, false, false),
        ("line", Effect::Tokened, true, true),
    ];
    let event_type = |(name, effect, by_all, ordered): (&str, Effect, bool, bool)| EventType {
        name: name.into(),
        target_s: 2.0,
        ttl_s: 8.0,
        effect,
        known_s: 8.5,
        by_all,
        ordered,
        ..EventType::default()
    };
    let plain = DestinationKind { name: "plain".into(), limit: LimitBy::Span, ..DestinationKind::default() };
    let apart = DestinationKind {
        name: "apart".into(),
        apart: true,
        batch: 5,
        limit: LimitBy::Rate,
        reports: true,
        least_rate: 6.0,
        ..DestinationKind::default()
    };
    World {
        day: Day { length_s, ..Day::default() },
        clients: Clients { rate: 60.0, clump_share: 0.1, ..Clients::default() },
        destinations: Destinations { count: 10, ..Destinations::default() },
        destination_kinds: vec![plain, apart],
        event_types: types.into_iter().map(event_type).collect(),
        ..World::default()
    }
}

pub fn trouble(kind: FaultKind, start_s: f64, duration_s: f64, size: f64, share: f64) -> FaultSpec {
    let target = FaultTarget { share, ..FaultTarget::default() };
    FaultSpec { kind, start_s, duration_s, size, period_s: 0.0, target }
}

pub fn play(world: &World, seed: u64, policy: &str) -> Report {
    let maker = scalebarrow_emulator::baselines::factory_by_name(policy).unwrap();
    run(world, seed, &maker, &mut |_| {}).unwrap()
}

pub fn spread(mean_s: f64, shape: Shape, cv: f64) -> Spread {
    Spread { mean_s, shape, cv }
}

/// What a policy does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// Never answers what it can not send at once.
    Forgets,
    /// Gives a second final answer.
    AnswersTwice,
    /// Sends what may have run again, whatever it is.
    Repeats,
    /// Goes on sending to what drains.
    Drains,
    /// Sends all that it has to a destination that comes back.
    Pushes,
    /// Passes over the order of keys.
    Disorders,
    /// Sends before a wait is over.
    Hurries,
    /// Hurries only when a webhook comes at the very instant that a wait was told.
    HurriesAtOnce,
}

struct Item {
    event_type: String,
    key: Option<String>,
    dest: u64,
    out: bool,
    tries: u32,
    may_run: bool,
    ttl_at: f64,
}

/// A plain policy that keeps all rules in calm and in trouble by doing little, and can be given one flaw: a call at a
/// time to each destination, none for a while after one that went wrong, no second attempt of what may have run.
pub struct Careful {
    flaw: Flaw,
    eps: BTreeMap<u64, Vec<(String, bool)>>,
    items: BTreeMap<u64, Item>,
    busy: BTreeMap<u64, u32>,
    quiet: BTreeMap<u64, f64>,
    told_at: BTreeMap<u64, f64>,
    arriving: bool,
    slow_until: BTreeMap<u64, f64>,
    sent_at: BTreeMap<u64, f64>,
    rest: BTreeMap<String, (f64, u64)>,
}

impl Careful {
    pub fn open(flaw: Flaw) -> Box<dyn Policy> {
        Box::new(Careful {
            flaw,
            eps: BTreeMap::new(),
            items: BTreeMap::new(),
            busy: BTreeMap::new(),
            quiet: BTreeMap::new(),
            told_at: BTreeMap::new(),
            arriving: false,
            slow_until: BTreeMap::new(),
            sent_at: BTreeMap::new(),
            rest: BTreeMap::new(),
        })
    }

    pub fn maker(flaw: Flaw) -> impl Fn(SenderStart) -> Box<dyn Policy> + Sync {
        move |_| Careful::open(flaw)
    }

    fn settle(&mut self, now: f64, out: &mut dyn ActionSink) {
        let ids: Vec<u64> = self.items.keys().copied().collect();
        for id in ids {
            let i = &self.items[&id];
            if i.out {
                continue;
            }
            let repeats = self.flaw == Flaw::Repeats;
            if now >= i.ttl_at - 0.05 || i.tries >= 6 || (i.may_run && !repeats) {
                if self.flaw != Flaw::Forgets {
                    if i.may_run {
                        out.dead_letter(id)
                    } else {
                        out.reject(id, 0.0)
                    }
                    if self.flaw == Flaw::AnswersTwice {
                        out.reject(id, 0.0);
                    }
                }
                self.items.remove(&id);
                continue;
            }
            let dest = i.dest;
            let hasty = match self.flaw {
                Flaw::Pushes | Flaw::Hurries | Flaw::Repeats => true,
                Flaw::HurriesAtOnce => self.arriving && self.told_at.get(&dest) == Some(&now),
                _ => false,
            };
            let busy = self.busy.get(&dest).copied().unwrap_or(0) > 0;
            let busy = busy && self.flaw != Flaw::Disorders;
            if !hasty && (busy || self.quiet.get(&dest).is_some_and(|t| now < *t)) {
                continue;
            }
            // Slow after trouble, so that a destination that is cold is not pushed over.
            let slow = self.slow_until.get(&dest).is_some_and(|t| now < *t);
            if !hasty && slow && self.sent_at.get(&dest).is_some_and(|t| now < t + 1.6) {
                continue;
            }
            if let Some(k) = i.key.as_ref().filter(|_| self.flaw != Flaw::Disorders) {
                let turn = self.items.iter().find(|x| x.1.key.as_ref() == Some(k)).map(|x| *x.0) == Some(id);
                if !turn || self.rest.get(k).is_some_and(|(t, by)| now < *t && *by != id) {
                    continue;
                }
            }
            let drains = self.flaw == Flaw::Drains;
            let eps = self.eps.get(&dest).into_iter().flatten();
            let Some((ep, _)) = eps.clone().find(|e| e.1 || drains) else { continue };
            out.start_attempt(id, ep, i.ttl_at);
            self.sent_at.insert(dest, now);
            let i = self.items.get_mut(&id).unwrap();
            (i.out, i.tries) = (true, i.tries + 1);
            *self.busy.entry(dest).or_default() += 1;
        }
    }
}

impl Policy for Careful {
    fn update_list(
        &mut self, now: f64, _mode: ListUpdate, entries: &[ListedEndpoint], out: &mut dyn ActionSink,
    ) {
        for e in entries {
            let eps = self.eps.entry(e.destination).or_default();
            match eps.iter_mut().find(|x| x.0 == e.endpoint) {
                Some(x) => x.1 = e.ready,
                None => eps.push((e.endpoint.into(), e.ready)),
            }
        }
        self.settle(now, out);
        if now == 0.0 {
            out.schedule_wake(0.05, 0);
        }
    }
    fn accept(
        &mut self, now: f64, id: u64, event_type: &str, dest: u64, key: Option<&str>,
        _customer: Option<&str>, left: f64, out: &mut dyn ActionSink,
    ) {
        let key = key.map(Into::into);
        let event_type = event_type.into();
        let item = Item { event_type, key, dest, out: false, tries: 0, may_run: false, ttl_at: now + left };
        self.items.insert(id, item);
        self.arriving = true;
        self.settle(now, out);
        self.arriving = false;
    }
    fn resume(
        &mut self, now: f64, id: u64, event_type: &str, dest: u64, key: Option<&str>, customer: Option<&str>,
        left: f64, _tries: u32, ran: Option<(&str, f64)>, out: &mut dyn ActionSink,
    ) {
        if ran.is_some() {
            out.dead_letter(id);
        } else {
            self.accept(now, id, event_type, dest, key, customer, left, out);
        }
    }
    fn begin_shutdown(&mut self, _now: f64, _by: f64, _out: &mut dyn ActionSink) {}
    fn attempt_ended(
        &mut self, now: f64, id: u64, ep: &str, outcome: Outcome, _took: f64, ended: bool,
        _report: Option<(f64, f64)>, out: &mut dyn ActionSink,
    ) {
        let dest = self.eps.iter().find(|(_, eps)| eps.iter().any(|e| e.0 == ep)).map_or(0, |d| *d.0);
        *self.busy.entry(dest).or_default() -= 1;
        match outcome {
            Outcome::Delivered => {}
            Outcome::Full(wait) => {
                self.told_at.insert(dest, now);
                self.quiet.insert(dest, now + wait.max(1.0) + 0.001);
            }
            _ => {
                self.quiet.insert(dest, now + 2.0);
                self.slow_until.insert(dest, now + 25.0);
            }
        }
        if let Some(i) = self.items.get_mut(&id) {
            i.out = false;
            if matches!(outcome, Outcome::Failed | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                i.may_run |= i.event_type != "idem";
                if let Some(k) = &i.key {
                    self.rest.insert(k.clone(), (now + 0.6, id));
                }
            }
        }
        if ended {
            self.items.remove(&id);
        }
        self.settle(now, out);
    }
    fn wait_requested(&mut self, now: f64, ep: &str, wait: f64, _out: &mut dyn ActionSink) {
        let dest = self.eps.iter().find(|(_, eps)| eps.iter().any(|e| e.0 == ep)).map_or(0, |d| *d.0);
        let until = now + wait + 0.001;
        let q = self.quiet.entry(dest).or_default();
        *q = q.max(until);
    }
    fn withdraw(&mut self, now: f64, id: u64, out: &mut dyn ActionSink) {
        if self.items.get(&id).is_some_and(|i| !i.out) {
            self.items.remove(&id);
        }
        self.settle(now, out);
    }
    fn wake(&mut self, now: f64, _handle: u64, out: &mut dyn ActionSink) {
        self.settle(now, out);
        out.schedule_wake(0.05, 0);
    }
}
