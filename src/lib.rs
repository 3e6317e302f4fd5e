//! The interface of scalebarrow's decision module: a method for each input of a sender, and the
//! [`ActionSink`] through which the sender acts. It is independent of any protocol.
//!
//! Create a sender with [`Sender::new`], configure it with the `set_*` methods, then pass inputs in the order
//! in which they arrive. All times and durations are seconds with fractions; `now` is the caller's clock,
//! which must never run backwards. This file only forwards inputs; the decisions are made in `logic`.

mod chance;
mod index;
// Each part of an input is an argument of its own.
#[allow(clippy::too_many_arguments)]
mod logic;
mod state;

use state::EventType;

/// What happens when a webhook reaches its destination more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RepeatSafety {
    /// Running it again does no harm.
    Idempotent,
    /// It carries a token by which some endpoints recognize a repeat.
    Tokened,
    /// It must never run twice.
    #[default]
    AtMostOnce,
}

/// How a delivery attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The destination has accepted the webhook.
    Delivered,
    /// The destination answered with an error; the webhook may have run.
    Failed,
    /// The destination refused the webhook without running it, and asked for a wait of this many seconds (0
    /// if it asked for none).
    Full(f64),
    /// No answer came in time; the webhook may have run.
    TimedOut,
    /// No connection could be made; the webhook did not run.
    ConnectFailed,
    /// The connection was lost; the webhook may have run.
    Reset,
    /// The sender cancelled the attempt; the webhook may have run.
    Cancelled,
    /// The attempt was never sent, either for lack of a free slot (true) or because the webhook had ended.
    Moot(bool),
}

/// Why an attempt that was requested must no longer be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSentReason {
    /// The webhook has its final answer or was withdrawn.
    Over,
    /// Its endpoint is draining or no longer listed.
    NotListed,
    /// The destination has asked for a wait, or refuses calls.
    Waits,
    /// The process will end before an answer can arrive.
    Closing,
    /// An earlier attempt may have run, and a repeat might no longer be recognized.
    WindowOver,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The entries that changed.
    Changes,
    /// All entries.
    Whole,
    /// All entries as this sender knew them before it started; they can be outdated.
    Remembered,
    /// Nothing: a watch or a fetch failed, or the watch broke.
    Refused,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint<'a> {
    /// The name of the endpoint.
    pub endpoint: &'a str,
    /// The zone it is in.
    pub zone: &'a str,
    /// The kind of its destination; see [`Sender::set_destination_kind`].
    pub destination_kind: &'a str,
    /// The destination it belongs to.
    pub destination: u64,
    /// Whether it accepts new calls; false when it is draining or deleted.
    pub ready: bool,
    /// Calls per second that the destination (or the endpoint, if independent) accepts from all senders
    /// together; 0 or less when unknown.
    pub rate_limit: f64,
    /// When it last started; 0 or less when unknown or long ago.
    pub started_at: f64,
}

/// What a sender has to remember of a destination, or of one independent endpoint of it, after a restart.
/// Times are on the caller's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct ScopeMemory {
    /// The destination.
    pub destination: u64,
    /// The endpoint, if it has outages and waits of its own.
    pub endpoint: Option<String>,
    /// Until when it asked for no calls.
    pub wait_until: f64,
    /// Its outage, if it had one that this sender saw and that may not be over.
    pub outage: Option<RememberedOutage>,
}

/// How far an outage is over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RememberedOutage {
    /// No call has been delivered since it began.
    Down,
    /// Calls are delivered again since this time; the destination warms up.
    Recovering(f64),
}

impl ScopeMemory {
    /// Whether nothing has to be remembered at this time.
    pub fn is_over(&self, now: f64) -> bool {
        self.outage.is_none() && self.wait_until <= now
    }
}

/// Receives the actions that a sender decides on.
pub trait ActionSink {
    /// Call `endpoint` with the webhook; the attempt times out at `give_up_at`.
    fn start_attempt(&mut self, webhook_id: u64, endpoint: &str, give_up_at: f64);
    /// Cancel an attempt in flight; `attempt_number` counts the webhook's attempts from 0.
    fn cancel_attempt(&mut self, webhook_id: u64, attempt_number: u32);
    /// Final answer: the client can safely hand the webhook in again, after `retry_after` seconds (0: no
    /// advice).
    fn reject(&mut self, webhook_id: u64, retry_after: f64);
    /// Final answer: the webhook is given up; it may or may not have run.
    fn dead_letter(&mut self, webhook_id: u64);
    /// Call [`Sender::wake`] with `handle` after `delay` seconds.
    fn schedule_wake(&mut self, delay: f64, handle: u64);
    /// Start or stop watching the endpoint list.
    fn watch_list(&mut self, enabled: bool);
    /// Close the idle connections to an endpoint.
    fn close_idle_connections(&mut self, endpoint: &str);
    /// Store this, in place of what was stored for the same destination and endpoint, so that
    /// [`Sender::remember`] can restore it after a restart.
    fn store_memory(&mut self, _memory: ScopeMemory) {}
    /// Write a log line for the operators.
    fn log(&mut self, text: &str);
}

/// The decisions of one sender. Senders share no state.
pub struct Sender(logic::RuleEngine);

impl Sender {
    /// Creates a sender without settings. `sender_index` is its number among `sender_count` senders, and
    /// `seed` that of its random numbers.
    pub fn new(now: f64, seed: u64, sender_index: u64, sender_count: u64) -> Self {
        Sender(logic::RuleEngine::new(now, seed, sender_index, sender_count))
    }

    /// Adds an event type. Its webhooks are to be delivered within `target_latency` seconds and expire after
    /// `ttl`. A delivery in time is worth `value`, a late one less, down to `late_value_share` of it: the
    /// value halves with each further target latency (`value_halves`), or falls linearly until the TTL ends.
    pub fn set_event_type(
        &mut self, name: &str, target_latency: f64, ttl: f64, value: f64, late_value_share: f64,
        value_halves: bool,
    ) {
        let event_type =
            EventType { target_latency, ttl, value, late_value_share, value_halves, ..EventType::default() };
        self.0.event_types.insert(name.into(), event_type);
    }

    /// Sets how an event type bears repeats, and whether its webhooks with the same ordering key are
    /// delivered in order. For a tokened type, endpoints recognize a repeat for `token_lifetime` seconds: all
    /// endpoints of the destination (`token_shared_by_zones`), or those of the same zone.
    pub fn set_repeat_safety(
        &mut self, event_type: &str, repeat_safety: RepeatSafety, token_lifetime: f64,
        token_shared_by_zones: bool, ordered: bool,
    ) {
        let Some(event_type) = self.0.event_types.get_mut(event_type) else { return };
        (
            event_type.repeat_safety,
            event_type.token_lifetime,
            event_type.token_shared_by_zones,
            event_type.ordered,
        ) = (repeat_safety, token_lifetime, token_shared_by_zones, ordered);
    }

    /// Adds a kind of destination: the most webhooks in one call, and whether its endpoints are independent,
    /// that is, have rate limits, waits and outages of their own.
    pub fn set_destination_kind(&mut self, name: &str, max_batch: usize, independent_endpoints: bool) {
        self.0.destination_kinds.insert(name.into(), (max_batch.max(1), independent_endpoints));
    }

    /// Sets the cost of the path to a zone; only the order of the costs matters.
    pub fn set_zone_cost(&mut self, zone: &str, cost: f64) {
        self.0.zone_costs.insert(zone.into(), cost);
    }

    /// Adds a customer. Its quota is in webhooks per second from all senders together; the value of webhooks
    /// beyond it is multiplied by `over_quota_weight`.
    pub fn set_customer(&mut self, name: &str, quota: f64, over_quota_weight: f64) {
        self.0.customers.insert(name.into(), (quota, over_quota_weight, Default::default()));
    }

    /// Sets the most calls in flight at once, webhooks without a final answer, and attempts for one webhook,
    /// and whether calls in flight may be cancelled.
    pub fn set_limits(&mut self, slots: usize, max_pending: usize, max_attempts: u32, may_cancel: bool) {
        (self.0.limits.slots, self.0.limits.max_pending) = (slots, max_pending);
        (self.0.limits.max_attempts, self.0.limits.may_cancel) = (max_attempts, may_cancel);
    }

    /// Sets the longest `retry_after` that clients honor; 0 if rejections must not advise any.
    pub fn set_max_retry_after(&mut self, seconds: f64) {
        self.0.max_retry_after = seconds;
    }

    /// Sets whether the watch on the endpoint list has to be requested, how long the sender may go without a
    /// request, and how long it may pause after a failed one. The first request is delayed by a random time;
    /// calling this again does not postpone one that is due.
    pub fn set_list_watch(&mut self, required: bool, max_interval: f64, max_retry_pause: f64) {
        self.0.set_list_watch(required, max_interval, max_retry_pause);
    }

    /// Sets how destinations return from an outage: with `initial_share` of their capacity, and all of it
    /// after `warm_up` seconds. More than `overload_multiple` times their capacity over `overload_span`
    /// seconds overloads them.
    pub fn set_cold_start(
        &mut self, initial_share: f64, warm_up: f64, overload_multiple: f64, overload_span: f64,
    ) {
        self.0.cold_start = state::ColdStart { initial_share, warm_up, overload_multiple, overload_span };
    }

    /// Sets how long an unused connection stays open.
    pub fn set_idle_timeout(&mut self, timeout: f64) {
        self.0.idle_timeout = timeout;
    }

    /// Sets how long further webhooks of an ordering key wait after an attempt that may still run.
    pub fn set_key_cooldown(&mut self, cooldown: f64) {
        self.0.key_cooldown = cooldown;
    }

    /// Applies an update of the endpoint list.
    pub fn update_list(
        &mut self, now: f64, update: ListUpdate, entries: &[ListedEndpoint], actions: &mut dyn ActionSink,
    ) {
        self.0.update_list(now, update, entries);
        self.0.run_rules(actions);
    }

    /// Restores after a restart what was stored of a destination, before the endpoint list is known.
    pub fn remember(&mut self, now: f64, memory: &ScopeMemory) {
        self.0.remember(now, memory);
    }

    /// Accepts a webhook under an id above 0; it expires in `ttl_left` seconds.
    #[allow(clippy::too_many_arguments)]
    pub fn accept(
        &mut self, now: f64, webhook_id: u64, event_type: &str, destination: u64, ordering_key: Option<&str>,
        customer: Option<&str>, ttl_left: f64, actions: &mut dyn ActionSink,
    ) {
        self.0.accept(now, webhook_id, event_type, destination, ordering_key, customer, ttl_left);
        self.0.run_rules(actions);
    }

    /// Accepts a webhook again after a restart, with the number of attempts made for it. `may_have_run` is
    /// the zone and the time of the first attempt that may have run.
    #[allow(clippy::too_many_arguments)]
    pub fn resume(
        &mut self, now: f64, webhook_id: u64, event_type: &str, destination: u64, ordering_key: Option<&str>,
        customer: Option<&str>, ttl_left: f64, attempts_made: u32, may_have_run: Option<(&str, f64)>,
        actions: &mut dyn ActionSink,
    ) {
        self.0.accept(now, webhook_id, event_type, destination, ordering_key, customer, ttl_left);
        self.0.resume(webhook_id, attempts_made, may_have_run);
        self.0.run_rules(actions);
    }

    /// Announces that the process will end at `shutdown_at`; attempts still in flight then may have run.
    pub fn begin_shutdown(&mut self, now: f64, shutdown_at: f64, actions: &mut dyn ActionSink) {
        (self.0.now, self.0.shutdown_at) = (now, shutdown_at);
        self.0.run_rules(actions);
    }

    /// Whether an attempt that was requested may still be sent now that its connection is ready. If not, it
    /// ends with [`Outcome::Moot`].
    pub fn may_send(&self, now: f64, webhook_id: u64, endpoint: &str) -> bool {
        self.not_sent_reason(now, webhook_id, endpoint).is_none()
    }

    /// Why an attempt that was requested must no longer be sent; `None` if it may be sent.
    pub fn not_sent_reason(&self, now: f64, webhook_id: u64, endpoint: &str) -> Option<NotSentReason> {
        self.0.not_sent_reason(now, webhook_id, endpoint)
    }

    /// Until when the last byte of an attempt may be written.
    pub fn write_deadline(&self, webhook_id: u64) -> f64 {
        self.0.write_deadline(webhook_id)
    }

    /// Reports the end of a delivery attempt that took `duration` seconds. `is_final` is set if the webhook
    /// has its final answer. `limit_report` is the remaining share of the destination's rate limit and the
    /// limit in calls per second, if the answer contained them.
    #[allow(clippy::too_many_arguments)]
    pub fn attempt_ended(
        &mut self, now: f64, webhook_id: u64, endpoint: &str, outcome: Outcome, duration: f64,
        is_final: bool, limit_report: Option<(f64, f64)>, actions: &mut dyn ActionSink,
    ) {
        self.0.attempt_ended(now, webhook_id, endpoint, outcome, duration, is_final, limit_report);
        self.0.run_rules(actions);
    }

    /// Reports that an answer asked for a wait in addition to its outcomes. It applies like the wait of a
    /// refusal.
    pub fn wait_requested(&mut self, now: f64, endpoint: &str, wait: f64, actions: &mut dyn ActionSink) {
        // The outcome of no webhook: only the wait applies, and nothing else is concluded from it.
        self.0.attempt_ended(now, 0, endpoint, Outcome::Full(wait), 0.0, true, None);
        self.0.run_rules(actions);
    }

    /// Reports that the client has withdrawn a webhook.
    pub fn withdraw(&mut self, now: f64, webhook_id: u64, actions: &mut dyn ActionSink) {
        self.0.withdraw(now, webhook_id);
        self.0.run_rules(actions);
    }

    /// Reports that a scheduled wake-up is due.
    pub fn wake(&mut self, now: f64, handle: u64, actions: &mut dyn ActionSink) {
        self.0.wake(now, handle);
        self.0.run_rules(actions);
    }
}
