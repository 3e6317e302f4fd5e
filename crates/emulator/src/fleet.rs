//! Destinations and their endpoints: how much they take, what they refuse, and how they are after an outage. No
//! events here: each method is told the time and answers.

use crate::queue::{Nanos, nanos, seconds};
use crate::random::{Generator, Weighted, generator};
use crate::spec::{LimitBy, Rules, World};
use rand::RngExt;
use std::collections::{BTreeMap, VecDeque};

pub struct Destination {
    pub kind: u16,
    pub endpoints: std::ops::Range<u32>,
    /// Calls a second it takes from all senders together (a route: its own).
    pub rate: f64,
    pub apart: bool,
    limit: Limit,
}

/// What a limit has left. Calls that it refuses count against a span as well.
#[derive(Clone, Default)]
struct Limit {
    by: LimitBy,
    per_s: f64,
    span: Nanos,
    began: Nanos,
    used: f64,
}

impl Limit {
    fn new(by: LimitBy, per_s: f64, span_s: f64) -> Self {
        Limit { by, per_s, span: nanos(span_s), began: 0, used: 0.0 }
    }

    /// Takes a call in, or says after how long there is room. `factor` is that of a limit cut.
    fn take(&mut self, now: Nanos, factor: f64) -> Result<(), Nanos> {
        let most = (self.per_s * factor * seconds(self.span)).max(1.0);
        match self.by {
            LimitBy::None => Ok(()),
            LimitBy::Span => {
                if now >= self.began + self.span {
                    (self.began, self.used) = (now - (now - self.began) % self.span, 0.0);
                }
                self.used += 1.0;
                if self.used <= most { Ok(()) } else { Err(self.began + self.span - now) }
            }
            LimitBy::Rate => {
                // A bucket: `used` runs down with time.
                let per_s = self.per_s * factor;
                self.used = (self.used - seconds(now - self.began) * per_s).max(0.0);
                self.began = now;
                if self.used + 1.0 <= most {
                    self.used += 1.0;
                    Ok(())
                } else {
                    Err(nanos((self.used + 1.0 - most) / per_s))
                }
            }
        }
    }

    fn left(&self, factor: f64) -> f64 {
        let most = (self.per_s * factor * seconds(self.span)).max(1.0);
        (1.0 - self.used / most).max(0.0)
    }
}

pub struct Endpoint {
    pub dest: u32,
    pub number: u16,
    pub zone: u16,
    pub workers: u32,
    /// Calls a second that it can do when warm.
    pub capacity: f64,
    pub busy: u32,
    pub waiting: VecDeque<u32>,
    pub running: Vec<u32>,
    pub connections: usize,
    pub listed: Listed,
    limit: Limit,
    /// Back from an outage since then.
    back_at: Option<Nanos>,
    pub fallen: bool,
    /// Calls that came lately; at the first endpoint for all that share an outage.
    recent: VecDeque<Nanos>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed {
    pub ready: bool,
    pub rate: f64,
}

pub struct Fleet {
    pub destinations: Vec<Destination>,
    pub endpoints: Vec<Endpoint>,
    pub names: Vec<String>,
    pub zones: Vec<String>,
    /// Which destination a webhook is for.
    pub traffic: Weighted,
    /// Tokens known by a whole destination or one zone of it.
    known: BTreeMap<(u32, u16, u64), Nanos>,
    forget_at: Nanos,
}

impl Fleet {
    pub fn new(world: &World, seed: u64) -> Self {
        let mut chance = generator(seed, "fleet");
        let d = &world.destinations;
        // Zipf's law: the n-th in order of traffic gets 1 / n^skew.
        let traffic = Weighted::new((0..d.count).map(|n| ((n + 1) as f64).powf(-d.skew)));
        let destination_kinds = Weighted::new(world.destination_kinds.iter().map(|k| k.share));
        let (mut destinations, mut endpoints) = (Vec::new(), Vec::new());
        for n in 0..d.count {
            let kind = destination_kinds.draw(&mut chance) as u16;
            let k = &world.destination_kinds[usize::from(kind)];
            let many = chance.random_range(d.endpoints.0..=d.endpoints.1) as u32;
            let first = endpoints.len() as u32;
            let wanted = world.clients.rate * traffic.share(n) * k.headroom;
            let shares = if k.apart { 1.0 } else { f64::from(many) };
            // A route apart takes its own part of the traffic, and is as large as the least on its own.
            let mut rate = if k.apart { wanted / f64::from(many) } else { wanted }.max(k.least_rate);
            let spare = if k.limit == LimitBy::None { 1.0 } else { k.spare };
            let mean = k.service.mean_s.max(1e-9);
            let workers = match k.workers {
                0 => (rate * spare / shares * mean).ceil().max(1.0) as u32,
                n => n as u32,
            };
            if k.workers > 0 && k.limit == LimitBy::None {
                rate = f64::from(workers) / mean * shares;
            }
            let zone = chance.random_range(0..world.net.zones) as u16;
            for number in 0..many as u16 {
                endpoints.push(Endpoint {
                    dest: n as u32,
                    number,
                    zone: (zone + number) % world.net.zones as u16,
                    workers,
                    capacity: rate * spare / shares,
                    busy: 0,
                    waiting: VecDeque::new(),
                    running: Vec::new(),
                    connections: 0,
                    listed: Listed { ready: true, rate },
                    limit: Limit::new(if k.apart { k.limit } else { LimitBy::None }, rate, k.span_s),
                    back_at: None,
                    fallen: false,
                    recent: VecDeque::new(),
                });
            }
            let limit = Limit::new(if k.apart { LimitBy::None } else { k.limit }, rate, k.span_s);
            destinations.push(Destination {
                kind,
                endpoints: first..first + many,
                rate,
                apart: k.apart,
                limit,
            });
        }
        let names = (0..endpoints.len()).map(|e| format!("e{e}")).collect();
        let zones = (0..world.net.zones).map(|z| format!("z{z}")).collect();
        Fleet { destinations, endpoints, names, zones, traffic, known: BTreeMap::new(), forget_at: 0 }
    }

    /// The number behind a name of an endpoint, as policies give it back.
    pub fn number(&self, name: &str) -> Option<u32> {
        name.strip_prefix('e')?.parse().ok().filter(|n| (*n as usize) < self.endpoints.len())
    }

    /// Takes a call in by the limit that it falls under, or says how long until there is room.
    pub fn take(&mut self, now: Nanos, ep: u32, factor: f64) -> Result<(), Nanos> {
        let e = &mut self.endpoints[ep as usize];
        e.limit.take(now, factor)?;
        self.destinations[e.dest as usize].limit.take(now, factor)
    }

    /// The share of the limit that is left, and the limit in calls a second.
    pub fn report(&self, ep: u32, factor: f64) -> (f64, f64) {
        let e = &self.endpoints[ep as usize];
        let d = &self.destinations[e.dest as usize];
        let l = if e.limit.by == LimitBy::None { &d.limit } else { &e.limit };
        (l.left(factor), l.per_s * factor)
    }

    /// How long a limit that is used up stays so; 0 where there is room.
    pub fn used_up(&self, now: Nanos, ep: u32) -> Nanos {
        let e = &self.endpoints[ep as usize];
        let d = &self.destinations[e.dest as usize];
        let l = if e.limit.by == LimitBy::None { &d.limit } else { &e.limit };
        let ends = l.began + l.span;
        if l.by == LimitBy::Span && l.left(1.0) == 0.0 && ends > now { ends - now } else { 0 }
    }

    /// Marks a token as seen, and says whether it is a repeat that is dropped: one known to all endpoints of the
    /// destination, or to those of one zone, for the time `known`.
    pub fn knows(&mut self, now: Nanos, ep: u32, token: u64, by_all: bool, known: Nanos) -> bool {
        let e = &self.endpoints[ep as usize];
        let key = (e.dest, if by_all { u16::MAX } else { e.zone }, token);
        // Old ones are dropped in one go now and then; none counts after its time.
        if now >= self.forget_at {
            self.forget_at = now + known.max(1);
            self.known.retain(|_, at| *at + known >= now);
        }
        if self.known.get(&key).is_some_and(|first| now <= first + known) {
            return true;
        }
        self.known.insert(key, now);
        false
    }

    /// What was marked as seen did not run after all.
    pub fn forget(&mut self, ep: u32, token: u64) {
        let e = &self.endpoints[ep as usize];
        self.known.remove(&(e.dest, e.zone, token));
        self.known.remove(&(e.dest, u16::MAX, token));
    }

    /// An endpoint is well again: it is cold from now on.
    pub fn back(&mut self, now: Nanos, ep: u32) {
        self.endpoints[ep as usize].back_at = Some(now);
    }

    /// The share of its capacity that an endpoint has now.
    pub fn part(&self, now: Nanos, ep: u32, rules: &Rules) -> f64 {
        let Some(back) = self.endpoints[ep as usize].back_at else { return 1.0 };
        let since = seconds(now - back);
        let rise = if rules.warm_s > 0.0 { since / rules.warm_s } else { 1.0 };
        (rules.cold_from + (1.0 - rules.cold_from) * rise).min(1.0)
    }

    /// Endpoints that share a limit, waits and outages with one: those of its destination, or it alone.
    pub fn fellows(&self, ep: u32) -> std::ops::Range<u32> {
        let d = &self.destinations[self.endpoints[ep as usize].dest as usize];
        if d.apart { ep..ep + 1 } else { d.endpoints.clone() }
    }

    /// Counts a call that reaches an endpoint, and names those that are pushed over by it: cold ones, where within
    /// `fall_s` more calls came than the stated multiple of what all of the destination (or the route) can do now.
    pub fn pushed_over(&mut self, now: Nanos, ep: u32, rules: &Rules) -> Vec<u32> {
        let fellows = self.fellows(ep);
        let (mut capacity, mut cold) = (0.0, Vec::new());
        for e in fellows.clone() {
            let part = self.part(now, e, rules);
            if part < 1.0 && !self.endpoints[e as usize].fallen {
                cold.push(e);
            }
            capacity += self.endpoints[e as usize].capacity * part;
        }
        let recent = &mut self.endpoints[fellows.start as usize].recent;
        if cold.is_empty() {
            recent.clear();
            return cold;
        }
        recent.push_back(now);
        let span = nanos(rules.fall_s);
        while recent.front().is_some_and(|t| *t + span < now) {
            recent.pop_front();
        }
        let budget = rules.fall_multiple * capacity * rules.fall_s;
        // Two deviations of a count by chance, and two calls: a few calls that bunch push nobody over.
        if recent.len() as f64 > budget + 2.0 * budget.sqrt() + 2.0 { cold } else { Vec::new() }
    }
}

/// Draws the seconds of work for a call of so many webhooks.
pub fn work(k: &crate::spec::DestinationKind, webhooks: usize, with: &mut Generator) -> f64 {
    k.service.draw(with) * (1.0 + k.item_cost * (webhooks - 1) as f64)
}
