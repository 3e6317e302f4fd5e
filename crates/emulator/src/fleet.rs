//! Destinations and their endpoints: their capacity, their limits, and how they come back from an outage.
//! Nothing here handles events: each method gets the time and answers at once.

use crate::queue::{Nanos, nanos, seconds};
use crate::random::{Generator, Weighted, generator};
use crate::spec::{LimitBy, RuleSettings, World};
use rand::RngExt;
use std::collections::{BTreeMap, VecDeque};

/// A partner's system with its endpoints.
pub struct Destination {
    /// Index of its kind in the world.
    pub kind_id: u16,
    /// Ids of its endpoints.
    pub endpoints: std::ops::Range<u32>,
    /// Calls per second that it takes from all senders together; of each endpoint where these are
    /// independent.
    pub rate: f64,
    /// Each endpoint has its own limit, waits and outages.
    pub independent_endpoints: bool,
    limit: Limit,
}

/// A rate limit and how much of it is used. In a fixed window refused calls count as well.
#[derive(Clone, Default)]
struct Limit {
    kind: LimitBy,
    per_s: f64,
    window: Nanos,
    started_at: Nanos,
    used: f64,
}

impl Limit {
    fn new(kind: LimitBy, per_s: f64, window_s: f64) -> Self {
        Limit { kind, per_s, window: nanos(window_s), started_at: 0, used: 0.0 }
    }

    /// Admits a call, or returns how long to wait. `factor` scales the limit.
    fn admit(&mut self, now: Nanos, factor: f64) -> Result<(), Nanos> {
        let allowed = (self.per_s * factor * seconds(self.window)).max(1.0);
        match self.kind {
            LimitBy::None => Ok(()),
            LimitBy::Span => {
                if now >= self.started_at + self.window {
                    (self.started_at, self.used) = (now - (now - self.started_at) % self.window, 0.0);
                }
                self.used += 1.0;
                if self.used <= allowed { Ok(()) } else { Err(self.started_at + self.window - now) }
            }
            LimitBy::Rate => {
                // A leaky bucket: `used` drains at the rate of the limit.
                let per_s = self.per_s * factor;
                self.used = (self.used - seconds(now - self.started_at) * per_s).max(0.0);
                self.started_at = now;
                if self.used + 1.0 <= allowed {
                    self.used += 1.0;
                    Ok(())
                } else {
                    Err(nanos((self.used + 1.0 - allowed) / per_s))
                }
            }
        }
    }

    /// The share of the limit that is left.
    fn left(&self, factor: f64) -> f64 {
        let allowed = (self.per_s * factor * seconds(self.window)).max(1.0);
        (1.0 - self.used / allowed).max(0.0)
    }
}

/// One server of a destination.
pub struct Endpoint {
    /// The destination it belongs to.
    pub destination_id: u32,
    /// Number within its destination.
    pub number: u16,
    /// Its zone.
    pub zone: u16,
    /// Calls that it works on at once.
    pub workers: u32,
    /// Calls per second that it can do when warm.
    pub capacity: f64,
    /// Workers that are busy.
    pub busy: u32,
    /// Ids of the calls that wait for a worker.
    pub queue: VecDeque<u32>,
    /// Ids of the calls being worked on.
    pub running: Vec<u32>,
    /// Open connections of all senders.
    pub connections: usize,
    /// Its entry in the endpoint list.
    pub listed: Listed,
    limit: Limit,
    /// When it came back from its last outage.
    returned_at: Option<Nanos>,
    /// Down after an overload.
    pub overloaded: bool,
    /// Arrival times of recent calls; kept at the first endpoint for all that share outages.
    recent: VecDeque<Nanos>,
}

/// What the endpoint list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed {
    /// Whether it takes new work.
    pub ready: bool,
    /// Calls per second.
    pub rate: f64,
}

/// All destinations of a world.
pub struct Fleet {
    /// By destination id.
    pub destinations: Vec<Destination>,
    /// By endpoint id.
    pub endpoints: Vec<Endpoint>,
    /// Names of the endpoints, as policies use them.
    pub endpoint_names: Vec<String>,
    /// Names of the zones.
    pub zone_names: Vec<String>,
    /// Draws the destination of a message.
    pub traffic: Weighted,
    /// When a token was first seen, by destination, zone (`u16::MAX` where zones share tokens) and token.
    tokens: BTreeMap<(u32, u16, u64), Nanos>,
    /// When expired tokens are dropped next.
    forget_at: Nanos,
}

impl Fleet {
    /// Draws the fleet of a world.
    pub fn new(world: &World, seed: u64) -> Self {
        let mut rng = generator(seed, "fleet");
        let settings = &world.destinations;
        // Zipf's law: the n-th in order of traffic gets 1 / n^zipf_exponent.
        let traffic =
            Weighted::new((0..settings.count).map(|rank| ((rank + 1) as f64).powf(-settings.zipf_exponent)));
        let kind_weights = Weighted::new(world.destination_kinds.iter().map(|kind| kind.share));
        let (mut destinations, mut endpoints) = (Vec::new(), Vec::new());
        for destination_id in 0..settings.count {
            let kind_id = kind_weights.draw(&mut rng) as u16;
            let kind = &world.destination_kinds[usize::from(kind_id)];
            let endpoint_count =
                rng.random_range(settings.endpoint_count.0..=settings.endpoint_count.1) as u32;
            let first = endpoints.len() as u32;
            let wanted_rate = world.clients.rate * traffic.share(destination_id) * kind.headroom;
            let sharing = if kind.independent_endpoints { 1.0 } else { f64::from(endpoint_count) };
            // An independent endpoint gets its own part of the traffic, and the minimum rate holds for it
            // alone.
            let mut rate = if kind.independent_endpoints {
                wanted_rate / f64::from(endpoint_count)
            } else {
                wanted_rate
            }
            .max(kind.min_rate);
            let capacity_multiple = if kind.limit == LimitBy::None { 1.0 } else { kind.capacity_multiple };
            let mean_service_s = kind.service_time.mean_s.max(1e-9);
            let workers = match kind.workers {
                0 => (rate * capacity_multiple / sharing * mean_service_s).ceil().max(1.0) as u32,
                workers => workers as u32,
            };
            if kind.workers > 0 && kind.limit == LimitBy::None {
                rate = f64::from(workers) / mean_service_s * sharing;
            }
            let zone = rng.random_range(0..world.network.zones) as u16;
            for number in 0..endpoint_count as u16 {
                endpoints.push(Endpoint {
                    destination_id: destination_id as u32,
                    number,
                    zone: (zone + number) % world.network.zones as u16,
                    workers,
                    capacity: rate * capacity_multiple / sharing,
                    busy: 0,
                    queue: VecDeque::new(),
                    running: Vec::new(),
                    connections: 0,
                    listed: Listed { ready: true, rate },
                    limit: Limit::new(
                        if kind.independent_endpoints { kind.limit } else { LimitBy::None },
                        rate,
                        kind.limit_window_s,
                    ),
                    returned_at: None,
                    overloaded: false,
                    recent: VecDeque::new(),
                });
            }
            let limit = Limit::new(
                if kind.independent_endpoints { LimitBy::None } else { kind.limit },
                rate,
                kind.limit_window_s,
            );
            destinations.push(Destination {
                kind_id,
                endpoints: first..first + endpoint_count,
                rate,
                independent_endpoints: kind.independent_endpoints,
                limit,
            });
        }
        let endpoint_names = (0..endpoints.len()).map(|endpoint_id| format!("e{endpoint_id}")).collect();
        let zone_names = (0..world.network.zones).map(|zone| format!("z{zone}")).collect();
        Fleet {
            destinations,
            endpoints,
            endpoint_names,
            zone_names,
            traffic,
            tokens: BTreeMap::new(),
            forget_at: 0,
        }
    }

    /// The id of an endpoint by its name.
    pub fn endpoint_id(&self, name: &str) -> Option<u32> {
        name.strip_prefix('e')?
            .parse()
            .ok()
            .filter(|endpoint_id| (*endpoint_id as usize) < self.endpoints.len())
    }

    /// Counts a call against the limit of its endpoint or destination, or returns how long to wait.
    pub fn consume_limit(&mut self, now: Nanos, endpoint_id: u32, factor: f64) -> Result<(), Nanos> {
        let endpoint = &mut self.endpoints[endpoint_id as usize];
        endpoint.limit.admit(now, factor)?;
        self.destinations[endpoint.destination_id as usize].limit.admit(now, factor)
    }

    /// The share of the limit that is left, and the limit in calls per second.
    pub fn limit_report(&self, endpoint_id: u32, factor: f64) -> (f64, f64) {
        let endpoint = &self.endpoints[endpoint_id as usize];
        let destination = &self.destinations[endpoint.destination_id as usize];
        let limit = if endpoint.limit.kind == LimitBy::None { &destination.limit } else { &endpoint.limit };
        (limit.left(factor), limit.per_s * factor)
    }

    /// How long the fixed window of a used-up limit still lasts; 0 where something is left, and for limits
    /// without a fixed window.
    pub fn limit_used_up_for(&self, now: Nanos, endpoint_id: u32) -> Nanos {
        let endpoint = &self.endpoints[endpoint_id as usize];
        let destination = &self.destinations[endpoint.destination_id as usize];
        let limit = if endpoint.limit.kind == LimitBy::None { &destination.limit } else { &endpoint.limit };
        let ends_at = limit.started_at + limit.window;
        if limit.kind == LimitBy::Span && limit.left(1.0) == 0.0 && ends_at > now { ends_at - now } else { 0 }
    }

    /// Records a token, and returns whether the webhook is a duplicate to be dropped: its token was first
    /// seen at most `lifetime` ago by an endpoint of the same zone, or of any zone where these share tokens.
    pub fn is_duplicate(
        &mut self, now: Nanos, endpoint_id: u32, token: u64, shared_by_zones: bool, lifetime: Nanos,
    ) -> bool {
        let endpoint = &self.endpoints[endpoint_id as usize];
        let key = (endpoint.destination_id, if shared_by_zones { u16::MAX } else { endpoint.zone }, token);
        // Expired tokens are dropped in bulk from time to time; until then their age is checked below.
        if now >= self.forget_at {
            self.forget_at = now + lifetime.max(1);
            self.tokens.retain(|_, seen_at| *seen_at + lifetime >= now);
        }
        if self.tokens.get(&key).is_some_and(|first_seen_at| now <= first_seen_at + lifetime) {
            return true;
        }
        self.tokens.insert(key, now);
        false
    }

    /// Forgets a recorded token whose webhook did not run.
    pub fn forget_token(&mut self, endpoint_id: u32, token: u64) {
        let endpoint = &self.endpoints[endpoint_id as usize];
        self.tokens.remove(&(endpoint.destination_id, endpoint.zone, token));
        self.tokens.remove(&(endpoint.destination_id, u16::MAX, token));
    }

    /// Marks an endpoint as back from an outage: it is cold from now on.
    pub fn mark_returned(&mut self, now: Nanos, endpoint_id: u32) {
        self.endpoints[endpoint_id as usize].returned_at = Some(now);
    }

    /// The share of its capacity that an endpoint has now; it rises linearly while the endpoint warms up.
    pub fn capacity_share(&self, now: Nanos, endpoint_id: u32, rules: &RuleSettings) -> f64 {
        let Some(returned_at) = self.endpoints[endpoint_id as usize].returned_at else { return 1.0 };
        let returned_for_s = seconds(now - returned_at);
        let warm_up_share = if rules.warm_up_s > 0.0 { returned_for_s / rules.warm_up_s } else { 1.0 };
        (rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warm_up_share).min(1.0)
    }

    /// Ids of the endpoints that share a limit, waits and outages with this one: those of its destination, or
    /// it alone.
    pub fn outage_group(&self, endpoint_id: u32) -> std::ops::Range<u32> {
        let destination = &self.destinations[self.endpoints[endpoint_id as usize].destination_id as usize];
        if destination.independent_endpoints {
            endpoint_id..endpoint_id + 1
        } else {
            destination.endpoints.clone()
        }
    }

    /// Counts a call that reaches an endpoint, and returns the endpoints that it overloads: the cold ones,
    /// where more calls came within `overload_span_s` than `overload_multiple` times what all that share
    /// outages can do now, plus a margin for chance.
    pub fn overloaded_by_call(&mut self, now: Nanos, endpoint_id: u32, rules: &RuleSettings) -> Vec<u32> {
        let group = self.outage_group(endpoint_id);
        let (mut capacity, mut cold) = (0.0, Vec::new());
        for member_id in group.clone() {
            let share = self.capacity_share(now, member_id, rules);
            if share < 1.0 && !self.endpoints[member_id as usize].overloaded {
                cold.push(member_id);
            }
            capacity += self.endpoints[member_id as usize].capacity * share;
        }
        let recent = &mut self.endpoints[group.start as usize].recent;
        if cold.is_empty() {
            recent.clear();
            return cold;
        }
        recent.push_back(now);
        let overload_span = nanos(rules.overload_span_s);
        while recent.front().is_some_and(|arrived_at| *arrived_at + overload_span < now) {
            recent.pop_front();
        }
        let budget = rules.overload_multiple * capacity * rules.overload_span_s;
        // Two standard deviations of a Poisson count and two calls of margin: a few calls at once overload
        // nobody.
        if recent.len() as f64 > budget + 2.0 * budget.sqrt() + 2.0 { cold } else { Vec::new() }
    }
}

/// Draws the seconds of work that a call with this many webhooks takes.
pub fn draw_work_s(kind: &crate::spec::DestinationKind, webhooks: usize, generator: &mut Generator) -> f64 {
    kind.service_time.draw(generator) * (1.0 + kind.extra_item_cost * (webhooks - 1) as f64)
}
