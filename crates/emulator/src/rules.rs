//! The six rules, checked from the event log alone. Nothing here knows how a policy decides or how the world plays:
//! it reads lines and the figures that the rules name.

use crate::events::{Final, LogEntry, LogEvent, Told};
use crate::fleet::Fleet;
use crate::queue::{Nanos, nanos, seconds};
use crate::spec::{Effect, World};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// One final answer in TTL, and nothing sent after it.
    Lost,
    /// No effect twice.
    Twice,
    Drains,
    /// A destination that returns is not pushed over.
    Returns,
    Order,
    Waits,
}

/// A rule broken, with when and by what.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    pub rule: Rule,
    pub at_s: f64,
    pub text: String,
}

struct Kept {
    sender: u32,
    message: u64,
    event_type: u16,
    key: u64,
    ttl_at: Nanos,
    /// The attempt that is out: endpoint and when.
    out: Option<(u32, Nanos)>,
    /// First attempt that may have run: zone and when it was sent.
    ran: Option<(u16, Nanos)>,
    ended: bool,
}

struct Type {
    effect: Effect,
    known: Nanos,
    by_all: bool,
    ordered: bool,
}

/// What a route shares limits and waits with.
type Scope = (u32, Option<u32>);

#[derive(Default)]
struct Outage {
    /// Endpoints that are out.
    out: u32,
    began: Nanos,
    back: Option<Nanos>,
    calls: VecDeque<(Nanos, u32)>,
    /// When a sender last saw a call go wrong there.
    saw: BTreeMap<u32, Nanos>,
}

pub struct Judge {
    types: Vec<Type>,
    scopes: Vec<Scope>,
    zones: Vec<u16>,
    grace: Nanos,
    drain: Nanos,
    fall: Nanos,
    warm: Nanos,
    rest: Nanos,
    kept: Vec<Kept>,
    /// How often a message took effect.
    effects: Vec<u8>,
    started: Vec<Option<Nanos>>,
    /// Endpoints that a sender knows as drained or gone, since when.
    drained: BTreeMap<(u32, u32), Nanos>,
    waits: BTreeMap<(u32, Scope), Nanos>,
    lines: BTreeMap<(u32, u64), VecDeque<u64>>,
    rests: BTreeMap<(u32, u64), (Nanos, u64)>,
    outages: BTreeMap<Scope, Outage>,
    violations: Vec<Violation>,
    more: u64,
}

impl Judge {
    pub fn new(world: &World, fleet: &Fleet) -> Self {
        let scope = |(e, ep): (usize, &crate::fleet::Endpoint)| {
            let kind = fleet.destinations[ep.dest as usize].kind;
            (ep.dest, world.destination_kinds[usize::from(kind)].apart.then_some(e as u32))
        };
        let kind = |t: &crate::spec::EventType| Type {
            effect: t.effect,
            known: nanos(t.known_s),
            by_all: t.by_all,
            ordered: t.ordered,
        };
        let r = &world.rules;
        Judge {
            types: world.event_types.iter().map(kind).collect(),
            scopes: fleet.endpoints.iter().enumerate().map(scope).collect(),
            zones: fleet.endpoints.iter().map(|e| e.zone).collect(),
            grace: nanos(r.answer_grace_s),
            drain: nanos(r.drain_grace_s),
            fall: nanos(r.fall_s),
            warm: nanos(r.warm_s),
            rest: nanos(r.key_rest_s),
            kept: Vec::new(),
            effects: Vec::new(),
            started: vec![None; world.senders.count],
            drained: BTreeMap::new(),
            waits: BTreeMap::new(),
            lines: BTreeMap::new(),
            rests: BTreeMap::new(),
            outages: BTreeMap::new(),
            violations: Vec::new(),
            more: 0,
        }
    }

    fn breaks(&mut self, rule: Rule, at: Nanos, text: String) {
        // A few of each rule say what is wrong; a policy that breaks one always would fill the memory.
        if self.violations.iter().filter(|b| b.rule == rule).count() < 20 {
            self.violations.push(Violation { rule, at_s: seconds(at), text });
        } else {
            self.more += 1;
        }
    }

    pub fn see(&mut self, line: &LogEntry) {
        let now = line.at;
        match line.event {
            LogEvent::Started { sender } => self.started[sender as usize] = Some(now),
            LogEvent::Killed { sender } => self.killed(now, sender),
            LogEvent::Taken { webhook, message, sender, event_type, key, ttl_at, .. } => {
                debug_assert_eq!(self.kept.len() as u64 + 1, webhook);
                let kept =
                    Kept { sender, message, event_type, key, ttl_at, out: None, ran: None, ended: false };
                self.kept.push(kept);
                let messages = self.effects.len().max(message as usize + 1);
                self.effects.resize(messages, 0);
                if self.types[usize::from(event_type)].ordered {
                    self.lines.entry((sender, key)).or_default().push_back(webhook);
                }
            }
            LogEvent::Attempt { webhook, sender, ep } => self.attempt(now, webhook, sender, ep),
            LogEvent::Outcome { webhook, sender, ep, told, wait } => {
                self.outcome(now, webhook, sender, ep, told);
                if wait > 0 {
                    self.wait(now + wait, sender, ep);
                }
            }
            LogEvent::Wait { sender, ep, wait } => self.wait(now + wait, sender, ep),
            LogEvent::Ran { webhook, ep, known } => self.ran(now, webhook, ep, known),
            LogEvent::End { webhook, sender, end } => self.ends(now, webhook, sender, end),
            LogEvent::Listed { sender, ep, ready: true } => {
                self.drained.remove(&(sender, ep));
            }
            LogEvent::Listed { sender, ep, ready: false } => {
                self.drained.entry((sender, ep)).or_insert(now);
            }
            LogEvent::OutageBegan { ep } => {
                let o = self.outages.entry(self.scopes[ep as usize]).or_default();
                o.began = if o.out == 0 { now } else { o.began };
                o.out += 1;
            }
            LogEvent::OutageEnded { ep } => {
                let o = self.outages.entry(self.scopes[ep as usize]).or_default();
                o.out = o.out.saturating_sub(1);
                o.back = Some(now);
            }
            LogEvent::Call { sender, ep } => {
                let (fall, warm) = (self.fall, self.warm);
                let Some(o) = self.outages.get_mut(&self.scopes[ep as usize]) else { return };
                if o.back.is_some_and(|b| now <= b + warm) {
                    o.calls.push_back((now, sender));
                    while o.calls.front().is_some_and(|c| c.0 + fall < now) {
                        o.calls.pop_front();
                    }
                }
            }
            LogEvent::Fell { ep } => self.fell(now, ep),
        }
    }

    fn wait(&mut self, until: Nanos, sender: u32, ep: u32) {
        let w = self.waits.entry((sender, self.scopes[ep as usize])).or_default();
        *w = (*w).max(until);
    }

    fn attempt(&mut self, now: Nanos, webhook: u64, sender: u32, ep: u32) {
        let Some(k) = self.kept.get(webhook as usize - 1) else { return };
        let t = &self.types[usize::from(k.event_type)];
        let mut found = Vec::new();
        if k.ended {
            found.push((Rule::Lost, format!("webhook {webhook} was sent after its final answer")));
        }
        if k.out.is_some() {
            found.push((Rule::Twice, format!("webhook {webhook} was sent while an attempt was out")));
        }
        if let Some((zone, at)) = k.ran {
            let why = match t.effect {
                Effect::Idempotent => None,
                Effect::AtMostOnce => Some("is at-most-once"),
                Effect::Tokened if now > at + t.known => Some("is known no more"),
                Effect::Tokened if !t.by_all && zone != self.zones[ep as usize] => {
                    Some("is known in another zone")
                }
                Effect::Tokened => None,
            };
            found.extend(
                why.map(|why| {
                    (Rule::Twice, format!("webhook {webhook} may have run, {why}, was sent again"))
                }),
            );
        }
        if self.drained.get(&(sender, ep)).is_some_and(|since| now > since + self.drain) {
            found
                .push((Rule::Drains, format!("sender {sender} sent to endpoint {ep}, which drains or left")));
        }
        let scope = self.scopes[ep as usize];
        if self.waits.get(&(sender, scope)).is_some_and(|until| now < *until) {
            found.push((
                Rule::Waits,
                format!("sender {sender} sent to destination {} before its wait was over", scope.0),
            ));
        }
        if t.ordered {
            let line = self.lines.get(&(sender, k.key));
            let mut before = line.into_iter().flatten().take_while(|w| **w != webhook);
            let busy = |w: &&u64| {
                let k = &self.kept[**w as usize - 1];
                !k.ended || k.out.is_some()
            };
            if let Some(earlier) = before.find(busy) {
                found.push((
                    Rule::Order,
                    format!("webhook {webhook} was sent before {earlier} of its key was over"),
                ));
            }
            let rests = self.rests.get(&(sender, k.key));
            if rests.is_some_and(|(until, by)| now < *until && *by != webhook) {
                found.push((Rule::Order, format!("webhook {webhook} was sent while its key rested")));
            }
        }
        for (rule, text) in found {
            self.breaks(rule, now, text);
        }
        self.kept[webhook as usize - 1].out = Some((ep, now));
    }

    fn outcome(&mut self, now: Nanos, webhook: u64, sender: u32, ep: u32, told: Told) {
        if !matches!(told, Told::Delivered | Told::Moot | Told::HeldBack) {
            self.outages.entry(self.scopes[ep as usize]).or_default().saw.insert(sender, now);
        }
        let Some(k) = self.kept.get_mut(webhook as usize - 1) else { return };
        if told == Told::Moot {
            return;
        }
        let out = k.out.take();
        let may_run = matches!(told, Told::Failed | Told::TimedOut | Told::Reset | Told::Cancelled);
        if let Some((ep, at)) = out.filter(|_| may_run && k.ran.is_none()) {
            k.ran = Some((self.zones[ep as usize], at));
        }
        let may_still = matches!(told, Told::TimedOut | Told::Reset | Told::Cancelled);
        let (key, ended) = (k.key, k.ended);
        if self.types[usize::from(k.event_type)].ordered {
            if may_still {
                self.rests.insert((sender, key), (now + self.rest, webhook));
            }
            if ended {
                self.out_of_line(sender, key, webhook);
            }
        }
    }

    fn out_of_line(&mut self, sender: u32, key: u64, webhook: u64) {
        if let Some(line) = self.lines.get_mut(&(sender, key)) {
            line.retain(|w| *w != webhook);
            if line.is_empty() {
                self.lines.remove(&(sender, key));
            }
        }
    }

    fn ran(&mut self, now: Nanos, webhook: u64, ep: u32, known: bool) {
        let Some(k) = self.kept.get(webhook as usize - 1) else { return };
        let (message, effect) = (k.message, self.types[usize::from(k.event_type)].effect);
        if known || effect == Effect::Idempotent {
            return;
        }
        let n = &mut self.effects[message as usize];
        *n = n.saturating_add(1);
        if *n == 2 {
            self.breaks(
                Rule::Twice,
                now,
                format!("message {message} took effect a second time, at endpoint {ep}"),
            );
        }
    }

    fn ends(&mut self, now: Nanos, webhook: u64, sender: u32, end: Final) {
        let Some(k) = self.kept.get_mut(webhook as usize - 1) else { return };
        if std::mem::replace(&mut k.ended, true) {
            return self.breaks(Rule::Lost, now, format!("webhook {webhook} got a second final answer"));
        }
        let (ttl_at, ran, out, key, event_type) =
            (k.ttl_at, k.ran, k.out.is_some(), k.key, usize::from(k.event_type));
        // One whose time ended while its sender was down is owed an answer at once when it is up again.
        let up = self.started[sender as usize].unwrap_or(0);
        let answers = matches!(end, Final::Delivered | Final::Rejected | Final::DeadLettered);
        if answers && now > ttl_at.max(up) + self.grace {
            let late = seconds(now - ttl_at);
            self.breaks(
                Rule::Lost,
                now,
                format!("webhook {webhook} got its final answer {late:.3} s after TTL"),
            );
        }
        let t = &self.types[event_type];
        let no_harm = t.effect == Effect::Idempotent || (t.effect == Effect::Tokened && t.by_all);
        if end == Final::Rejected && (ran.is_some() || out) && !no_harm {
            self.breaks(Rule::Twice, now, format!("webhook {webhook} may have run and was rejected"));
        }
        if self.types[event_type].ordered && !out {
            self.out_of_line(sender, key, webhook);
        }
    }

    fn killed(&mut self, now: Nanos, sender: u32) {
        self.started[sender as usize] = None;
        let mut over = Vec::new();
        for (i, k) in self.kept.iter_mut().enumerate().filter(|(_, k)| k.sender == sender) {
            let Some((ep, at)) = k.out.take() else { continue };
            k.ran = k.ran.or(Some((self.zones[ep as usize], at)));
            if self.types[usize::from(k.event_type)].ordered {
                self.rests.insert((sender, k.key), (now + self.rest, i as u64 + 1));
                over.extend(k.ended.then_some((k.key, i as u64 + 1)));
            }
        }
        over.into_iter().for_each(|(key, webhook)| self.out_of_line(sender, key, webhook));
    }

    fn fell(&mut self, now: Nanos, ep: u32) {
        let scope = self.scopes[ep as usize];
        let Some(o) = self.outages.get(&scope) else { return };
        let all = o.calls.len();
        let warned = o.calls.iter().filter(|c| o.saw.get(&c.1).is_some_and(|at| *at >= o.began)).count();
        // Two thirds of the load, as the rule states.
        if all > 0 && 3 * warned >= 2 * all {
            let text = format!(
                "destination {} was pushed over, {warned} of {all} calls by senders that saw its outage",
                scope.0
            );
            self.breaks(Rule::Returns, now, text);
        }
    }

    /// All rules broken, by time; what was never answered counts where its sender is up.
    pub fn verdict(mut self, ended: Nanos) -> Vec<Violation> {
        for i in 0..self.kept.len() {
            let k = &self.kept[i];
            let up = self.started[k.sender as usize];
            if !k.ended && up.is_some_and(|up| ended > k.ttl_at.max(up) + self.grace) {
                let at = k.ttl_at;
                self.breaks(Rule::Lost, at, format!("webhook {} never got a final answer", i + 1));
            }
        }
        self.violations.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        if self.more > 0 {
            let text = format!("{} further breaches are not listed", self.more);
            let rule = self.violations.last().map_or(Rule::Lost, |b| b.rule);
            self.violations.push(Violation { rule, at_s: seconds(ended), text });
        }
        self.violations
    }
}
