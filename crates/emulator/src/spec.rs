//! The settings of a simulated world, as an experiment file has them: the day, senders, clients,
//! destinations, network and injected faults. All times are in seconds, all rates are per second, all shares
//! lie between 0 and 1. A field that has another name in the file carries it as its `rename`.

use crate::random::Spread;
use serde::{Deserialize, Serialize};

/// Why a world cannot be played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorldError {
    /// The field's path in the file, with dots.
    pub field: String,
    /// What is wrong with it.
    pub why: String,
}

impl std::fmt::Display for WorldError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.why)
    }
}

/// All settings of a simulated day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    /// Length and resolution of the day.
    pub day: Day,
    /// The senders.
    #[serde(default)]
    pub senders: Senders,
    /// The clients' traffic.
    pub clients: Clients,
    /// Number and size of the destinations.
    #[serde(default)]
    pub destinations: Destinations,
    /// Kinds of destinations.
    #[serde(default, rename = "kind")]
    pub destination_kinds: Vec<DestinationKind>,
    /// Types of webhooks.
    #[serde(default, rename = "event_type")]
    pub event_types: Vec<EventType>,
    /// Customers with a quota; empty: none.
    #[serde(default, rename = "customer")]
    pub customers: Vec<Customer>,
    /// The network.
    #[serde(default)]
    #[serde(rename = "net")]
    pub network: Network,
    /// How senders get the endpoint list.
    #[serde(default)]
    #[serde(rename = "list")]
    pub endpoint_list: EndpointList,
    /// Limits of the delivery rules.
    #[serde(default)]
    pub rules: RuleSettings,
    /// Faults to inject.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<FaultSpec>,
}

/// Length and resolution of a day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Day {
    /// How long clients create messages; what is unfinished then is played to its end.
    pub length_s: f64,
    /// Event times are rounded up to multiples of this, in microseconds; 0 for none. On a coarse grid many
    /// events come at one instant.
    pub tick_us: u64,
    /// Seed that shuffles events of one instant; 0: in the order of their creation.
    #[serde(rename = "order")]
    pub shuffle_seed: u64,
    /// Length of the windows of the figures over time.
    pub window_s: f64,
}

impl Default for Day {
    fn default() -> Self {
        Day { length_s: 60.0, tick_us: 0, shuffle_seed: 0, window_s: 1.0 }
    }
}

/// The senders; all are alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Senders {
    /// How many there are.
    pub count: usize,
    /// Whether accepted webhooks survive a kill.
    pub journal: bool,
    /// Calls that one sender may have in flight at once.
    pub slots: usize,
    /// Webhooks without final answer that one sender may have.
    #[serde(rename = "holds")]
    pub max_pending: usize,
    /// Attempts for one webhook.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether attempts in flight may be cancelled.
    #[serde(rename = "may_call_off")]
    pub may_cancel: bool,
    /// The longest retry-after time that clients heed; 0: none may be given.
    #[serde(rename = "come_back_s")]
    pub max_retry_after_s: f64,
    /// How long an unused connection stays open.
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
    /// How long opening a connection may take.
    pub connect_timeout_s: f64,
    /// How long the load balancer still sends messages to a dead sender.
    #[serde(rename = "notice_s")]
    pub failure_detection_s: Spread,
}

impl Default for Senders {
    fn default() -> Self {
        Senders {
            count: 3,
            journal: true,
            slots: 64,
            max_pending: 2_000,
            max_attempts: 8,
            may_cancel: true,
            max_retry_after_s: 2.0,
            idle_timeout_s: 5.0,
            connect_timeout_s: 1.0,
            failure_detection_s: Spread::fixed(1.0),
        }
    }
}

/// The course of the clients' rate over the day.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Curve {
    /// Constant.
    #[default]
    Steady,
    /// A sine.
    Wave,
    /// Linear between `points`.
    Points,
}

/// The clients' traffic, and how they react to rejections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// New messages per second from all clients together (Poisson).
    pub rate: f64,
    /// Course of the rate.
    pub curve: Curve,
    /// For `wave`: the amplitude as a share of the rate.
    #[serde(rename = "swing")]
    pub wave_amplitude: f64,
    /// For `wave`: the period.
    #[serde(rename = "swing_s")]
    pub wave_period_s: f64,
    /// For `points`: seconds of the day, and the factor of the rate there.
    pub points: Vec<(f64, f64)>,
    /// Share of the messages that come in clumps: bursts for one destination.
    pub clump_share: f64,
    /// Messages in a clump.
    pub clump_size: usize,
    /// Time over which a clump is spread.
    pub clump_s: f64,
    /// How often a client hands a rejected message in again.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// After how long it does so.
    #[serde(rename = "again_s")]
    pub retry_delay_s: Spread,
    /// Whether that time doubles with each rejection.
    #[serde(rename = "doubles")]
    pub retry_delay_doubles: bool,
    /// Share of the rejections whose retry-after time the client heeds.
    #[serde(rename = "heed")]
    pub heed_retry_after_share: f64,
    /// Share of the messages that clients withdraw.
    #[serde(rename = "withdraw")]
    pub withdraw_share: f64,
    /// After how long they do so.
    #[serde(rename = "withdraw_s")]
    pub withdraw_delay_s: Spread,
    /// Share of the messages that are handed in with a short TTL.
    #[serde(rename = "short")]
    pub short_ttl_share: f64,
    /// That TTL, at most the one of the event type.
    #[serde(rename = "short_s")]
    pub short_ttl_s: Spread,
    /// Ordering keys of a destination, for ordered event types.
    #[serde(rename = "keys")]
    pub keys_per_destination: u64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            rate: 100.0,
            curve: Curve::Steady,
            wave_amplitude: 0.2,
            wave_period_s: 20.0,
            points: Vec::new(),
            clump_share: 0.0,
            clump_size: 10,
            clump_s: 0.1,
            max_retries: 2,
            retry_delay_s: Spread { mean_s: 1.0, shape: crate::random::Shape::Uniform, cv: 1.0 },
            retry_delay_doubles: true,
            heed_retry_after_share: 0.7,
            withdraw_share: 0.0,
            withdraw_delay_s: Spread::fixed(1.0),
            short_ttl_share: 0.0,
            short_ttl_s: Spread::fixed(0.5),
            keys_per_destination: 8,
        }
    }
}

/// Number and size of the destinations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Destinations {
    /// How many there are.
    pub count: usize,
    /// Exponent of the Zipf distribution of traffic over them.
    #[serde(rename = "skew")]
    pub zipf_exponent: f64,
    /// Fewest and most endpoints of one destination.
    #[serde(rename = "endpoints")]
    pub endpoint_count: (usize, usize),
}

impl Default for Destinations {
    fn default() -> Self {
        Destinations { count: 20, zipf_exponent: 0.8, endpoint_count: (1, 4) }
    }
}

/// How a destination limits its calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitBy {
    /// Only by its capacity.
    #[default]
    None,
    /// A number of calls in each fixed window.
    Span,
    /// A bucket that drains at the rate and holds the calls of one window.
    Rate,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DestinationKind {
    /// Its name, unique among the kinds.
    pub name: String,
    /// Weight of this kind in the draw of each destination's kind.
    pub share: f64,
    /// Whether each endpoint has its own limit, waits and outages.
    #[serde(rename = "apart")]
    pub independent_endpoints: bool,
    /// Webhooks in one call at most.
    #[serde(rename = "batch")]
    pub max_batch: usize,
    /// Work of each further webhook of a call, as a share of the first.
    #[serde(rename = "item_cost")]
    pub extra_item_cost: f64,
    /// Work of a call with one webhook.
    #[serde(rename = "service")]
    pub service_time: Spread,
    /// Calls that an endpoint works on at once; 0: as many as its capacity needs.
    pub workers: usize,
    /// Calls that may wait at an endpoint.
    #[serde(rename = "queue")]
    pub max_waiting: usize,
    /// Connections that an endpoint accepts.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Calls per second of a destination (or independent endpoint), as a multiple of its traffic and at least
    /// `min_rate`. Without a limit that is its capacity; with one the capacity is `capacity_multiple` times
    /// it.
    pub headroom: f64,
    /// The lowest rate of a destination.
    #[serde(rename = "least_rate")]
    pub min_rate: f64,
    /// Capacity as a multiple of the limit.
    #[serde(rename = "spare")]
    pub capacity_multiple: f64,
    /// How calls are limited.
    pub limit: LimitBy,
    /// Window of the limit.
    #[serde(rename = "span_s")]
    pub limit_window_s: f64,
    /// Share of the refusals that say how long to wait.
    #[serde(rename = "tells_wait")]
    pub retry_after_share: f64,
    /// Share of the calls that fail without any fault.
    #[serde(rename = "errors")]
    pub error_share: f64,
    /// Whether answers report the share of the limit that is left, and the limit.
    #[serde(rename = "reports")]
    pub reports_limit: bool,
    /// Whether a waiting call is dropped once its sender no longer waits for it.
    #[serde(rename = "cancels")]
    pub drops_cancelled: bool,
}

impl Default for DestinationKind {
    fn default() -> Self {
        DestinationKind {
            name: "plain".into(),
            share: 1.0,
            independent_endpoints: false,
            max_batch: 1,
            extra_item_cost: 0.2,
            service_time: Spread { mean_s: 0.1, shape: crate::random::Shape::Lognormal, cv: 0.6 },
            workers: 0,
            max_waiting: 32,
            max_connections: 400,
            headroom: 1.6,
            min_rate: 4.0,
            capacity_multiple: 1.3,
            limit: LimitBy::None,
            limit_window_s: 1.0,
            retry_after_share: 0.5,
            error_share: 0.0,
            reports_limit: false,
            drops_cancelled: false,
        }
    }
}

/// What a repeat of a webhook does at its destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatEffect {
    /// No harm.
    Idempotent,
    /// It is recognised and dropped by its token, while the token is known.
    #[default]
    Tokened,
    /// It takes effect again: such a webhook must not be repeated.
    AtMostOnce,
}

/// A type of webhook.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EventType {
    /// Its name, unique among the types.
    pub name: String,
    /// Weight of this type in the draw of each message's type.
    pub share: f64,
    /// Latency up to which a delivery has its full value.
    #[serde(rename = "target_s")]
    pub target_latency_s: f64,
    /// Time to live from the first hand-in.
    pub ttl_s: f64,
    /// Value of a delivery in time.
    pub value: f64,
    /// Share of the value that is left at TTL.
    #[serde(rename = "late")]
    pub late_value_share: f64,
    /// Whether the value halves with each further target latency down to that share; else it falls linearly.
    #[serde(rename = "halves")]
    pub value_halves: bool,
    /// What a repeat does.
    pub effect: RepeatEffect,
    /// How long a token is known.
    #[serde(rename = "known_s")]
    pub token_lifetime_s: f64,
    /// Whether tokens are known to all endpoints of the destination, or only to those of the same zone.
    #[serde(rename = "by_all")]
    pub token_shared_by_zones: bool,
    /// Whether webhooks with the same ordering key go one after another.
    pub ordered: bool,
}

impl Default for EventType {
    fn default() -> Self {
        EventType {
            name: "update".into(),
            share: 1.0,
            target_latency_s: 3.0,
            ttl_s: 16.0,
            value: 1.0,
            late_value_share: 0.3,
            value_halves: true,
            effect: RepeatEffect::Tokened,
            token_lifetime_s: 15.0,
            token_shared_by_zones: false,
            ordered: false,
        }
    }
}

/// A customer, on whose behalf clients hand in messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// Weight of this customer in the draw of each message's customer.
    pub share: f64,
    /// Webhooks per second from all senders; value beyond the quota counts `over_quota_weight` times.
    pub quota: f64,
    /// Weight of the value beyond the quota.
    #[serde(default)]
    #[serde(rename = "over")]
    pub over_quota_weight: f64,
}

/// The network between clients, senders and destinations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Number of zones.
    pub zones: usize,
    /// One-way delay within a zone.
    #[serde(rename = "same")]
    pub same_zone_delay: Spread,
    /// One-way delay between zones.
    #[serde(rename = "cross")]
    pub cross_zone_delay: Spread,
    /// One-way delay from clients to senders.
    #[serde(rename = "client")]
    pub client_delay: Spread,
    /// Share of network messages that are lost; each is sent again after `retransmit_s`, doubled with each
    /// loss.
    #[serde(rename = "loss")]
    pub loss_share: f64,
    /// Time to the first retransmission.
    #[serde(rename = "resend_s")]
    pub retransmit_s: f64,
    /// Share of the calls whose connection is reset.
    #[serde(rename = "resets")]
    pub reset_share: f64,
    /// Round trips until a new connection can carry a call.
    #[serde(rename = "handshakes")]
    pub handshake_round_trips: f64,
}

impl Default for Network {
    fn default() -> Self {
        let shape = crate::random::Shape::Uniform;
        Network {
            zones: 3,
            same_zone_delay: Spread { mean_s: 0.002, shape, cv: 1.0 },
            cross_zone_delay: Spread { mean_s: 0.02, shape, cv: 1.0 },
            client_delay: Spread::fixed(0.001),
            loss_share: 0.0,
            retransmit_s: 0.2,
            reset_share: 0.0,
            handshake_round_trips: 2.0,
        }
    }
}

/// How senders get the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointList {
    /// Whether senders have to watch the list to get its changes; otherwise they get them unasked.
    #[serde(rename = "ask")]
    pub watch_required: bool,
    /// How long a sender may go without requesting a watch.
    #[serde(rename = "within_s")]
    pub max_watch_interval_s: f64,
    /// Time from a change until it reaches a sender.
    #[serde(rename = "delay")]
    pub update_delay: Spread,
    /// Whether the list names the rate that each destination takes.
    #[serde(rename = "rates")]
    pub has_rates: bool,
}

impl Default for EndpointList {
    fn default() -> Self {
        EndpointList {
            watch_required: false,
            max_watch_interval_s: 10.0,
            update_delay: Spread::fixed(0.5),
            has_rates: true,
        }
    }
}

/// Limits of the delivery rules, and how a destination comes back from an outage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleSettings {
    /// How long after TTL a final answer may come.
    pub answer_grace_s: f64,
    /// How long after the list update a sender may still send to an endpoint that drains or is gone.
    pub drain_grace_s: f64,
    /// Share of its capacity that an endpoint has right after an outage.
    #[serde(rename = "cold_from")]
    pub initial_capacity_share: f64,
    /// Time after which it has all of its capacity again.
    #[serde(rename = "warm_s")]
    pub warm_up_s: f64,
    /// A cold destination goes down again where more calls reach it than this multiple of its present
    /// capacity, plus a margin for chance.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Time span over which the calls are counted for that.
    #[serde(rename = "fall_s")]
    pub overload_span_s: f64,
    /// How long an overloaded endpoint stays down.
    #[serde(rename = "fallen_s")]
    pub overload_outage_s: f64,
    /// How long an ordering key is blocked for other webhooks after an attempt that may still run.
    #[serde(rename = "key_rest_s")]
    pub key_cooldown_s: f64,
}

impl Default for RuleSettings {
    fn default() -> Self {
        RuleSettings {
            answer_grace_s: 0.02,
            drain_grace_s: 0.5,
            initial_capacity_share: 0.3,
            warm_up_s: 12.0,
            overload_multiple: 1.5,
            overload_span_s: 1.5,
            overload_outage_s: 5.0,
            key_cooldown_s: 0.5,
        }
    }
}

/// What can go wrong. `size` has the meaning that is given at each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Endpoints refuse connections; calls in flight are reset.
    Down,
    /// Endpoints do not answer, not even to open a connection.
    Silent,
    /// Endpoints accept calls and never answer them.
    Hang,
    /// Calls take `size` times as much work.
    Slow,
    /// A share `size` of the calls fails.
    Errors,
    /// Endpoints pause for `size` seconds out of every `period_s`.
    Pauses,
    /// Endpoints refuse all calls. Refusals ask for a wait until the end of the fault, as often as the kind
    /// of destination asks for waits.
    Shut,
    /// The limit is multiplied by `size`.
    Limit,
    /// A share `size` of the network messages is lost.
    Loss,
    /// The one-way delay is `size` seconds longer.
    Delay,
    /// A share `size` of the calls is reset.
    Resets,
    /// What is sent to endpoints arrives only after the fault.
    StallOut,
    /// Answers of endpoints arrive only after the fault.
    StallBack,
    /// Opening a connection takes `size` seconds longer.
    SlowConnect,
    /// A call on a connection that was idle for `size` seconds is lost.
    Forgets,
    /// List updates arrive `size` seconds later.
    ListLate,
    /// Watches of the list fail, and open ones break.
    ListRefused,
    /// Listed rates are multiplied by `size`.
    ListWrong,
    /// Endpoints drain, and are ready again after the fault.
    Drain,
    /// Endpoints leave the list and go down; they come back after the fault.
    Leave,
    /// Senders are killed, and start again after the fault.
    Kill,
    /// Senders shut down as planned within `size` seconds, and start again after the fault.
    Restart,
    /// The rate of new messages is multiplied by `size`.
    Surge,
    /// `size` extra messages for each affected destination, spread over the fault.
    Clump,
}

/// Which endpoints, destinations or senders a fault affects: those that meet all conditions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultTarget {
    /// Sender ids, from 0. Empty, here and below: any.
    pub senders: Vec<usize>,
    /// Destination ids, from 0.
    pub destinations: Vec<usize>,
    /// Numbers of endpoints within their destinations, from 0.
    pub endpoints: Vec<usize>,
    /// Zones, from 0.
    pub zones: Vec<usize>,
    /// Names of kinds of destinations.
    #[serde(rename = "kinds")]
    pub destination_kinds: Vec<String>,
    /// Share of the destinations (for faults of senders: of the senders), chosen at random; 0: all.
    #[serde(rename = "part")]
    pub share: f64,
}

/// A fault to inject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// What goes wrong.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// When it begins.
    #[serde(rename = "at_s")]
    pub start_s: f64,
    /// How long it lasts.
    #[serde(default)]
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// How much; see [`FaultKind`].
    #[serde(default)]
    pub size: f64,
    /// For pauses: from the start of one to the start of the next.
    #[serde(default)]
    #[serde(rename = "extra")]
    pub period_s: f64,
    /// Whom it affects.
    #[serde(default)]
    #[serde(rename = "on")]
    pub target: FaultTarget,
}

impl World {
    /// Checks that the settings are in range and consistent; the error names the first field that is not.
    pub fn check(&self) -> Result<(), WorldError> {
        let error = |field: &str, why: &str| Err(WorldError { field: field.into(), why: why.into() });
        let sizes = [
            ("day.length_s", self.day.length_s),
            ("day.window_s", self.day.window_s),
            ("clients.rate", self.clients.rate),
            ("rules.cold_from", self.rules.initial_capacity_share),
            ("rules.fall_s", self.rules.overload_span_s),
            ("list.within_s", self.endpoint_list.max_watch_interval_s),
        ];
        for (field, value) in sizes {
            if !(value.is_finite() && value > 0.0) {
                return error(field, "must be a number above 0");
            }
        }
        let counts = [
            ("senders.count", self.senders.count),
            ("senders.slots", self.senders.slots),
            ("senders.holds", self.senders.max_pending),
            ("destinations.count", self.destinations.count),
            ("net.zones", self.network.zones),
        ];
        for (field, value) in counts {
            if value == 0 {
                return error(field, "must be at least 1");
            }
        }
        let shares = [
            ("clients.clump_share", self.clients.clump_share),
            ("clients.heed", self.clients.heed_retry_after_share),
            ("clients.withdraw", self.clients.withdraw_share),
            ("clients.short", self.clients.short_ttl_share),
            ("net.loss", self.network.loss_share),
            ("net.resets", self.network.reset_share),
            ("rules.cold_from", self.rules.initial_capacity_share),
        ];
        for (field, value) in shares {
            if !(0.0..=1.0).contains(&value) {
                return error(field, "must be a share between 0 and 1");
            }
        }
        if self.network.loss_share >= 1.0 {
            return error("net.loss", "must be below 1: nothing would ever arrive");
        }
        let (fewest, most) = self.destinations.endpoint_count;
        if fewest == 0 || fewest > most || most > 64 {
            return error(
                "destinations.endpoints",
                "must be two whole numbers from 1 to 64, the smaller one first",
            );
        }
        if self.destination_kinds.is_empty() {
            return error("kind", "at least one kind of destination is required");
        }
        if self.event_types.is_empty() {
            return error("event_type", "at least one event type is required");
        }
        if self.clients.curve == Curve::Points
            && (self.clients.points.is_empty()
                || !self.clients.points.is_sorted_by(|earlier, later| earlier.0 < later.0))
        {
            return error(
                "clients.points",
                "must have points in ascending order of time for the curve \"points\"",
            );
        }
        if self.clients.curve != Curve::Points && !self.clients.points.is_empty() {
            return error("clients.points", "is allowed only with the curve \"points\"");
        }
        for (index, kind) in self.destination_kinds.iter().enumerate() {
            let path = |field: &str| format!("kind.{index}.{field}");
            if self.destination_kinds[..index].iter().any(|earlier| earlier.name == kind.name) {
                return error(&path("name"), "is already the name of an earlier kind");
            }
            if kind.max_batch == 0 {
                return error(&path("batch"), "must be at least 1");
            }
            if kind.limit == LimitBy::None && kind.reports_limit {
                return error(&path("reports"), "needs a limit to report; set `limit`");
            }
            if kind.limit != LimitBy::None && kind.limit_window_s <= 0.0 {
                return error(&path("span_s"), "must be above 0 where there is a limit");
            }
            if kind.headroom <= 0.0 || kind.min_rate <= 0.0 || kind.capacity_multiple < 1.0 {
                return error(&path("headroom"), "headroom and least_rate must be above 0, spare at least 1");
            }
            if kind.max_connections == 0 {
                return error(&path("connections"), "must be at least 1");
            }
        }
        for (index, event_type) in self.event_types.iter().enumerate() {
            let path = |field: &str| format!("event_type.{index}.{field}");
            if self.event_types[..index].iter().any(|earlier| earlier.name == event_type.name) {
                return error(&path("name"), "is already the name of an earlier event type");
            }
            if event_type.ttl_s < event_type.target_latency_s || event_type.target_latency_s <= 0.0 {
                return error(&path("ttl_s"), "must be at least the target latency, which must be above 0");
            }
            if event_type.effect == RepeatEffect::Tokened && event_type.token_lifetime_s <= 0.0 {
                return error(
                    &path("known_s"),
                    "must be above 0 for a tokened type: it is how long a token is known",
                );
            }
        }
        for (index, fault) in self.faults.iter().enumerate() {
            let path = |field: &str| format!("trouble.{index}.{field}");
            let ends_at_s = fault.start_s + fault.duration_s;
            if !(fault.start_s >= 0.0 && fault.duration_s >= 0.0 && ends_at_s.is_finite()) {
                return error(&path("at_s"), "at_s and for_s must be finite numbers of at least 0");
            }
            use FaultKind::*;
            match fault.kind {
                Errors | Loss | Resets
                    if !(0.0..=1.0).contains(&fault.size) || (fault.kind == Loss && fault.size >= 1.0) =>
                {
                    return error(&path("size"), "must be a share between 0 and 1 for this kind of fault");
                }
                Slow | Limit | Surge | ListWrong | Clump if fault.size <= 0.0 => {
                    return error(&path("size"), "must be above 0: it is a factor, or for a clump a count");
                }
                Pauses if !(fault.size > 0.0 && fault.period_s > fault.size) => {
                    return error(
                        &path("extra"),
                        "must be above size: endpoints pause for `size` seconds out of every `extra`",
                    );
                }
                Restart if fault.duration_s < fault.size => {
                    return error(
                        &path("for_s"),
                        "must be at least size, the duration of the planned shutdown",
                    );
                }
                _ if fault.size < 0.0 => return error(&path("size"), "must not be below 0"),
                _ => {}
            }
            if let Some(sender_id) =
                fault.target.senders.iter().find(|sender_id| **sender_id >= self.senders.count)
            {
                return error(
                    &path("on.senders"),
                    &format!("there is no sender {sender_id}; ids count from 0"),
                );
            }
            if let Some(destination_id) = fault
                .target
                .destinations
                .iter()
                .find(|destination_id| **destination_id >= self.destinations.count)
            {
                return error(
                    &path("on.destinations"),
                    &format!("there is no destination {destination_id}; ids count from 0"),
                );
            }
            if let Some(name) = fault
                .target
                .destination_kinds
                .iter()
                .find(|name| !self.destination_kinds.iter().any(|kind| kind.name == **name))
            {
                return error(&path("on.kinds"), &format!("there is no kind {name:?}"));
            }
            if !(0.0..=1.0).contains(&fault.target.share) {
                return error(&path("on.part"), "must be a share between 0 and 1");
            }
        }
        Ok(())
    }
}
