//! The world as data: what a file says of the day, the senders, what they deliver to, and the troubles. All times are
//! seconds with fractions, all rates are per second, all shares lie between 0 and 1.

use crate::random::Spread;
use serde::{Deserialize, Serialize};

/// Why a world cannot be played: the field, as a path with dots, and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorldError {
    pub field: String,
    pub why: String,
}

impl std::fmt::Display for WorldError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.why)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    pub day: Day,
    #[serde(default)]
    pub senders: Senders,
    pub clients: Clients,
    #[serde(default)]
    pub destinations: Destinations,
    #[serde(default, rename = "kind")]
    pub destination_kinds: Vec<DestinationKind>,
    #[serde(default, rename = "event_type")]
    pub event_types: Vec<EventType>,
    #[serde(default, rename = "customer")]
    pub customers: Vec<Customer>,
    #[serde(default)]
    pub net: Net,
    #[serde(default)]
    pub list: List,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default, rename = "trouble")]
    pub faults: Vec<FaultSpec>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Day {
    /// Webhooks are handed in for so long; what is held then is played to its end.
    pub length_s: f64,
    /// The grid on which all events lie, in microseconds; 0 for none. On a coarse one many come at one instant.
    pub tick_us: u64,
    /// Which order events of one instant come in: 0 as they came about, else shuffled by this number.
    #[serde(rename = "order")]
    pub shuffle_seed: u64,
    /// The span of the figures that are given over time.
    pub window_s: f64,
}

impl Default for Day {
    fn default() -> Self {
        Day { length_s: 60.0, tick_us: 0, shuffle_seed: 0, window_s: 1.0 }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Senders {
    pub count: usize,
    /// What a sender has taken on outlives a kill.
    pub journal: bool,
    /// Calls out at once, and webhooks held, sent or not, of one sender.
    pub slots: usize,
    pub holds: usize,
    pub attempts: u32,
    pub may_call_off: bool,
    /// The longest time to come back that clients heed; 0 where none may be named.
    pub come_back_s: f64,
    /// How long a connection that is not in use stays open.
    pub idle_s: f64,
    pub connect_timeout_s: f64,
    /// How long clients go on handing in at a dead sender.
    pub notice_s: Spread,
}

impl Default for Senders {
    fn default() -> Self {
        Senders {
            count: 3,
            journal: true,
            slots: 64,
            holds: 2_000,
            attempts: 8,
            may_call_off: true,
            come_back_s: 2.0,
            idle_s: 5.0,
            connect_timeout_s: 1.0,
            notice_s: Spread::fixed(1.0),
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Curve {
    #[default]
    Steady,
    /// A sine over the day.
    Wave,
    /// By `points`, with straight lines between them.
    Points,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Webhooks a second, all clients together, that are handed in for the first time (Poisson).
    pub rate: f64,
    pub curve: Curve,
    /// For `wave`: how far the rate swings, as a share of it, and how long a swing takes.
    pub swing: f64,
    pub swing_s: f64,
    /// For `points`: times of the day and the factor of the rate there.
    pub points: Vec<(f64, f64)>,
    /// Share of the webhooks that come in clumps for one destination: how many, over how long.
    pub clump_share: f64,
    pub clump_size: usize,
    pub clump_s: f64,
    /// How often a client hands a rejected webhook in again, after how long, and whether the time doubles.
    pub retries: u32,
    pub again_s: Spread,
    pub doubles: bool,
    /// Share of clients that heed a time to come back.
    pub heed: f64,
    /// Share of webhooks that clients withdraw, and after how long.
    #[serde(rename = "withdraw")]
    pub withdraw_share: f64,
    pub withdraw_s: Spread,
    /// Share of webhooks that come with little time left, and how much.
    #[serde(rename = "short")]
    pub short_ttl_share: f64,
    pub short_s: Spread,
    /// Keys of a destination, for event types in order.
    pub keys: u64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            rate: 100.0,
            curve: Curve::Steady,
            swing: 0.2,
            swing_s: 20.0,
            points: Vec::new(),
            clump_share: 0.0,
            clump_size: 10,
            clump_s: 0.1,
            retries: 2,
            again_s: Spread { mean_s: 1.0, shape: crate::random::Shape::Uniform, cv: 1.0 },
            doubles: true,
            heed: 0.7,
            withdraw_share: 0.0,
            withdraw_s: Spread::fixed(1.0),
            short_ttl_share: 0.0,
            short_s: Spread::fixed(0.5),
            keys: 8,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Destinations {
    pub count: usize,
    /// Exponent of the Zipf law by which traffic falls on them.
    pub skew: f64,
    /// Endpoints of one destination, from and to.
    pub endpoints: (usize, usize),
}

impl Default for Destinations {
    fn default() -> Self {
        Destinations { count: 20, skew: 0.8, endpoints: (1, 4) }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitBy {
    /// Its capacity alone.
    #[default]
    None,
    /// So many calls in each span.
    Span,
    /// A bucket that fills at the rate and holds a span's worth.
    Rate,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DestinationKind {
    pub name: String,
    /// How many of the destinations are of it, against the other kinds.
    pub share: f64,
    /// Endpoints are routes apart, each with its own limit.
    pub apart: bool,
    /// Webhooks in one call at most, and the work of each further one as a share of the first.
    pub batch: usize,
    pub item_cost: f64,
    pub service: Spread,
    /// Calls that an endpoint works on at once; 0: as many as its capacity needs.
    pub workers: usize,
    /// Calls that wait at an endpoint at most.
    pub queue: usize,
    /// Connections that an endpoint takes.
    pub connections: usize,
    /// Calls a second of a destination (or route): this multiple of its traffic, and at least `least_rate`. Without
    /// a limit that is its capacity; with one the capacity is `spare` times it.
    pub headroom: f64,
    pub least_rate: f64,
    pub spare: f64,
    pub limit: LimitBy,
    pub span_s: f64,
    /// Share of refusals that tell how long to wait.
    pub tells_wait: f64,
    /// Share of calls that fail on a calm day.
    pub errors: f64,
    /// Answers report the share of the limit that is left, and the limit.
    pub reports: bool,
    /// Whether a call that the sender has left is taken out while it waits.
    pub cancels: bool,
}

impl Default for DestinationKind {
    fn default() -> Self {
        DestinationKind {
            name: "plain".into(),
            share: 1.0,
            apart: false,
            batch: 1,
            item_cost: 0.2,
            service: Spread { mean_s: 0.1, shape: crate::random::Shape::Lognormal, cv: 0.6 },
            workers: 0,
            queue: 32,
            connections: 400,
            headroom: 1.6,
            least_rate: 4.0,
            spare: 1.3,
            limit: LimitBy::None,
            span_s: 1.0,
            tells_wait: 0.5,
            errors: 0.0,
            reports: false,
            cancels: false,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Idempotent,
    #[default]
    Tokened,
    AtMostOnce,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EventType {
    pub name: String,
    pub share: f64,
    pub target_s: f64,
    pub ttl_s: f64,
    pub value: f64,
    /// Share of the value that is left at TTL, reached by halving with each further target latency, or evenly.
    pub late: f64,
    pub halves: bool,
    pub effect: Effect,
    /// How long a repeat of a tokened webhook is known, and whether by all endpoints or those of one zone.
    pub known_s: f64,
    pub by_all: bool,
    pub ordered: bool,
}

impl Default for EventType {
    fn default() -> Self {
        EventType {
            name: "update".into(),
            share: 1.0,
            target_s: 3.0,
            ttl_s: 16.0,
            value: 1.0,
            late: 0.3,
            halves: true,
            effect: Effect::Tokened,
            known_s: 15.0,
            by_all: false,
            ordered: false,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub name: String,
    pub share: f64,
    /// Webhooks a second from all senders; value beyond it counts `over` times.
    pub quota: f64,
    #[serde(default)]
    pub over: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    pub zones: usize,
    /// One way, within a zone and between zones.
    pub same: Spread,
    pub cross: Spread,
    pub client: Spread,
    /// Share of messages lost on the way, each of them sent again after `resend_s`, twice as long each time.
    pub loss: f64,
    pub resend_s: f64,
    /// Share of calls whose connection is reset.
    pub resets: f64,
    /// Round trips before a new connection carries a call.
    pub handshakes: f64,
}

impl Default for Net {
    fn default() -> Self {
        let shape = crate::random::Shape::Uniform;
        Net {
            zones: 3,
            same: Spread { mean_s: 0.002, shape, cv: 1.0 },
            cross: Spread { mean_s: 0.02, shape, cv: 1.0 },
            client: Spread::fixed(0.001),
            loss: 0.0,
            resend_s: 0.2,
            resets: 0.0,
            handshakes: 2.0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// It has to be asked for; otherwise changes come by themselves.
    pub ask: bool,
    pub within_s: f64,
    /// From a change until a sender hears of it.
    pub delay: Spread,
}

impl Default for List {
    fn default() -> Self {
        List { ask: false, within_s: 10.0, delay: Spread::fixed(0.5) }
    }
}

/// The figures of the rules, and those by which a destination that returns falls over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// A final answer may come so much after TTL.
    pub answer_grace_s: f64,
    /// Sends to an endpoint that drains or is gone stop within this time after the sender was told.
    pub drain_grace_s: f64,
    pub cold_from: f64,
    pub warm_s: f64,
    pub fall_multiple: f64,
    pub fall_s: f64,
    /// How long an endpoint that fell over stays down.
    pub fallen_s: f64,
    pub key_rest_s: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_grace_s: 0.02,
            drain_grace_s: 0.5,
            cold_from: 0.3,
            warm_s: 12.0,
            fall_multiple: 1.5,
            fall_s: 1.5,
            fallen_s: 5.0,
            key_rest_s: 0.5,
        }
    }
}

/// What can go wrong. `size` and `extra` mean what the line says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Endpoints refuse connections; calls under way are reset.
    Down,
    /// Endpoints say nothing, not even to a connection.
    Silent,
    /// Endpoints take calls and answer none.
    Hang,
    /// Endpoints work `size` times as long.
    Slow,
    /// A share `size` of calls fails.
    Errors,
    /// Endpoints do nothing for `size` seconds out of every `extra`.
    Pauses,
    /// Endpoints refuse all; they open at the end, and say so as often as their kind tells waits.
    Shut,
    /// The limit is `size` times what it was.
    Limit,
    /// A share `size` of messages is lost on the way.
    Loss,
    /// `size` seconds more on the way.
    Delay,
    /// A share `size` of calls is reset.
    Resets,
    /// What is sent to endpoints arrives only when it is over.
    StallOut,
    /// Answers of endpoints arrive only when it is over.
    StallBack,
    /// New connections take `size` seconds more.
    SlowConnect,
    /// Connections that were idle for `size` seconds lose the next call.
    Forgets,
    /// Changes of the list come `size` seconds later.
    ListLate,
    /// Watches fail and break.
    ListRefused,
    /// Listed rates are `size` times what they are.
    ListWrong,
    /// Endpoints drain, and are listed again at the end.
    Drain,
    /// Endpoints leave the list and are gone; they come back at the end.
    Leave,
    /// Senders are killed, and start again at the end.
    Kill,
    /// Senders end as planned, over `size` seconds, and start again at the end.
    Restart,
    /// Arrivals come `size` times as often.
    Surge,
    /// `size` webhooks for each struck destination, over the trouble's length.
    Clump,
}

/// Which of the endpoints, destinations or senders a trouble strikes: all that meet every condition.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultTarget {
    /// By number, from 0. Empty: any.
    pub senders: Vec<usize>,
    pub destinations: Vec<usize>,
    /// An endpoint's number within its destination.
    pub endpoints: Vec<usize>,
    pub zones: Vec<usize>,
    #[serde(rename = "kinds")]
    pub destination_kinds: Vec<String>,
    /// The share of the destinations (for troubles of senders: of the senders) struck, chosen by chance; 0: all.
    #[serde(rename = "part")]
    pub share: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    #[serde(rename = "what")]
    pub kind: FaultKind,
    #[serde(rename = "at_s")]
    pub start_s: f64,
    #[serde(default)]
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    #[serde(default)]
    pub size: f64,
    #[serde(default)]
    #[serde(rename = "extra")]
    pub period_s: f64,
    #[serde(default)]
    #[serde(rename = "on")]
    pub target: FaultTarget,
}

impl World {
    /// Says what is contradictory or cannot be played.
    pub fn check(&self) -> Result<(), WorldError> {
        let fault = |field: &str, why: &str| Err(WorldError { field: field.into(), why: why.into() });
        let sizes = [
            ("day.length_s", self.day.length_s),
            ("day.window_s", self.day.window_s),
            ("clients.rate", self.clients.rate),
            ("rules.cold_from", self.rules.cold_from),
            ("rules.fall_s", self.rules.fall_s),
            ("list.within_s", self.list.within_s),
        ];
        for (field, v) in sizes {
            if !(v.is_finite() && v > 0.0) {
                return fault(field, "must be a number above 0");
            }
        }
        let counts = [
            ("senders.count", self.senders.count),
            ("senders.slots", self.senders.slots),
            ("senders.holds", self.senders.holds),
            ("destinations.count", self.destinations.count),
            ("net.zones", self.net.zones),
        ];
        for (field, v) in counts {
            if v == 0 {
                return fault(field, "must be at least 1");
            }
        }
        let shares = [
            ("clients.clump_share", self.clients.clump_share),
            ("clients.heed", self.clients.heed),
            ("clients.withdraw", self.clients.withdraw_share),
            ("clients.short", self.clients.short_ttl_share),
            ("net.loss", self.net.loss),
            ("net.resets", self.net.resets),
            ("rules.cold_from", self.rules.cold_from),
        ];
        for (field, v) in shares {
            if !(0.0..=1.0).contains(&v) {
                return fault(field, "is a share: it lies between 0 and 1");
            }
        }
        if self.net.loss >= 1.0 {
            return fault("net.loss", "must be below 1: nothing would ever arrive");
        }
        let (from, to) = self.destinations.endpoints;
        if from == 0 || from > to || to > 64 {
            return fault(
                "destinations.endpoints",
                "needs two whole numbers from 1 to 64, the smaller first",
            );
        }
        if self.destination_kinds.is_empty() {
            return fault("kind", "names no kind of destination");
        }
        if self.event_types.is_empty() {
            return fault("event_type", "names no event type");
        }
        if self.clients.curve == Curve::Points
            && (self.clients.points.is_empty() || !self.clients.points.is_sorted_by(|a, b| a.0 < b.0))
        {
            return fault("clients.points", "needs points whose times rise, as the curve goes by them");
        }
        if self.clients.curve != Curve::Points && !self.clients.points.is_empty() {
            return fault("clients.points", "has no meaning unless the curve is \"points\"");
        }
        for (i, k) in self.destination_kinds.iter().enumerate() {
            let at = |f: &str| format!("kind.{i}.{f}");
            if self.destination_kinds[..i].iter().any(|x| x.name == k.name) {
                return fault(&at("name"), "is the name of an earlier kind too");
            }
            if k.batch == 0 {
                return fault(&at("batch"), "must be at least 1");
            }
            if k.limit == LimitBy::None && k.reports {
                return fault(&at("reports"), "has no limit to report; set `limit`");
            }
            if k.limit != LimitBy::None && k.span_s <= 0.0 {
                return fault(&at("span_s"), "must be above 0 where there is a limit");
            }
            if k.headroom <= 0.0 || k.least_rate <= 0.0 || k.spare < 1.0 {
                return fault(&at("headroom"), "headroom and least_rate must be above 0, spare at least 1");
            }
            if k.connections == 0 {
                return fault(&at("connections"), "must be at least 1");
            }
        }
        for (i, t) in self.event_types.iter().enumerate() {
            let at = |f: &str| format!("event_type.{i}.{f}");
            if self.event_types[..i].iter().any(|x| x.name == t.name) {
                return fault(&at("name"), "is the name of an earlier event type too");
            }
            if t.ttl_s < t.target_s || t.target_s <= 0.0 {
                return fault(&at("ttl_s"), "must be at least the target latency, which must be above 0");
            }
            if t.effect == Effect::Tokened && t.known_s <= 0.0 {
                return fault(
                    &at("known_s"),
                    "must be above 0 for a tokened type: a repeat is known for so long",
                );
            }
        }
        for (i, t) in self.faults.iter().enumerate() {
            let at = |f: &str| format!("trouble.{i}.{f}");
            let ends = t.start_s + t.duration_s;
            if !(t.start_s >= 0.0 && t.duration_s >= 0.0 && ends.is_finite()) {
                return fault(&at("at_s"), "a trouble begins at 0 or later and lasts a time of 0 or more");
            }
            use FaultKind::*;
            match t.kind {
                Errors | Loss | Resets
                    if !(0.0..=1.0).contains(&t.size) || (t.kind == Loss && t.size >= 1.0) =>
                {
                    return fault(&at("size"), "is a share here: it lies between 0 and 1");
                }
                Slow | Limit | Surge | ListWrong | Clump if t.size <= 0.0 => {
                    return fault(&at("size"), "must be above 0: a factor, or for a clump a count");
                }
                Pauses if !(t.size > 0.0 && t.period_s > t.size) => {
                    return fault(&at("extra"), "must be above size: so many seconds out of every `extra`");
                }
                Restart if t.duration_s < t.size => {
                    return fault(&at("for_s"), "must be at least size, the time that the planned end takes");
                }
                _ if t.size < 0.0 => return fault(&at("size"), "must not be below 0"),
                _ => {}
            }
            if let Some(n) = t.target.senders.iter().find(|n| **n >= self.senders.count) {
                return fault(&at("on.senders"), &format!("there is no sender {n}; they count from 0"));
            }
            if let Some(n) = t.target.destinations.iter().find(|n| **n >= self.destinations.count) {
                return fault(
                    &at("on.destinations"),
                    &format!("there is no destination {n}; they count from 0"),
                );
            }
            if let Some(k) = t
                .target
                .destination_kinds
                .iter()
                .find(|k| !self.destination_kinds.iter().any(|x| x.name == **k))
            {
                return fault(&at("on.kinds"), &format!("no kind is called {k:?}"));
            }
            if !(0.0..=1.0).contains(&t.target.share) {
                return fault(&at("on.part"), "is a share: it lies between 0 and 1");
            }
        }
        Ok(())
    }
}
