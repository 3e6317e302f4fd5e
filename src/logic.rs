//! All decisions of a scalebarrow sender; `src/lib.rs` is the interface. After each input `settle` goes
//! through `RULES` in order, from the top after every firing, until none fires.
//!
//! The ordinary route of a webhook is the design's: gates, weighted score, argmax with a margin, hash ties,
//! spill and the window (`docs/design.md`); it is in `routing`. Beside it stand these mechanisms:
//! 1. `repeats`: one final answer in TTL; what may have run, by effect and group; key order and rest; restarts
//! 2. `endpoint_list`: watch upkeep, drains
//! 3. `waits`: waits; a share of each limit; batches
//! 4. `cold_budget`: outages, a sender's share of the cold budget after one was seen, ramp to warm
//! 5. `admission`, `connections`: who gets scarce slots and room; connections that are scarce or go stale
//! 6. `retries`: attempt time-outs and further attempts

mod admission;
mod cold_budget;
mod connections;
mod endpoint_list;
mod repeats;
mod retries;
mod routing;
mod waits;
mod wake;

use crate::chance::{Chance, hash};
use crate::index::{Facts, Gates, Held, Kinds, Moment, median};
use crate::state::*;
use crate::{ActionSink, ListUpdate, ListedEndpoint, NotSentReason, Outcome, RepeatSafety};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The design's minute: a route that was unused for so long is as if it were new.
const AGE: f64 = 60.0;

struct Rule {
    name: &'static str,
    when: fn(&Logic) -> Option<Pick>,
    then: fn(&mut Logic, Pick, &mut dyn ActionSink),
}

const RULES: [Rule; 10] = [
    Rule { name: "out-of-time", when: Logic::out_of_time, then: Logic::give_up },
    Rule { name: "spent", when: Logic::spent, then: Logic::give_up },
    Rule { name: "room", when: Logic::no_room, then: Logic::give_up },
    Rule { name: "watch", when: Logic::watch_due, then: Logic::ask_list },
    Rule { name: "age", when: Logic::aged, then: Logic::forget },
    Rule { name: "trial", when: Logic::trial_due, then: Logic::send },
    Rule { name: "send", when: Logic::sendable, then: Logic::send },
    Rule { name: "stuck", when: Logic::stuck, then: Logic::call_off },
    Rule { name: "links", when: Logic::spare_links, then: Logic::close_links },
    Rule { name: "wake", when: Logic::wake_due, then: Logic::set_wake },
];

#[derive(Default)]
pub(crate) struct Logic {
    pub now: f64,
    number: u64,
    senders: f64,
    chance: Chance,
    pub types: BTreeMap<Name, EventType>,
    webhooks: BTreeMap<u64, Webhook>,
    key_lines: BTreeMap<Name, VecDeque<u64>>,
    key_rests: BTreeMap<Name, f64>,
    pub key_rest: f64,
    pub kinds: BTreeMap<Name, (usize, bool)>,
    pub watch: Watch,
    routes: BTreeMap<Name, Route>,
    /// Routes with calls out, and how many are by destination.
    active: BTreeSet<Name>,
    out: BTreeMap<u64, usize>,
    /// By kind: routes with idle connections where nothing waits for them, and those seldom used.
    spare: Kinds<Name>,
    /// By kind: until when no idle connection is kept, and calls delivered since a connect failed.
    thrift: BTreeMap<Name, (f64, u32)>,
    pub idle_for: f64,
    dests: BTreeMap<u64, Vec<Name>>,
    meters: BTreeMap<Scope, Meter>,
    /// What the way to each zone costs.
    pub ways: BTreeMap<Name, f64>,
    /// The last limits that were told, wherever, the usual one, and when one was last used up.
    told: VecDeque<f64>,
    usual: f64,
    used_up_at: f64,
    pub cold: Cold,
    held: Held<Group>,
    /// Destinations with webhooks to send and no calls out.
    gates: Gates,
    pub caps: Caps,
    busy: usize,
    pub come_back: f64,
    pub customers: BTreeMap<Name, (f64, f64, VecDeque<f64>)>,
    retries: VecDeque<bool>,
    /// The last calls of all routes: lost between good answers, or answered.
    lost: VecDeque<bool>,
    /// The same by whether the connection had stood idle: when, idle, lost.
    stale: VecDeque<(f64, bool, bool)>,
    current: BTreeMap<u64, Name>,
    wake_at: Option<f64>,
    aging: Ages,
    pub closes_at: f64,
}

impl Logic {
    pub fn new(now: f64, seed: u64, number: u64, senders: u64) -> Self {
        let senders = senders.max(1) as f64;
        let mut logic = Logic { now, number, senders, ..Logic::default() };
        logic.chance = Chance::new(seed);
        (logic.watch.within, logic.idle_for) = (f64::INFINITY, f64::INFINITY);
        (logic.watch.ask_at, logic.aging.next) = (now, now);
        (logic.closes_at, logic.used_up_at) = (f64::INFINITY, f64::NEG_INFINITY);
        (logic.caps.slots, logic.caps.holds, logic.caps.attempts) = (1, 1, 1);
        logic
    }

    pub fn settle(&mut self, out: &mut dyn ActionSink) {
        // Every firing ends or sends a webhook or moves a time; the bound guards against a mistake there.
        let mut last = "";
        for _ in 0..100_000 {
            self.refresh();
            let found = RULES.iter().find_map(|r| (r.when)(self).map(|p| (r, p)));
            let Some((rule, pick)) = found else {
                if self.busy < self.caps.slots {
                    self.gates.seen();
                }
                return;
            };
            last = rule.name;
            (rule.then)(self, pick, out);
        }
        out.log(&format!("rules did not come to rest; the last was {last}"));
    }

    /// Brings the indexes up to date: what a time has come for, and the destinations where something changed.
    fn refresh(&mut self) {
        let now = self.now;
        self.held.pass(now);
        // What may still come back depends on the time alone then, and on each route's answers.
        if self.closes_at < f64::INFINITY {
            self.held.changed.extend(self.held.ready.keys());
        }
        while let Some(dest) = self.gates.due(now) {
            self.held.changed.insert(dest);
        }
        while let Some(dest) = self.held.changed.pop_first() {
            self.look(dest);
        }
        while now >= self.aging.next
            && let Some(ep) = self.aging.timers.due(now)
        {
            self.aging.due.insert(ep);
        }
    }

    pub fn webhook(
        &mut self, now: f64, id: u64, event_type: &str, dest: u64, key: Option<&str>, customer: Option<&str>,
        left: f64,
    ) {
        self.now = now;
        let ttl_at = now + left;
        let t = self.types.get(event_type);
        let target_at = t.map_or(now, |t| ttl_at - t.ttl + t.target_latency);
        let key = key.filter(|_| t.is_some_and(|t| t.ordered)).map(Name::from);
        if let Some(k) = &key {
            self.key_lines.entry(k.clone()).or_default().push_back(id);
        }
        let (event_type, over) = (event_type.into(), customer.is_some_and(|c| self.over_share(c)));
        // No attempt is left for a destination that was never listed.
        let tries = if self.dests.contains_key(&dest) { 0 } else { u32::MAX };
        let w = Webhook { event_type, dest, key, over, target_at, ttl_at, tries, ..Webhook::default() };
        self.webhooks.insert(id, w);
        self.hold(id);
    }

    pub fn outcome(
        &mut self, now: f64, id: u64, ep: &str, outcome: Outcome, took: f64, ended: bool,
        report: Option<(f64, f64)>,
    ) {
        self.now = now;
        // The first of several webhooks in a call stands for all.
        let call = self.routes.get(ep).and_then(|r| r.calls.iter().find(|c| c.webhooks.contains(&id)));
        let sent_at = call.filter(|c| !c.judged).map(|c| c.at);
        if sent_at.is_some() && outcome == Outcome::Delivered {
            self.watch_for_return(ep);
        }
        let full = self.end_call(id, ep, outcome, took, report);
        if let Some(sent_at) = sent_at {
            self.watch_for_outage(ep, outcome, sent_at);
        }
        let Some(w) = self.webhooks.get_mut(&id) else { return };
        if w.out.take().is_none() {
            return;
        }
        let may_run =
            matches!(outcome, Outcome::Failed | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if may_run && w.ran.is_none() {
            let zone = self.routes.get(ep).map_or_else(|| Name::from(""), |r| r.zone.clone());
            w.ran = Some((zone, now - took));
        }
        // A key rests after an attempt that may still run; the one that has the turn need not wait.
        let rests = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        self.key_rests.extend(w.key.clone().filter(|_| rests).map(|k| (k, now + self.key_rest)));
        if w.tries > 1 {
            self.retries.push_back(outcome == Outcome::Delivered);
            // 20 further attempts: enough to tell one in ten from one in two.
            self.retries.drain(..self.retries.len().saturating_sub(20));
        }
        if ended || w.ended {
            self.close(id);
            return;
        }
        // Further attempts are 0.1 s apart (a short stall) if all recent ones succeeded, up to 2 s if none.
        let good = self.retries.iter().filter(|g| **g).count() + 1;
        let pause = (0.1 * (self.retries.len() + 1) as f64 / good as f64).min(2.0);
        let yields = if full { self.yields(id) * (0.5 + self.chance.draw()) } else { 0.0 };
        self.webhooks.entry(id).and_modify(|w| w.not_before = now + pause.max(yields));
        self.hold(id);
    }

    pub fn woken(&mut self, now: f64, _handle: u64) {
        self.now = now;
        self.wake_at = self.wake_at.filter(|t| now < t - 1e-6);
    }
}

#[cfg(test)]
#[path = "scan.rs"]
mod scan;
