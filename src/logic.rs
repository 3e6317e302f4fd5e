//! All decisions of a scalebarrow sender; `src/lib.rs` is the interface. After each input `settle` goes
//! through `RULES` in order, from the top after every firing, until none fires.
//!
//! The ordinary route of a webhook is the design's: gates, weighted score, argmax with a margin, hash ties,
//! spill and the window (`docs/design.md`). Beside it stand six mechanisms:
//! 1. ledger: one final answer in TTL; what may have run, by effect and group; key order and rest
//! 2. list: watch upkeep, drains
//! 3. pace: waits; a share of each limit; batches
//! 4. return: a sender's share of the cold budget after an outage seen, ramp to warm
//! 5. queue: who gets scarce slots and room; connections that are scarce or go stale
//! 6. attempt time-outs and further attempts

use crate::chance::{Chance, hash};
use crate::index::{Facts, Gates, Held, Kinds, Moment, median};
use crate::state::*;
use crate::{Effect, Entry, HoldBack, ListMode, Outbox, Outcome};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The design's minute: a route that was unused for so long is as if it were new.
const AGE: f64 = 60.0;

/// A sender may be held up for so long between reading its clock and writing, in seconds.
const HOLD_UP: f64 = 0.15;
/// From a write here until the endpoint has it, in seconds.
const TRAVEL: f64 = 0.05;
/// A repeat goes out so long before its window is over.
const REPEAT_MARGIN: f64 = HOLD_UP + TRAVEL;

/// A destination where so many calls failed, over so many seconds, and none went well is out.
const OUTAGE_CALLS: u32 = 3;
const OUTAGE_SPAN: f64 = 2.0;
/// So many that failed one after another are no chance, however quickly they did.
const MANY_OUTAGE_CALLS: u32 = 8;

struct Rule {
    name: &'static str,
    when: fn(&Logic) -> Option<Pick>,
    then: fn(&mut Logic, Pick, &mut dyn Outbox),
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

    pub fn set_list(&mut self, ask: bool, within: f64, pause: f64) {
        let first = ask && !std::mem::replace(&mut self.watch.ask, ask);
        (self.watch.within, self.watch.pause) = (within, pause);
        self.watch.ask_at += if first { self.list_turn() } else { 0.0 };
    }

    pub fn settle(&mut self, out: &mut dyn Outbox) {
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

    /// Looks at a destination where something changed; with calls out each time (patience follows all).
    fn look(&mut self, dest: u64) {
        let (now, idle_for, waits) = (self.now, self.idle_for, self.held.any_for(dest));
        let eps = self.dests.get(&dest).map_or(&[][..], Vec::as_slice);
        let (mut idle, mut open) = (self.held.ready.contains_key(&dest), false);
        let (mut next, mut again) = (f64::INFINITY, f64::INFINITY);
        for (ep, r) in eps.iter().filter_map(|ep| Some((ep, self.routes.get(ep)?))) {
            let free = r.links > r.calls.len() && !waits;
            self.spare.set(&r.kind, ep, [free, free && r.call_gap > idle_for]);
            idle &= r.calls.is_empty();
            if idle {
                let at = self.opens_at(ep, r);
                open |= at <= now;
                next = if at > now { next.min(at) } else { next };
                // The rate that is told changes as reports of it grow old.
                let m = self.meters.get(&Self::scope(ep, r));
                let old = m.into_iter().flat_map(|m| &m.limits).map(|l| l.0 + 5.0).filter(|t| *t > now);
                again = old.fold(again, f64::min);
            }
        }
        if idle {
            self.gates.set(dest, open, next, again)
        } else {
            self.gates.set(dest, false, f64::INFINITY, f64::INFINITY)
        }
    }

    /// Destinations with webhooks to send and calls out.
    fn active(&self) -> BTreeSet<u64> {
        let (out, ready) = (&self.out, &self.held.ready);
        // Through the shorter of the two.
        if out.len() < ready.len() {
            out.keys().filter(|d| ready.contains_key(d)).copied().collect()
        } else {
            ready.keys().filter(|d| out.contains_key(d)).copied().collect()
        }
    }

    /// Destinations with webhooks to send where a route may take a call now, in order.
    fn movable(&self) -> BTreeSet<u64> {
        let mut all = self.active();
        // Without a free slot only calls of this turn take more, and those are out.
        all.extend(self.gates.open().iter().filter(|_| self.busy < self.caps.slots));
        all
    }

    // ---- inputs ----

    pub fn list(&mut self, now: f64, mode: ListMode, entries: &[Entry]) {
        self.now = now;
        match mode {
            ListMode::Refused => {
                // This does not say whether the watch stands: it is asked for again, less often each time.
                self.watch.watching = false;
                self.watch.refusals += 1;
                // Three quarters and a quarter of the longest pause at most.
                let step = (0.4 * f64::from(1 << self.watch.refusals.min(6))).min(self.watch.pause / 2.0);
                let wait = step * (0.5 + self.chance.draw());
                self.watch.ask_at = now + wait + self.list_turn().min(self.watch.pause / 4.0);
                return;
            }
            ListMode::Remembered => {}
            ListMode::Changes | ListMode::Whole => {
                (self.watch.watching, self.watch.refusals) = (self.watch.ask, 0)
            }
        }
        if mode != ListMode::Changes {
            for (ep, r) in &mut self.routes {
                r.ready = false;
                self.aging.timers.set(ep.clone(), r.used + AGE);
            }
            self.held.changed.extend(self.held.ready.keys());
        }
        for e in entries {
            let (batch, apart) = self.kinds.get(e.kind).copied().unwrap_or((1, false));
            if !self.routes.contains_key(e.ep) {
                let ep: Name = e.ep.into();
                self.dests.entry(e.dest).or_default().push(ep.clone());
                let (zone, kind, dest) = (e.zone.into(), e.kind.into(), e.dest);
                let (answered, used, window) = (now, now, self.first_window());
                let mut r =
                    Route { dest, kind, zone, batch, apart, window, answered, used, ..Route::default() };
                r.way = self.ways.get(&r.zone).copied().unwrap_or(0.0);
                (r.slow, r.score) = (Self::slow_end(&r.samples), Self::score(&r.samples));
                self.routes.insert(ep, r);
            }
            let Some(r) = self.routes.get_mut(e.ep) else { continue };
            (r.ready, r.rate) = (e.ready, if e.rate.is_finite() { e.rate.max(0.0) } else { 0.0 });
            if !r.ready {
                self.aging.timers.set(e.ep.into(), r.used + AGE);
            }
            // One that started lately is cold too: what all senders hold would push it over when they hear of
            // it. Harm: one that is listed as new though it is warm.
            if e.born > r.born.max(now - self.cold.warm) {
                (r.born, r.outage, r.back) = (e.born, true, Some(e.born.min(now)));
                let scope = Self::scope(&e.ep.into(), &self.routes[e.ep]);
                self.come_in_turn(&scope, false);
            }
            self.held.changed.insert(e.dest);
        }
    }

    pub fn webhook(
        &mut self, now: f64, id: u64, evt: &str, dest: u64, key: Option<&str>, customer: Option<&str>,
        left: f64,
    ) {
        self.now = now;
        let ttl_at = now + left;
        let t = self.types.get(evt);
        let target_at = t.map_or(now, |t| ttl_at - t.ttl + t.target);
        let key = key.filter(|_| t.is_some_and(|t| t.ordered)).map(Name::from);
        if let Some(k) = &key {
            self.key_lines.entry(k.clone()).or_default().push_back(id);
        }
        let (evt, over) = (evt.into(), customer.is_some_and(|c| self.over_share(c)));
        // No attempt is left for a destination that was never listed.
        let tries = if self.dests.contains_key(&dest) { 0 } else { u32::MAX };
        let w = Webhook { evt, dest, key, over, target_at, ttl_at, tries, ..Webhook::default() };
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

    /// How long a webhook leaves a full limit to dearer ones: while it loses a tenth of the dearest value.
    fn yields(&self, id: u64) -> f64 {
        let Some(w) = self.webhooks.get(&id) else { return 0.0 };
        let dearest = self.types.values().map(|t| t.value).fold(0.0, f64::max);
        let least = self.value(w, self.now) - 0.1 * dearest;
        let steps = (0..8).map(|k| 0.2 * f64::from(1 << k));
        let bears = |d: &f64| self.value(w, self.now + d) >= least && *d < (w.ttl_at - self.now) / 5.0;
        steps.take_while(bears).last().unwrap_or(0.0)
    }

    /// Back after a restart, with its attempts, and where and when the first went that may have run.
    pub fn resumed(&mut self, id: u64, tries: u32, ran: Option<(&str, f64)>) {
        let Some(w) = self.webhooks.get_mut(&id) else { return };
        (w.tries, w.ran) = (tries, ran.map(|(zone, at)| (zone.into(), at)));
        let key = w.key.clone().filter(|_| w.ran.is_some());
        self.hold(id);
        if let Some(k) = key {
            self.key_rests.insert(k.clone(), self.now + self.key_rest);
            self.front_again(&k);
        }
    }

    pub fn withdrawn(&mut self, now: f64, id: u64) {
        self.now = now;
        let Some(w) = self.webhooks.get_mut(&id) else { return };
        // One that is out stays on the books until its outcome: its key must not move on before.
        w.ended = true;
        if w.out.is_none() {
            self.close(id);
        }
    }

    pub fn woken(&mut self, now: f64, _handle: u64) {
        self.now = now;
        self.wake_at = self.wake_at.filter(|t| now < t - 1e-6);
    }

    // ---- ledger ----

    fn close(&mut self, id: u64) {
        let Some(w) = self.webhooks.remove(&id) else { return };
        self.held.take(id);
        let Some(k) = &w.key else { return };
        let line = self.key_lines.entry(k.clone()).or_default();
        line.retain(|x| *x != id);
        if line.is_empty() {
            self.key_lines.remove(k);
        }
        self.front_again(k);
    }

    /// Holds a webhook, or puts it where it belongs now if it is held.
    fn hold(&mut self, id: u64) {
        let Some(w) = self.webhooks.get(&id) else { return };
        let t = self.types.get(&w.evt);
        // No further attempt is allowed.
        let over = t.is_none() || w.tries >= self.caps.attempts;
        let by_zone = t.is_some_and(|t| t.effect == Effect::Tokened && !t.by_all);
        let zone = w.ran.as_ref().filter(|_| by_zone).map(|r| r.0.clone());
        let facts = Facts {
            dest: w.dest,
            // 5 ms before TTL, no attempt can come back in time any more.
            late_at: w.ttl_at - 0.005,
            spent_at: if over { f64::NEG_INFINITY } else { self.repeat_until(w) },
            own_at: w.not_before.max(self.turn_at(id, w)),
            group: (w.evt.clone(), w.over, zone),
            target_at: w.target_at,
        };
        self.held.put(id, facts);
    }

    /// The first of a key may be another one now, or have to rest.
    fn front_again(&mut self, key: &Name) {
        let front = self.key_lines.get(key).and_then(|l| l.front()).copied();
        if let Some(id) = front.filter(|id| self.held.has(*id)) {
            self.hold(id);
        }
    }

    /// Handing in again does no harm: nothing may have run, or whoever gets a repeat knows it.
    fn may_reject(&self, w: &Webhook) -> bool {
        let Some(t) = self.types.get(&w.evt) else { return w.ran.is_none() };
        w.ran.is_none() || t.effect == Effect::Idempotent || (t.effect == Effect::Tokened && t.by_all)
    }

    /// Until when a repeat cannot make a second effect.
    fn repeat_until(&self, w: &Webhook) -> f64 {
        let (Some(t), Some((_, at))) = (self.types.get(&w.evt), &w.ran) else { return f64::INFINITY };
        match t.effect {
            Effect::Idempotent => f64::INFINITY,
            Effect::Tokened => at + t.known_for - REPEAT_MARGIN,
            Effect::AtMostOnce => 0.0,
        }
    }

    /// Until when the last byte of an attempt may be written: a repeat is not to arrive when its window is over.
    pub fn write_until(&self, id: u64) -> f64 {
        self.webhooks.get(&id).map_or(f64::NEG_INFINITY, |w| self.repeat_until(w))
    }

    /// Why an attempt does not go out though its connection has come up, where something came in between.
    pub fn hold_back(&self, now: f64, id: u64, ep: &str) -> Option<HoldBack> {
        let Some(w) = self.webhooks.get(&id).filter(|w| !w.ended) else { return Some(HoldBack::Over) };
        let Some((ep, r)) = self.routes.get_key_value(ep).filter(|(_, r)| r.ready) else {
            return Some(HoldBack::NotListed);
        };
        let waits = self.meters.get(&Self::scope(ep, r)).is_some_and(|m| now < m.wait_until);
        match () {
            () if waits => Some(HoldBack::Waits),
            () if now + r.slow > self.closes_at => Some(HoldBack::Closing),
            () if now >= self.repeat_until(w) => Some(HoldBack::WindowOver),
            () => None,
        }
    }

    /// When it is a webhook's turn among those of its key, as far as time alone decides it.
    fn turn_at(&self, id: u64, w: &Webhook) -> f64 {
        let Some(k) = &w.key else { return 0.0 };
        if self.key_lines.get(k).and_then(|l| l.front()) != Some(&id) {
            return f64::INFINITY;
        }
        // The one that has the turn need not rest. 1 ms more, so that rounding cannot end the rest early.
        if w.ran.is_some() { 0.0 } else { self.key_rests.get(k).map_or(0.0, |t| t + 0.001) }
    }

    fn out_of_time(&self) -> Option<Pick> {
        self.held.first_late().map(Pick::Webhook)
    }

    /// No further attempt is allowed: the tries are used up, or it may have run and must not be repeated.
    fn spent(&self) -> Option<Pick> {
        self.held.first_spent().map(Pick::Webhook)
    }

    /// The holding limit is near: the held webhook with the least still to win makes room.
    fn no_room(&self) -> Option<Pick> {
        if self.webhooks.len() < self.caps.holds.max(2) {
            return None;
        }
        let worth = |id: &&u64| self.webhooks.get(id).map_or(0.0, |w| self.value(w, self.now + 1.0));
        let least = |a: &&u64, b: &&u64| worth(a).total_cmp(&worth(b));
        self.held.ids().min_by(least).map(|id| Pick::Webhook(*id))
    }

    fn give_up(&mut self, pick: Pick, out: &mut dyn Outbox) {
        let Pick::Webhook(id) = pick else { return };
        match self.webhooks.get(&id).map(|w| self.may_reject(w)) {
            // A second: most crowds and short refusals are over by then.
            Some(true) => out.reject(id, self.come_back.min(1.0)),
            Some(false) => out.dead_letter(id),
            None => {}
        }
        self.close(id);
    }

    // ---- list ----

    fn watch_due(&self) -> Option<Pick> {
        (self.watch.ask && !self.watch.watching && self.now >= self.watch.ask_at).then_some(Pick::Any)
    }

    /// A turn to ask, as crowds are refused: twenty calls a second from all, in half of the allowed time.
    fn list_turn(&mut self) -> f64 {
        self.chance.draw() * (0.05 * (self.senders - 1.0)).min(self.watch.within / 2.0)
    }

    fn ask_list(&mut self, _: Pick, out: &mut dyn Outbox) {
        out.watch(true);
        // Asked again well inside the allowed time if no answer comes at all.
        self.watch.ask_at = self.now + self.watch.within / 3.0;
    }

    fn aged(&self) -> Option<Pick> {
        if self.now < self.aging.next {
            return None;
        }
        // A route with calls out is in use.
        let old =
            |r: &Route| r.calls.is_empty() && r.used + AGE < self.now && !(r.ready && r.samples.is_empty());
        let found = self.aging.due.iter().find(|ep| self.routes.get(*ep).is_some_and(old));
        found.cloned().map(Pick::Route).or(Some(Pick::Any))
    }

    fn forget(&mut self, pick: Pick, _: &mut dyn Outbox) {
        let Pick::Route(ep) = pick else {
            self.aging.next = self.now + 5.0;
            self.aging.due.clear();
            self.key_rests.retain(|_, t| *t + 1.0 > self.now);
            return;
        };
        let first = self.first_window();
        self.held.changed.extend(self.routes.get(&ep).map(|r| r.dest));
        if let Some(r) = self.routes.get_mut(&ep).filter(|r| r.ready) {
            r.samples.clear();
            (r.slow, r.score) = (Self::slow_end(&r.samples), Self::score(&r.samples));
            (r.bad_row, r.open, r.window) = (0, false, first);
        } else if let Some(r) = self.routes.remove(&ep) {
            self.dests.entry(r.dest).or_default().retain(|x| *x != ep);
            self.spare.set(&r.kind, &ep, [false; 2]);
            let scope = (r.dest, Some(ep));
            if self.meters.get(&scope).is_some_and(|m| m.wait_until <= self.now) {
                self.meters.remove(&scope);
            }
        }
    }

    // ---- pace and return ----

    fn scope(ep: &Name, r: &Route) -> Scope {
        (r.dest, r.apart.then(|| ep.clone()))
    }

    /// Calls a second that a scope takes from all: as reported in the last 5 s, listed, reported or usual.
    fn rate(&self, r: &Route, m: Option<&Meter>) -> f64 {
        let since = if r.rate > 0.0 { self.now - 5.0 } else { f64::NEG_INFINITY };
        let told = m.into_iter().flat_map(|m| &m.limits).filter(|l| l.0 > since);
        median(told.map(|l| l.1)).unwrap_or(if r.rate > 0.0 { r.rate } else { self.usual })
    }

    /// Calls a second that all senders may make together at a scope back from an outage, if `wanting` want it.
    fn cold_rate(&self, r: &Route, m: Option<&Meter>, wanting: f64) -> f64 {
        let part = self.cold.part(r.back.map_or(0.0, |back| self.now - back));
        // A limit that was cut does not make the destination weaker: what is listed counts.
        let sure = self.rate(r, m).max(r.rate);
        // A call a second where no rate is known: that must not shut a route for good.
        let budget = if sure > 0.0 { sure } else { 1.0 } * part * self.cold.multiple * self.cold.span;
        // What pushes it over; a third of that is left to senders that may not have seen the outage.
        let most = (budget + 2.0 * budget.sqrt() + 2.0) * (wanting / self.senders).max(2.0 / 3.0);
        // Calls that come independently stay within a deviation of their mean, as fewer want it than are counted;
        // those of a few senders stay within one call of each.
        let mean = (((1.0 + 4.0 * most).sqrt() - 1.0) / 2.0).powi(2);
        mean.max(most - wanting).min(budget) / self.cold.span
    }

    /// When the scope takes a call, or a further webhook in a call of this turn.
    fn pace_end(&self, ep: &Name, r: &Route, joins: bool) -> f64 {
        let Some(m) = self.meters.get(&Self::scope(ep, r)) else { return 0.0 };
        let cold = if r.outage { m.cold_due } else { 0.0 };
        if joins {
            return m.wait_until;
        }
        // Reports come every few tenths of a second; an empty allowance is believed for that long.
        let empty = m.left.map_or(0.0, |(left, at)| if left < 0.05 { at + 0.3 } else { 0.0 });
        let rate = self.rate(r, Some(m));
        let mine = (rate * m.share).max(1.0 / self.senders);
        // Whole calls in about a second, the shortest span that limits here come in.
        let most = mine.ceil();
        let oldest = m.sent.len().checked_sub(most as usize).and_then(|i| m.sent.get(i));
        let spent = oldest.filter(|_| rate.min(m.least) > 0.0).map_or(0.0, |at| at + most / mine);
        m.wait_until.max(empty).max(cold).max(spent)
    }

    /// Seconds until each sender that may want a scope back from an outage, or still in one, has had a call within
    /// the cold budget: no more of them than webhooks that came since, and are not over yet.
    fn turn(&self, r: &Route, m: Option<&Meter>, since: f64) -> f64 {
        let rate = if r.rate > 0.0 { r.rate } else { self.rate(r, m) };
        let ttl = self.types.values().map(|t| t.ttl).fold(0.0, f64::max);
        // A sender that saw calls fail does not know for how long others have: since it saw one go well.
        let failing = m.filter(|_| r.outage || r.bad_row > 0).map(|m| m.well_at.unwrap_or(f64::NEG_INFINITY));
        let since = failing.map_or(since, |well_at| since.min(well_at));
        // Twice what the rate lets expect: few calls from many senders bunch by chance.
        let came = 2.0 * rate * (self.now - since).clamp(0.0, ttl) + 1.0;
        let wanting = came.min(self.senders);
        let wait = wanting / self.cold_rate(r, m, wanting);
        // Once it answers the budget grows meanwhile; what is taken until a time is a quadratic in it.
        let Cold { from, warm, .. } = self.cold;
        let grows = |back: f64| (1.0 - from) / (from * warm + (1.0 - from) * (self.now - back)).max(0.001);
        let more = r.back.map_or(0.0, grows);
        if more > 0.0 { ((1.0 + 2.0 * more * wait).sqrt() - 1.0) / more } else { wait }
    }

    fn routes_of<'a>(&'a self, scope: &'a Scope) -> impl Iterator<Item = (&'a Name, &'a Route)> {
        let all = self.dests.get(&scope.0).into_iter().flatten();
        let own = all.filter(|ep| scope.1.as_ref().is_none_or(|own| own == *ep));
        own.filter_map(|ep| Some((ep, self.routes.get(ep)?)))
    }

    /// Each sender in its turn, as with trials: many may hold a webhook when a cold scope takes calls again.
    /// What was put off for longer while nobody knew comes earlier once it answers; a circuit's pause stays.
    fn come_in_turn(&mut self, scope: &Scope, answers: bool) {
        let now = self.now;
        let cold = self.routes_of(scope).filter(|(_, r)| r.outage).map(|(ep, _)| ep.clone());
        for ep in cold.collect::<Vec<_>>() {
            let jitter = self.chance.draw();
            self.routes.entry(ep.clone()).and_modify(|r| r.back = r.back.or(Some(now).filter(|_| answers)));
            let turn = self.turn(&self.routes[&ep], self.meters.get(scope), now - 4.0);
            let due = now + turn * (0.2 + 1.6 * jitter);
            let latest = if answers { due } else { f64::INFINITY };
            let m = self.meters.entry(scope.clone()).or_default();
            m.cold_due = if m.cold_due < now { due } else { m.cold_due.min(latest) };
            let put_off = |r: &mut Route| r.trial_at = r.trial_at.min(latest.max(now + r.cooling));
            self.routes.entry(ep).and_modify(put_off);
        }
    }

    fn cooling_off(&mut self, ep: &Name, scope: &Scope, wait: f64) -> bool {
        let (now, senders, jitter) = (self.now, self.senders, self.chance.draw());
        let left = self.meters.get(scope).and_then(|m| m.left).filter(|l| l.1 == now).map(|l| l.0);
        // It may drain, be cold or slow. A limit makes all refuse: below 4 calls/s each, one tells of it.
        let alone = left.is_some_and(|left| left >= 0.2);
        let free = |r: &Route| (alone || r.rate >= 4.0 * senders) && r.ready && !r.open && r.aside <= now;
        let eps = self.dests.get(&scope.0).map_or(&[][..], Vec::as_slice);
        let other = |x: &Name| x != ep && self.routes.get(x).is_some_and(free);
        if wait <= 0.0 && scope.1.is_none() && eps.iter().any(other) {
            self.routes.entry(ep.clone()).and_modify(|r| r.aside = now + 1.0);
            return false;
        }
        for x in eps {
            self.routes.entry(x.clone()).and_modify(|r| r.aside = 0.0);
        }
        let m = self.meters.entry(scope.clone()).or_default();
        m.full_since = if m.full_row == 0 { now } else { m.full_since };
        m.full_row += 1;
        let r = &self.routes[ep];
        // Nothing good is known, or refused twice: it may be shut, and a clump of two seconds may wait.
        let good = r.samples.iter().any(|s| s.good);
        let shut = m.full_row > 1 || !good;
        // What a report says was used went to calls that it took: a limit, but for a row with nothing good.
        let long = m.full_row > 1 && now - m.full_since > 2.0;
        let fine = r.bad_row == 0 && !r.outage && !long && (good || m.full_row < 2);
        let taking = fine && left.is_some_and(|left| left < 0.95);
        let (since, m) = (m.full_since - wait - if shut { 2.0 } else { 0.0 }, self.meters.get(scope));
        // Until a limit has room for a call though it were cold, 0.2 s at least; up to eight times that.
        let rate = self.rate(r, m);
        let room =
            if taking { (1.0 / (self.cold.from * self.cold.multiple * rate)).clamp(0.2, 4.0) } else { 0.2 };
        // More is called than it takes, and refused calls use it up too: until all together use half of it.
        let gone = taking && left.is_some_and(|left| left < 0.001);
        let part = [1.0, 0.0, 0.5][usize::from(taking) + usize::from(gone)];
        let turn = part * self.turn(r, m, since);
        let most = (8.0 * room).max(if gone { 2.0 * senders / rate } else { 0.0 });
        let m = self.meters.entry(scope.clone()).or_default();
        let own = (room * f64::from(1 << (m.full_row - 1).min(9))).min(most) * (0.75 + 0.5 * jitter);
        let late = if taking { own.max(turn) } else { turn };
        let spread = if wait > 0.0 { wait + late * jitter } else { own.max(turn * (0.2 + 1.6 * jitter)) };
        m.wait_until = m.wait_until.max(now + spread);
        m.full_at = if taking { now } else { f64::NEG_INFINITY };
        // A fifth less of the limit, by half far above an even part, since refused calls use up most limits.
        m.share = (m.share * if m.share > 2.0 / senders { 0.5 } else { 0.8 }).max(m.least);
        if wait > 2.0 || long {
            let since = m.full_since;
            self.mark_outage(scope, now);
            let first =
                |r: &mut Route| r.bad_since = if r.bad_row > 0 { r.bad_since.min(since) } else { since };
            self.routes.entry(ep.clone()).and_modify(first);
        }
        taking
    }

    /// Calls to a destination got lost wherever they went: an outage, though no route had a row of three.
    fn all_failing(&self, scope: &Scope) -> bool {
        let here = || self.routes_of(scope).map(|(_, r)| r);
        // Three as for one route; two seconds, since what was sent then tells of the same moment.
        let fine = |r: &Route| r.samples.iter().any(|s| s.good && s.at - s.took >= self.now - 2.0);
        // Where each of many has less than a call in that time, two more from each would push it over.
        let rate = here().map(|r| self.rate(r, self.meters.get(scope))).fold(0.0, f64::max);
        let enough = if 2.0 * rate < self.senders { 1 } else { 3 };
        here().map(|r| r.bad_row).sum::<u32>() >= enough && !here().any(fine)
    }

    /// A call is back that was sent at `sent_at`. Calls were made for a while, or in numbers, and none went well: an outage.
    /// What was sent before the first of them failed counts with it, as one event may end many calls.
    fn watch_for_outage(&mut self, ep: &str, outcome: Outcome, sent_at: f64) {
        let Some((ep, r)) = self.routes.get_key_value(ep) else { return };
        let (scope, now) = (Self::scope(ep, r), self.now);
        let m = self.meters.entry(scope.clone()).or_default();
        match outcome {
            Outcome::Delivered => return m.failing = None,
            Outcome::Moot(_) => return,
            _ => {}
        }
        // A limit that is used up turns calls away in a row as well; that has paces of its own.
        let lost = u32::from(!matches!(outcome, Outcome::Full(_)));
        let failing = match m.failing {
            None => Failing { since: now, calls: 1, lost },
            Some(f) if sent_at < f.since => f,
            Some(f) => Failing { calls: f.calls + 1, lost: f.lost + lost, ..f },
        };
        m.failing = Some(failing);
        let known = self.routes_of(&scope).all(|(_, r)| r.outage && r.back.is_none());
        let lasts = failing.calls >= OUTAGE_CALLS && now - failing.since > OUTAGE_SPAN;
        if (lasts || failing.lost >= MANY_OUTAGE_CALLS) && !known {
            self.mark_outage(&scope, failing.since);
            self.come_in_turn(&scope, false);
        }
    }

    /// An outage was seen: routes of its scope where no call sent after `since` went well come back cold.
    fn mark_outage(&mut self, scope: &Scope, since: f64) {
        let all = || self.dests.get(&scope.0).map_or(&[][..], Vec::as_slice);
        for ep in scope.1.as_ref().map_or_else(all, std::slice::from_ref) {
            if let Some(r) = self.routes.get_mut(ep)
                && !r.samples.iter().any(|s| s.good && s.at - s.took >= since)
            {
                (r.outage, r.back) = (true, None);
            }
        }
    }

    // ---- attempts ----

    fn first_window(&self) -> f64 {
        // An eighth of the slots, one at least: half of them opened more connections than endpoints take.
        (self.caps.slots as f64 / 8.0).max(1.0)
    }

    /// How long all but the slowest tenth of recent answers took; 0.6 s at least where few are known.
    fn slow_end(samples: &VecDeque<Sample>) -> f64 {
        let mut took: Vec<f64> = samples.iter().filter(|s| s.good).map(|s| s.took).collect();
        took.sort_by(f64::total_cmp);
        if took.len() < 5 { took.last().copied().unwrap_or(0.0).max(0.6) } else { took[took.len() * 9 / 10] }
    }

    /// When a call is taken for lost: over three times the slow end (one in a hundred takes longer), down to
    /// twice where a tenth of calls get lost; 0.8 s at least, as stalls last half a second. Twice as long for
    /// each call lost in a row, up to eight times, so that it follows a route that slows down.
    fn patience(&self, r: &Route) -> f64 {
        let lost = self.lost.iter().filter(|l| **l).count() as f64 / 60.0;
        let times = (3.5 - 15.0 * lost).max(2.0);
        (times * r.slow).max(0.8) * f64::from(1 << r.bad_row.min(3))
    }

    /// No answer for much longer than answers take, with calls out: no more calls until one is back.
    fn silent(&self, r: &Route) -> bool {
        let oldest = r.calls.iter().map(|c| c.at).fold(f64::INFINITY, f64::min);
        self.now - oldest.max(r.answered) > 0.6 * self.patience(r)
    }

    fn stop_at(&self, w: &Webhook, r: &Route) -> f64 {
        let effect = self.types.get(&w.evt).map(|t| t.effect);
        // An at-most-once time-out could only be dead-lettered; `stuck` ends it when its slot is needed.
        let free = matches!(effect, Some(Effect::Idempotent | Effect::Tokened));
        if free { (self.now + self.patience(r)).min(w.ttl_at) } else { w.ttl_at }
    }

    /// All slots are taken and a webhook waits: the call longest past patience is called off.
    fn stuck(&self) -> Option<Pick> {
        if !self.caps.may_call_off || self.busy < self.caps.slots || self.held.is_empty() {
            return None;
        }
        let worst = self.patience_ends().min_by(|a, b| a.0.total_cmp(&b.0))?;
        (worst.0 < self.now).then_some(Pick::Webhook(worst.1))
    }

    /// When patience with each call that is out ends, and a webhook in it.
    fn patience_ends(&self) -> impl Iterator<Item = (f64, u64)> {
        let live = self.active.iter().filter_map(|ep| self.routes.get(ep));
        let calls = live.flat_map(|r| r.calls.iter().filter(|c| !c.called_off).map(move |c| (r, c)));
        calls.filter_map(|(r, c)| Some((c.at + self.patience(r), *c.webhooks.first()?)))
    }

    fn call_off(&mut self, pick: Pick, out: &mut dyn Outbox) {
        let Pick::Webhook(id) = pick else { return };
        for ep in &self.active {
            let calls = self.routes.get_mut(ep).into_iter().flat_map(|r| &mut r.calls);
            for call in calls.filter(|c| c.webhooks.contains(&id)) {
                call.called_off = true;
                for id in &call.webhooks {
                    out.call_off(*id, self.webhooks.get(id).map_or(0, |w| w.tries.saturating_sub(1)));
                }
            }
        }
    }

    fn end_call(
        &mut self, id: u64, ep: &str, outcome: Outcome, took: f64, report: Option<(f64, f64)>,
    ) -> bool {
        let (now, slots, senders, jitter) =
            (self.now, self.caps.slots as f64, self.senders, self.chance.draw());
        let Some((ep, r)) = self.routes.get_key_value(ep) else { return false };
        let (ep, scope) = (ep.clone(), Self::scope(ep, r));
        let Some(r) = self.routes.get_mut(&ep) else { return false };
        self.held.changed.insert(scope.0);
        let m = self.meters.entry(scope.clone()).or_default();
        if let Outcome::Full(wait @ 0.001..) = outcome {
            // 1 ms more, so that rounding cannot end it early; a batch tells it again with each outcome.
            m.wait_until = m.wait_until.max(now + wait + 0.001);
        }
        let Some(at) = r.calls.iter().position(|c| c.webhooks.contains(&id)) else { return false };
        let call = &mut r.calls[at];
        let (sent_at, trial, idle) = (call.at, call.trial, call.idle);
        // Several webhooks in a call have one fate, told one by one: the first is judged, the last frees it.
        let first = !std::mem::replace(&mut call.judged, true);
        call.webhooks.remove(&id);
        if call.webhooks.is_empty() {
            r.calls.remove(at);
            self.busy -= 1;
            if r.calls.is_empty() {
                self.active.remove(&ep);
            }
            match self.out.get_mut(&scope.0).filter(|n| **n > 1) {
                Some(n) => *n -= 1,
                None => drop(self.out.remove(&scope.0)),
            }
        }
        if !first {
            return m.full_at == now;
        }
        r.used = now;
        self.aging.timers.set(ep.clone(), now + AGE);
        // Only the first loss of a row counts: a hung endpoint is tried again and again after a pause.
        let lost = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset);
        self.stale.extend((!trial && r.bad_row == 0).then_some((now, idle, lost)));
        // The last 100 calls in 20 s: enough to see one in ten idle ones, short enough to try again.
        self.stale.retain(|s| s.0 >= now - 20.0);
        self.stale.drain(..self.stale.len().saturating_sub(100));
        if let Some((left, limit)) = report.filter(|r| r.1 > 0.0) {
            m.left = Some((left, now));
            // All of it is used: refused calls may use it up too, and only even parts leave room for any.
            if left < 0.001 {
                (m.share, self.used_up_at) = (m.share.min(2.0 * m.least), now);
            }
            m.limits.push_back((now, limit));
            // The median of the last five reports: they are noisy.
            m.limits.drain(..m.limits.len().saturating_sub(5));
            self.told.push_back(limit);
            self.told.drain(..self.told.len().saturating_sub(20));
            self.usual = median(self.told.iter().copied()).unwrap_or(0.0);
        }
        let (good, mut returns) = (outcome == Outcome::Delivered, false);
        r.unwell_at = (!good).then_some(now);
        let incident = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        match outcome {
            Outcome::Moot(_) => return false,
            Outcome::Full(wait) => {
                r.answered = now;
                r.window = (r.window / 2.0).max(1.0);
                if trial {
                    r.cooling = (r.cooling * 2.0).min(2.0);
                    r.trial_at = now + r.cooling;
                }
                return self.cooling_off(&ep, &scope, wait);
            }
            Outcome::Delivered => {
                (r.answered, m.well_at) = (now, Some(now));
                self.thrift.entry(r.kind.clone()).or_default().1 += 1;
                if r.no_link_at.is_some_and(|t| now < t + 4.0) {
                    // A connect failed just before: too short for an outage, so connections are scarce there,
                    // most likely at all of its kind. A minute, the design's span for what is known.
                    self.thrift.insert(r.kind.clone(), (now + 60.0, 0));
                }
                // One or two unanswered calls before a good answer were lost; more would be an outage.
                let lost = if r.bad_row < 3 { r.bad_row as usize } else { 0 };
                self.lost.extend(std::iter::repeat_n(true, lost).chain([false]));
                // The last 60: enough to tell one in twenty from one in ten.
                self.lost.drain(..self.lost.len().saturating_sub(60));
                r.bad_row = 0;
                // Where room is left and a whole call waits the share grows fast: others use less.
                let waits = self.held.waiting(scope.0) >= r.batch && now > m.full_at + 2.0;
                let room = waits && report.is_some_and(|r| r.0 >= 0.2);
                let more = if room { 0.2 * m.share } else { 0.02 / senders };
                (m.full_row, m.share) = (0, (m.share + more).min(m.share.max(1.0)));
                if now >= r.short_until {
                    r.window = (r.window + 1.0).min((slots * 0.33).max(1.0));
                }
                if std::mem::take(&mut r.open) {
                    r.samples.clear();
                }
                returns = r.outage && r.back.is_none();
                if r.outage && now - *r.back.get_or_insert(now) > self.cold.warm {
                    (r.outage, r.back) = (false, None);
                }
            }
            Outcome::Failed => r.answered = now,
            Outcome::ConnectFailed => {
                r.no_link_at = Some(now);
                let others = r.samples.iter().any(|s| s.good && s.at >= sent_at);
                let scarce = self.thrift.get(&r.kind).is_some_and(|t| now < t.0);
                self.thrift.entry(r.kind.clone()).or_default().1 = 0;
                if others || (scarce && r.bad_row < 3) {
                    // No connection, yet others answer: calls that are out show how many it gets; 5 s,
                    // since idle ones elsewhere close after some seconds.
                    r.window = r.window.min(r.calls.len() as f64).max(1.0);
                    r.short_until = now + 5.0;
                    r.bad_row += 1;
                    return false;
                }
                r.window = (r.window / 2.0).max(1.0);
            }
            Outcome::TimedOut | Outcome::Cancelled => r.window = (r.window / 2.0).max(1.0),
            Outcome::Reset => {}
        }
        r.samples.push_back(Sample { at: now, good, incident, took });
        // 30 samples or the design's 10 s, whichever is less.
        r.samples.retain(|s| s.at >= now - 10.0);
        r.samples.drain(..r.samples.len().saturating_sub(30));
        (r.slow, r.score) = (Self::slow_end(&r.samples), Self::score(&r.samples));
        if good {
            if returns {
                self.come_in_turn(&scope, true);
            }
            return false;
        }
        // A kept connection that ends says nothing of its endpoint; one that is down refuses the next.
        r.bad_row += u32::from(outcome != Outcome::Reset);
        r.bad_since = if r.bad_row == 1 && !r.outage { sent_at } else { r.bad_since };
        let fine = r.samples.iter().filter(|s| s.good).count();
        let quiet = !r.samples.iter().any(|s| s.good && s.at >= sent_at);
        if self.all_failing(&scope) {
            self.mark_outage(&scope, now - 2.0);
            self.come_in_turn(&scope, false);
        }
        let Some(r) = self.routes.get_mut(&ep) else { return false };
        // Two in a row with nothing good since, one error with nothing good known, or most of five: it opens.
        let alone = fine == 0 && outcome == Outcome::Failed;
        if ((r.bad_row >= 2 || alone) && quiet)
            || (r.samples.len() >= 5 && 2 * fine < r.samples.len())
            || trial
        {
            r.cooling = if std::mem::replace(&mut r.open, true) { (r.cooling * 1.5).min(2.0) } else { 0.5 };
            let (cooling, bad_row, since) = (r.cooling, r.bad_row, r.bad_since);
            let row_at = r.samples.iter().rev().take_while(|s| !s.good).last().map_or(now, |s| s.at);
            let turn = self.turn(&self.routes[&ep], self.meters.get(&scope), since - 2.0);
            if let Some(r) = self.routes.get_mut(&ep) {
                r.trial_at = now + (cooling * (0.75 + 0.5 * jitter)).max(turn * (0.2 + 1.6 * jitter));
            }
            // One lost call more, or a failed trial, and it is an outage; fewer can be chance.
            if (trial && outcome != Outcome::Reset) || bad_row >= 3 {
                // What went well since the row began (two seconds at most) is up, however fast this failed.
                self.mark_outage(&scope, row_at.max(now - 2.0));
            }
        }
        false
    }

    // ---- the design: gates, score, argmax ----

    /// The design's score, from what is measured; kept at the route, as it changes with that alone.
    fn score(samples: &VecDeque<Sample>) -> f64 {
        let n = samples.len() as f64;
        let (mut done, mut fast, mut calm) = (1.0, 0.5, 1.0);
        if n >= 5.0 {
            done = samples.iter().filter(|s| s.good).count() as f64 / n;
            let mean = samples.iter().map(|s| s.took).sum::<f64>() / n;
            // From a quick answer to one past any target latency.
            fast = 1.0 - (mean.clamp(0.1, 3.0) - 0.1) / 2.9;
            calm = 1.0 - samples.iter().filter(|s| s.incident).count() as f64 / n;
        }
        0.5 * done + 0.3 * fast + 0.2 * calm
    }

    fn gated(&self, ep: &Name, r: &Route) -> bool {
        // Until one back from an outage has answered, a call takes one webhook: a full one is as much work as three.
        let well_at = self.meters.get(&Self::scope(ep, r)).and_then(|m| m.well_at);
        let unknown = r.outage && well_at.is_none_or(|at| at < r.back.unwrap_or(f64::INFINITY));
        let room = |c: &Call| c.at == self.now && !c.trial && !unknown && c.webhooks.len() < r.batch;
        let joins = r.calls.last().is_some_and(room);
        let at = if joins && r.ready { self.pace_end(ep, r, true) } else { self.free_at(ep, r) };
        r.open || at > self.now
    }

    /// Routes of a destination that may take a call now, best first.
    fn routes_now(&self, dest: u64) -> Vec<&Name> {
        let Some(eps) = self.dests.get(&dest) else { return Vec::new() };
        let free = |ep: &&Name| self.routes.get(*ep).is_some_and(|r| !self.gated(ep, r));
        let score = |ep: &Name| self.routes.get(ep).map_or(0.0, |r| r.score);
        let mut scored: Vec<(f64, &Name)> = eps.iter().filter(free).map(|ep| (score(ep), ep)).collect();
        let top = scored.iter().map(|s| s.0).fold(f64::NEG_INFINITY, f64::max);
        let stays = self.current.get(&dest);
        // Within 0.05 of the top all tie: the current route stays, else the hash decides.
        // One whose last call did not go well comes after the others: for 10 s, as long as samples count.
        scored.sort_by_cached_key(|(score, ep)| {
            let (r, ties) = (&self.routes[*ep], *score >= top - 0.05);
            let unwell = r.unwell_at.is_some_and(|t| t > self.now - 10.0);
            let tied = (unwell, Moment(r.way), Some(*ep) != stays, hash(self.number, ep));
            (Moment(if ties { -9.0 } else { -score }), tied)
        });
        scored.into_iter().map(|s| s.1).collect()
    }

    // ---- queue ----

    fn over_share(&mut self, customer: &str) -> bool {
        let (now, senders) = (self.now, self.senders);
        let Some((quota, _, seen)) = self.customers.get_mut(customer) else { return false };
        seen.push_back(now);
        seen.retain(|t| *t >= now - 2.0);
        // Twice an even part of the share over two seconds: senders carry unequal traffic.
        seen.len() as f64 > (*quota * 2.0 * 2.0 / senders).max(4.0)
    }

    /// What a delivery at `at` would still be worth.
    fn value(&self, w: &Webhook, at: f64) -> f64 {
        let Some(t) = self.types.get(&w.evt) else { return 0.0 };
        let past = at - w.target_at;
        let share = if past <= 0.0 {
            1.0
        } else if at > w.ttl_at {
            0.0
        } else if t.halves {
            0.5_f64.powf(past / t.target.max(0.001)).max(t.late)
        } else {
            (1.0 - (1.0 - t.late) * past / (w.ttl_at - w.target_at).max(0.001)).max(t.late)
        };
        // Value beyond a customer's share counts little; all customers' parts are alike in the settings.
        let part = self.customers.values().next().map_or(1.0, |c| c.1);
        t.value * share * if w.over { part } else { 1.0 }
    }

    /// Order of service, least first: those in time for their target, dearest and soonest; then late ones.
    fn rank(&self, w: &Webhook, usual: f64) -> Rank {
        let at = self.now + usual;
        (u8::from(at > w.target_at), -self.value(w, at), w.target_at)
    }

    fn sendable(&self) -> Option<Pick> {
        let mut best: Option<(Rank, u64, Name)> = None;
        for dest in self.movable() {
            let routes = self.routes_now(dest);
            let (Some(first), Some(groups)) = (routes.first(), self.held.ready.get(&dest)) else { continue };
            let usual = self.routes[*first].slow;
            let mut here: Option<(Rank, u64, u64, &Name)> = None;
            for (group, queue) in groups {
                let fits = |ep: &&&Name| group.2.as_ref().is_none_or(|zone| *zone == self.routes[**ep].zone);
                let Some(ep) = routes.iter().find(fits) else { continue };
                let at = self.now + usual;
                let value = |id| self.webhooks.get(&id).map_or(0.0, |w| self.value(w, at));
                let Some((place, id)) = queue.first(at, value) else { continue };
                let rank = self.rank(&self.webhooks[&id], usual);
                if here.as_ref().is_none_or(|h| (rank, place) < (h.0, h.1)) {
                    here = Some((rank, place, id, ep));
                }
            }
            if let Some((rank, _, id, ep)) = here.filter(|h| best.as_ref().is_none_or(|b| h.0 < b.0)) {
                best = Some((rank, id, ep.clone()));
            }
        }
        best.map(|(_, id, ep)| Pick::Send(id, ep))
    }

    /// An open circuit admits one trial call when its time has come: the webhook that loses least by it.
    fn trial_due(&self) -> Option<Pick> {
        for dest in self.movable() {
            let eps = self.dests.get(&dest).into_iter().flatten();
            let eps = eps.filter_map(|ep| Some((ep, self.routes.get(ep)?)));
            for (ep, r) in eps.filter(|(ep, r)| r.open && self.free_at(ep, r) <= self.now) {
                let able = |g: &Group| g.2.as_ref().is_none_or(|zone| *zone == r.zone);
                let is = |g: &Group, e| self.types.get(&g.0).is_some_and(|t| t.effect == e);
                let harm = |g: &Group| (is(g, Effect::AtMostOnce), is(g, Effect::Tokened));
                let groups = self.held.ready.get(&dest).into_iter().flatten().filter(|(g, _)| able(g));
                let firsts = groups.filter_map(|(g, q)| Some((harm(g), q.by_place.first_key_value()?)));
                if let Some((_, (_, id))) = firsts.min() {
                    return Some(Pick::Send(*id, ep.clone()));
                }
            }
        }
        None
    }

    fn send(&mut self, pick: Pick, out: &mut dyn Outbox) {
        let Pick::Send(id, ep) = pick else { return };
        let (now, senders) = (self.now, self.senders);
        let (Some(w), Some(r)) = (self.webhooks.get(&id), self.routes.get(&ep)) else { return };
        let (scope, stop_at, dest, trial) = (Self::scope(&ep, r), self.stop_at(w, r), w.dest, r.open);
        let turn = self.turn(r, self.meters.get(&scope), r.bad_since - 2.0);
        // An even part, 1.3 where routes share a limit; up to a call a second where one comes once in a TTL
        // or less, as chance decides then who has something to send; else that would jam the limit.
        let ttl = self.types.values().map(|t| t.ttl).fold(f64::INFINITY, f64::min);
        let rate = if r.rate > 0.0 { r.rate } else { self.rate(r, self.meters.get(&scope)) };
        let thin = (senders / (rate * ttl)).min(1.0);
        let share = (if r.apart { 1.0 } else { 1.3 } / senders).max(thin / rate);
        // Half a second: a connection in steady use is never idle for so long.
        let mut idle = r.links > r.calls.len() && now - r.used > 0.5;
        if idle && self.links_go_stale() {
            // A handshake costs less than a lost call. It hurts only where the losses had another cause.
            idle = false;
            self.close_links(Pick::Route(ep.clone()), out);
        }
        out.attempt(id, &ep, stop_at);
        let Some(r) = self.routes.get_mut(&ep) else { return };
        let joined = r.calls.last_mut().filter(|c| c.at == now && !c.trial && c.webhooks.len() < r.batch);
        let m = self.meters.entry(scope).or_default();
        // Where a rate is told but not listed: all of it, unless limits were used up in the last minute.
        if m.least <= 0.0 && rate > 0.0 {
            let all = if now < self.used_up_at + AGE { share } else { share.max(1.0) };
            (m.share, m.least) = if r.rate > 0.0 { (share, 0.5 / senders) } else { (all, 0.5 * share) };
        }
        if let Some(call) = joined {
            call.webhooks.insert(id);
            // A further webhook in a call is some more work for the destination, about a quarter of a call.
            m.cold_due += if r.outage { 0.25 * turn } else { 0.0 };
        } else {
            r.calls.push(Call { at: now, trial, idle, webhooks: BTreeSet::from([id]), ..Call::default() });
            r.links = r.links.max(r.calls.len());
            (r.call_gap, r.call_at) = (now - r.call_at, now);
            self.busy += 1;
            *self.out.entry(dest).or_default() += 1;
            m.cold_due = m.cold_due.max(now) + if r.outage { turn } else { 0.0 };
            m.sent.push_back(now);
            // 400 calls: more than any destination here takes in a second.
            m.sent.drain(..m.sent.len().saturating_sub(400));
        }
        r.used = now;
        self.webhooks.entry(id).and_modify(|w| (w.out, w.tries) = (Some(ep.clone()), w.tries + 1));
        self.held.take(id);
        self.active.insert(ep.clone());
        self.aging.timers.set(ep.clone(), now + AGE);
        self.current.insert(dest, ep);
    }

    /// Idle connections keep others out where endpoints take few. They close when nothing waits for them,
    /// where a connect failed lately (a handshake a call), or calls come further apart than they stay open.
    fn spare_links(&self) -> Option<Pick> {
        let which = |kind: &Name| {
            let (until, good) = self.thrift.get(kind).copied().unwrap_or((self.now, 0));
            // 30 calls: enough connects to meet a scarcity.
            if self.now < until { Some(0) } else { Some(1).filter(|_| good < 30) }
        };
        self.spare.first(which).map(Pick::Route)
    }

    fn close_links(&mut self, pick: Pick, out: &mut dyn Outbox) {
        let Pick::Route(ep) = pick else { return };
        out.close_idle(&ep);
        if let Some(r) = self.routes.get_mut(&ep) {
            r.links = r.calls.len();
            self.held.changed.insert(r.dest);
        }
    }

    /// Calls on connections that stood idle get lost and others do not: something on the way forgets them.
    fn links_go_stale(&self) -> bool {
        let count = |idle, lost| self.stale.iter().filter(|s| s.1 == idle && s.2 == lost).count() as f64;
        let (idle_lost, idle_good) = (count(true, true), count(true, false));
        let fresh = (count(false, true) + 1.0) / (count(false, false) + 10.0);
        // Three at least, a tenth of them, and twice the share of the others: chance seldom does that.
        idle_lost >= 3.0 && idle_lost / (idle_lost + idle_good) > (2.0 * fresh).max(0.1)
    }

    fn wake_due(&self) -> Option<Pick> {
        let at = self.next_at();
        (at < f64::INFINITY && self.wake_at.is_none_or(|t| t > at + 0.005)).then_some(Pick::At(at))
    }

    /// When a rule may fire next without further input. What only an outcome can change needs no wake.
    fn next_at(&self) -> f64 {
        let mut at = if self.watch.ask && !self.watch.watching { self.watch.ask_at } else { f64::INFINITY };
        at = at.min(self.held.next());
        if self.busy < self.caps.slots {
            at = at.min(self.gates.next());
            let active = self.active();
            let eps = active.iter().filter_map(|d| self.dests.get(d)).flatten();
            let times = eps.filter_map(|ep| Some(self.opens_at(ep, self.routes.get(ep)?)));
            at = times.filter(|t| *t > self.now).fold(at, f64::min);
        }
        if self.busy >= self.caps.slots && !self.held.is_empty() && self.caps.may_call_off {
            at = self.patience_ends().map(|c| c.0).fold(at, f64::min);
        }
        // 10 ms at least: small against every target latency, and few enough wakes to cost little.
        at.max(self.now + 0.01)
    }

    /// When a route takes a call, as far as time alone decides it.
    fn free_at(&self, ep: &Name, r: &Route) -> f64 {
        if self.busy >= self.caps.slots { f64::INFINITY } else { self.opens_at(ep, r) }
    }

    /// The same where there are slots.
    fn opens_at(&self, ep: &Name, r: &Route) -> f64 {
        let full = if r.open { !r.calls.is_empty() } else { r.calls.len() as f64 + 1.0 > r.window };
        // A call that is out when the process ends may have run, and nobody hears how it ended.
        let closes = self.now + r.slow > self.closes_at;
        if !r.ready || full || closes || (!r.open && self.silent(r)) {
            return f64::INFINITY;
        }
        self.pace_end(ep, r, false).max(if r.open { r.trial_at } else { r.aside })
    }

    fn set_wake(&mut self, pick: Pick, out: &mut dyn Outbox) {
        let Pick::At(at) = pick else { return };
        self.wake_at = Some(at);
        // Half a millisecond late, so that rounding cannot make it early.
        out.wake(at - self.now + 0.0005, 0);
    }
}

#[cfg(test)]
#[path = "scan.rs"]
mod scan;
