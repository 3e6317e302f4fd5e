//! What the rule engine knows, as plain records. No decisions are made here.
//!
//! Unless said otherwise, times are seconds on the caller's clock, durations are seconds, and rates are calls
//! per second.

use crate::index::Timers;
use crate::{ListedEndpoint, RepeatSafety, ScopeMemory};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// A shared text: the name of an endpoint, zone, destination kind or event type, or an ordering key.
pub(crate) type Name = Rc<str>;

/// The settings of an event type.
#[derive(Default)]
pub(crate) struct EventType {
    pub target_latency: f64,
    pub ttl: f64,
    /// What a delivery within the target latency is worth.
    pub value: f64,
    /// The share of `value` that is left for the latest delivery.
    pub late_value_share: f64,
    /// Whether the value halves with each further target latency; otherwise it falls linearly until the TTL
    /// ends.
    pub value_halves: bool,
    pub repeat_safety: RepeatSafety,
    /// How long an endpoint recognizes a repeat by its token.
    pub token_lifetime: f64,
    /// Whether all endpoints of the destination recognize a token, or only those of the zone that saw it
    /// first.
    pub token_shared_by_zones: bool,
    /// Whether webhooks with the same ordering key are delivered in order.
    pub ordered: bool,
}

/// A webhook without a final answer.
#[derive(Default)]
pub(crate) struct Webhook {
    pub event_type: Name,
    pub destination: u64,
    /// Set only where the event type is ordered.
    pub ordering_key: Option<Name>,
    /// Whether it exceeded its customer's quota when it was accepted.
    pub over_quota: bool,
    /// When its target latency ends.
    pub target_deadline: f64,
    /// When its TTL ends.
    pub ttl_deadline: f64,
    /// Attempts made so far.
    pub attempts: u32,
    /// The endpoint of the attempt in flight.
    pub in_flight_to: Option<Name>,
    /// The first attempt that may have run: the zone of its endpoint and when it was sent.
    pub may_have_run: Option<(Name, f64)>,
    /// When the next attempt may be made at the earliest.
    pub not_before: f64,
    pub withdrawn: bool,
}

/// A call in flight.
#[derive(Default)]
pub(crate) struct Call {
    pub sent_at: f64,
    /// Whether it probes a route whose circuit is open.
    pub probe: bool,
    /// Whether one of its webhooks has already reported the outcome, which is the same for all of them.
    pub evaluated: bool,
    pub cancelled: bool,
    /// Whether it went out on a connection that had been idle.
    pub on_idle_connection: bool,
    /// The webhooks whose outcome is still missing.
    pub webhook_ids: BTreeSet<u64>,
}

/// The result of a finished call, from which a route's health is computed.
pub(crate) struct Sample {
    pub ended_at: f64,
    pub delivered: bool,
    /// Whether the connection could not be made or was reset.
    pub connection_error: bool,
    pub duration: f64,
}

/// An endpoint as this sender sees it.
#[derive(Default)]
pub(crate) struct Route {
    pub destination: u64,
    pub destination_kind: Name,
    pub zone: Name,
    /// Webhooks in one call, at most.
    pub max_batch: usize,
    /// Whether it has rate limits, waits and outages of its own instead of sharing its destination's.
    pub independent: bool,
    /// The rate limit for all senders according to the endpoint list; 0 when unknown.
    pub listed_rate: f64,
    /// Cost of the path to its zone; only the order of costs matters.
    pub zone_cost: f64,
    /// Whether it is listed and accepts new calls.
    pub ready: bool,
    /// Calls that may be in flight at once; grows with deliveries and shrinks with failures.
    pub window: f64,
    pub calls: Vec<Call>,
    pub samples: VecDeque<Sample>,
    /// Computed from `samples`: how long slow answers take.
    pub tail_latency: f64,
    /// Computed from `samples`: higher is healthier.
    pub health_score: f64,
    pub consecutive_failures: u32,
    /// Since when calls fail: when the first call of the consecutive failures, or of the outage, was sent or
    /// refused.
    pub failing_since: f64,
    /// An open circuit admits only one probe call at a time.
    pub circuit_open: bool,
    /// When the next probe is due.
    pub probe_at: f64,
    /// Pause before a probe; grows while probes fail.
    pub probe_pause: f64,
    /// It refused a call while others of its destination were usable; calls go to those until this time.
    pub skip_until: f64,
    /// When its last call ended, if that call was not delivered.
    pub last_failed_at: Option<f64>,
    pub last_answer_at: f64,
    pub last_used_at: f64,
    /// When the last call was sent, and how long after the one before it.
    pub last_call_at: f64,
    pub last_call_gap: f64,
    /// Connections are scarce; the window does not grow before this time.
    pub window_growth_paused_until: f64,
    /// Upper bound of the connections that are open.
    pub connections: usize,
    pub connect_failed_at: Option<f64>,
    /// In an outage that this sender has seen, or cold: back from one, or just started.
    pub cold: bool,
    /// Its last start according to the endpoint list.
    pub started_at: f64,
    /// When it answered again after the outage, or started.
    pub recovered_at: Option<f64>,
}

/// What the list says of an endpoint that it has given another destination, zone or kind, while calls that
/// began before are in flight.
pub(crate) struct MovedEndpoint {
    pub zone: String,
    pub destination_kind: String,
    pub destination: u64,
    pub ready: bool,
    pub rate_limit: f64,
    pub started_at: f64,
}

impl MovedEndpoint {
    /// Copies an entry of the list.
    pub fn new(entry: &ListedEndpoint) -> Self {
        let ListedEndpoint { zone, destination_kind, destination, ready, rate_limit, started_at, .. } =
            *entry;
        let (zone, destination_kind) = (zone.to_owned(), destination_kind.to_owned());
        MovedEndpoint { zone, destination_kind, destination, ready, rate_limit, started_at }
    }

    /// The entry of the list that it was copied from.
    pub fn entry<'a>(&'a self, endpoint: &'a str) -> ListedEndpoint<'a> {
        let MovedEndpoint { zone, destination_kind, .. } = self;
        ListedEndpoint {
            endpoint,
            zone,
            destination_kind,
            destination: self.destination,
            ready: self.ready,
            rate_limit: self.rate_limit,
            started_at: self.started_at,
        }
    }
}

/// What shares a rate limit, waits and outages: a destination, or one endpoint of it where endpoints are
/// independent.
pub(crate) type LimitScope = (u64, Option<Name>);

/// Pending webhooks of a destination that are routed alike: the event type, whether they exceed their
/// customer's quota, and the only zone that would recognize them as repeats.
pub(crate) type WebhookGroup = (Name, bool, Option<Name>);

/// Sending order, least first: late or not, the negated value, the target deadline.
pub(crate) type SendRank = (u8, f64, f64);

/// Limits of the sender, from its settings.
#[derive(Default)]
pub(crate) struct SenderLimits {
    /// Calls in flight at once.
    pub slots: usize,
    /// Webhooks without a final answer, in flight or not.
    pub max_pending: usize,
    /// Attempts for one webhook.
    pub max_attempts: u32,
    /// Whether calls in flight may be cancelled.
    pub may_cancel: bool,
}

/// Finds routes that have been unused for so long that what is known of them can be forgotten.
#[derive(Default)]
pub(crate) struct UnusedRoutes {
    /// When each route will have been unused for that long.
    pub timers: Timers<Name>,
    /// Routes whose timer has run out.
    pub due: BTreeSet<Name>,
    /// When the next periodic check is due.
    pub next_check_at: f64,
}

/// The watch on the endpoint list.
#[derive(Default)]
pub(crate) struct ListWatch {
    /// Whether the watch has to be requested at all.
    pub required: bool,
    /// How long the sender may go without requesting it.
    pub max_interval: f64,
    /// The longest pause after a failed request.
    pub max_retry_pause: f64,
    pub active: bool,
    /// When the next request is due.
    pub request_at: f64,
    pub consecutive_refusals: u32,
}

/// The state of a rate limit that all senders share, as far as this sender knows it.
#[derive(Default)]
pub(crate) struct RateLimiter {
    /// No calls before this time: the destination asked for a wait, or refused calls.
    pub wait_until: f64,
    /// When the last calls were sent, oldest first.
    pub sent_at: VecDeque<f64>,
    /// This sender's share of the limit.
    pub share: f64,
    /// The least that refusals reduce the share to; 0 until the first call at a known rate.
    pub min_share: f64,
    pub consecutive_refusals: u32,
    /// When the first of the consecutive refusals arrived.
    pub refused_since: f64,
    /// When a call was last refused because the limit was reached, although the destination accepts calls.
    pub limit_reached_at: f64,
    /// Recent reports of the limit: when each arrived, and the limit in it.
    pub reported_limits: VecDeque<(f64, f64)>,
    /// The last reported share of the limit that is left, and when it was reported.
    pub reported_remaining: Option<(f64, f64)>,
    /// When this sender may make its next call while the destination is cold.
    pub next_cold_call_at: f64,
    /// When a call was last delivered.
    pub last_delivered_at: Option<f64>,
    /// How many calls were delivered lately, as of the last one.
    pub deliveries: DeliveryAverage,
    /// The calls that failed since then.
    pub failures: Option<FailureRun>,
    /// What was last stored for a restart, if that is not over.
    pub stored: Option<ScopeMemory>,
}

/// A count of deliveries in which each loses weight exponentially with its age.
#[derive(Clone, Copy, Default)]
pub(crate) struct DeliveryAverage {
    /// The weight of all deliveries when the last one came.
    pub count: f64,
    first_at: f64,
    last_at: f64,
}

impl DeliveryAverage {
    /// The time in which the weight of a delivery falls to 1/e.
    const DECAY_SECS: f64 = 60.0;

    /// Counts a delivery.
    pub fn record(&mut self, now: f64) {
        if self.count == 0.0 {
            (self.first_at, self.last_at) = (now, now);
        }
        self.count = self.count * (-(now - self.last_at) / Self::DECAY_SECS).exp() + 1.0;
        self.last_at = now;
    }

    /// The seconds, weighted alike, in which the deliveries came.
    pub fn span(&self) -> f64 {
        Self::DECAY_SECS * (1.0 - (-(self.last_at - self.first_at) / Self::DECAY_SECS).exp())
    }
}

/// Calls that failed in whatever way, with none delivered in between.
#[derive(Clone, Copy)]
pub(crate) struct FailureRun {
    /// When the first of them failed.
    pub since: f64,
    /// How many failed: the first of them, and those sent after it had failed.
    pub calls: u32,
    /// Those of `calls` that failed in another way than a refusal.
    pub not_refused: u32,
}

/// The capacity of a destination after an outage: `initial_share` at first, all of it after `warm_up`
/// seconds. It is overloaded by more than `overload_multiple` times its capacity over `overload_span`
/// seconds.
#[derive(Clone, Copy)]
pub(crate) struct ColdStart {
    pub initial_share: f64,
    pub warm_up: f64,
    pub overload_multiple: f64,
    pub overload_span: f64,
}

impl ColdStart {
    /// The share of its capacity that a destination has `elapsed` seconds after its recovery.
    pub fn capacity_share(&self, elapsed: f64) -> f64 {
        (self.initial_share + (1.0 - self.initial_share) * elapsed / self.warm_up).min(1.0)
    }
}

impl Default for ColdStart {
    fn default() -> Self {
        ColdStart { initial_share: 1.0, warm_up: 0.0, overload_multiple: f64::INFINITY, overload_span: 1.0 }
    }
}

/// What a rule's condition selected for its action.
pub(crate) enum RuleTarget {
    /// A webhook, by id.
    Webhook(u64),
    /// An attempt for a webhook at an endpoint.
    Attempt(u64, Name),
    /// An endpoint.
    Route(Name),
    /// A time.
    At(f64),
    /// Nothing in particular.
    Any,
}
