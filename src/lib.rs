//! The interface of scalebarrow's decision module: one method for each thing that a sender can learn, and the
//! [`ActionSink`] through which it acts. Nothing here belongs to a particular protocol.
//!
//! Times are seconds with fractions; `now` is the caller's clock and must never run backwards. A sender is
//! opened with [`Sender::new`], told its settings by the `set_*` methods, and then fed inputs in the order
//! they come. All decisions are in `logic`; this file only passes them on.

mod chance;
mod index;
// The inputs come through as they are, each in its own argument.
#[allow(clippy::too_many_arguments)]
mod logic;
mod state;

use state::EventType;

/// What a webhook does at its destination when it arrives more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RepeatSafety {
    /// It may run again.
    Idempotent,
    /// It carries a mark by which some endpoints know a repeat.
    Tokened,
    /// It must never run twice.
    #[default]
    AtMostOnce,
}

/// How one delivery attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Delivered,
    /// The destination answered with an error; the webhook may have run.
    Failed,
    /// Turned away unseen, with the seconds to wait (0 where none were told).
    Full(f64),
    TimedOut,
    /// No connection was possible; the webhook never ran.
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never sent: no slot was free (true), or the webhook was over.
    Moot(bool),
}

/// Why an attempt that was asked for does not go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotSentReason {
    /// The webhook has its final answer, or was withdrawn.
    Over,
    /// Its endpoint drains or is gone.
    NotListed,
    /// A wait was told.
    Waits,
    /// The process will have ended before an answer can come.
    Closing,
    /// An earlier attempt may have run, and a repeat might not be known any more.
    WindowOver,
}

/// Which part of the endpoint list a list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    Changes,
    Whole,
    /// The whole list as this sender had it before it started; it can be old.
    Remembered,
    /// A watch or fetch failed, or the watch broke.
    Refused,
}

/// One line of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint<'a> {
    pub endpoint: &'a str,
    pub zone: &'a str,
    pub destination_kind: &'a str,
    pub destination: u64,
    /// Listed and taking new work; false when it drains or is gone.
    pub ready: bool,
    /// Calls a second that the destination (or the route) takes from all senders; 0 or less when unknown.
    pub rate_limit: f64,
    /// Clock time of its last start, where it is told; 0 or less: long ago.
    pub started_at: f64,
}

/// The effects a sender may ask for.
pub trait ActionSink {
    /// Call `endpoint` with the webhook; give the attempt up at clock time `give_up_at`.
    fn start_attempt(&mut self, webhook_id: u64, endpoint: &str, give_up_at: f64);
    /// Stop waiting for attempt number `attempt_number` of a webhook.
    fn cancel_attempt(&mut self, webhook_id: u64, attempt_number: u32);
    /// Final answer: handing the webhook in again does no harm; not before `retry_after` seconds (0: nothing
    /// said).
    fn reject(&mut self, webhook_id: u64, retry_after: f64);
    /// Final answer: given up, with no promise.
    fn dead_letter(&mut self, webhook_id: u64);
    /// Ask for [`Sender::wake`] after so many seconds.
    fn schedule_wake(&mut self, delay: f64, handle: u64);
    /// Watch the endpoint list for changes, or stop watching.
    fn watch_list(&mut self, enabled: bool);
    /// Close the idle connections to an endpoint.
    fn close_idle_connections(&mut self, endpoint: &str);
    /// Write a line for those on call.
    fn log(&mut self, text: &str);
}

/// One sender's decisions. It shares nothing with any other.
pub struct Sender(logic::Logic);

impl Sender {
    /// A sender with no settings yet: its number among `senders`, and the seed of its chance.
    pub fn new(now: f64, seed: u64, sender_index: u64, sender_count: u64) -> Self {
        Sender(logic::Logic::new(now, seed, sender_index, sender_count))
    }

    /// An event type: wanted within `target_latency` seconds, given up after `ttl`; `late_value_share` is the share of `value`
    /// left then, reached by halving with each further target latency or evenly.
    pub fn set_event_type(
        &mut self, name: &str, target_latency: f64, ttl: f64, value: f64, late_value_share: f64,
        value_halves: bool,
    ) {
        let event_type =
            EventType { target_latency, ttl, value, late_value_share, value_halves, ..EventType::default() };
        self.0.types.insert(name.into(), event_type);
    }

    /// What a repeat of an event type does, and whether webhooks with one key go in order. For a tokened
    /// type: how long a repeat is known, and whether by all endpoints of the destination or those of one
    /// zone.
    pub fn set_repeat_safety(
        &mut self, event_type: &str, repeat_safety: RepeatSafety, token_lifetime: f64,
        token_shared_by_zones: bool, ordered: bool,
    ) {
        let Some(event_type) = self.0.types.get_mut(event_type) else { return };
        (event_type.effect, event_type.repeat_window, event_type.known_by_all, event_type.ordered) =
            (repeat_safety, token_lifetime, token_shared_by_zones, ordered);
    }

    /// A kind of destination: webhooks in one call at most, and whether its endpoints are routes apart.
    pub fn set_destination_kind(&mut self, name: &str, max_batch: usize, independent_endpoints: bool) {
        self.0.kinds.insert(name.into(), (max_batch.max(1), independent_endpoints));
    }

    /// What the way to a zone costs; only the order of the zones counts.
    pub fn set_zone_cost(&mut self, zone: &str, cost: f64) {
        self.0.ways.insert(zone.into(), cost);
    }

    /// A customer's share of the traffic: webhooks a second from all senders; value beyond it counts `over_quota_weight`
    /// times.
    pub fn set_customer(&mut self, name: &str, quota: f64, over_quota_weight: f64) {
        self.0.customers.insert(name.into(), (quota, over_quota_weight, Default::default()));
    }

    /// Calls out at once, webhooks held (sent or not), and delivery attempts for one webhook, at most.
    pub fn set_limits(&mut self, slots: usize, max_pending: usize, max_attempts: u32, may_cancel: bool) {
        (self.0.caps.slots, self.0.caps.holds) = (slots, max_pending);
        (self.0.caps.attempts, self.0.caps.may_call_off) = (max_attempts, may_cancel);
    }

    /// The longest time to come back that clients heed; 0 where none may be named.
    pub fn set_max_retry_after(&mut self, seconds: f64) {
        self.0.come_back = seconds;
    }

    /// Whether the list has to be asked for, how long a sender may go without asking, and how long it may pause after
    /// a call that failed. The first call has a turn; one that is due stays due when this is told again.
    pub fn set_list_watch(&mut self, required: bool, max_interval: f64, max_retry_pause: f64) {
        self.0.set_list(required, max_interval, max_retry_pause);
    }

    /// A destination back from an outage has `initial_share` of its capacity, all of it after `warm_up` seconds, and
    /// falls over when sent more than `overload_multiple` times what it can do for `overload_span` seconds.
    pub fn set_cold_start(
        &mut self, initial_share: f64, warm_up: f64, overload_multiple: f64, overload_span: f64,
    ) {
        self.0.cold = state::Cold { initial_share, warm_up, overload_multiple, overload_span };
    }

    /// How long a connection that is not in use stays open by itself.
    pub fn set_idle_timeout(&mut self, timeout: f64) {
        self.0.idle_for = timeout;
    }

    /// How long a key rests after an attempt that may still run.
    pub fn set_key_cooldown(&mut self, cooldown: f64) {
        self.0.key_rest = cooldown;
    }

    /// News of the endpoint list.
    pub fn update_list(
        &mut self, now: f64, update: ListUpdate, entries: &[ListedEndpoint], actions: &mut dyn ActionSink,
    ) {
        self.0.list(now, update, entries);
        self.0.settle(actions);
    }

    /// A webhook was handed in under a number above 0, with `ttl_left` seconds until it is given up.
    #[allow(clippy::too_many_arguments)]
    pub fn accept(
        &mut self, now: f64, webhook_id: u64, event_type: &str, destination: u64, ordering_key: Option<&str>,
        customer: Option<&str>, ttl_left: f64, actions: &mut dyn ActionSink,
    ) {
        self.0.webhook(now, webhook_id, event_type, destination, ordering_key, customer, ttl_left);
        self.0.settle(actions);
    }

    /// A webhook comes back after a restart, like one handed in, with the number of attempts made for it; `may_have_run`
    /// is the zone and the time of the first that may have run.
    #[allow(clippy::too_many_arguments)]
    pub fn resume(
        &mut self, now: f64, webhook_id: u64, event_type: &str, destination: u64, ordering_key: Option<&str>,
        customer: Option<&str>, ttl_left: f64, attempts_made: u32, may_have_run: Option<(&str, f64)>,
        actions: &mut dyn ActionSink,
    ) {
        self.0.webhook(now, webhook_id, event_type, destination, ordering_key, customer, ttl_left);
        self.0.resumed(webhook_id, attempts_made, may_have_run);
        self.0.settle(actions);
    }

    /// The process will end at `shutdown_at`; attempts that are not back by then may have run.
    pub fn begin_shutdown(&mut self, now: f64, shutdown_at: f64, actions: &mut dyn ActionSink) {
        (self.0.now, self.0.closes_at) = (now, shutdown_at);
        self.0.settle(actions);
    }

    /// Whether an attempt that was asked for may go out now that its connection is up. Where not, it ends as
    /// [`Outcome::Moot`].
    pub fn may_send(&self, now: f64, webhook_id: u64, endpoint: &str) -> bool {
        self.not_sent_reason(now, webhook_id, endpoint).is_none()
    }

    /// Why it may not.
    pub fn not_sent_reason(&self, now: f64, webhook_id: u64, endpoint: &str) -> Option<NotSentReason> {
        self.0.hold_back(now, webhook_id, endpoint)
    }

    /// Until when the last byte of an attempt for a webhook may be written, where it goes out.
    pub fn write_deadline(&self, webhook_id: u64) -> f64 {
        self.0.write_until(webhook_id)
    }

    /// A delivery attempt ended. `is_final` is set where the webhook has its final answer; `limit_report` is the share
    /// of the destination's limit that is left and the limit in calls a second, where it told them.
    #[allow(clippy::too_many_arguments)]
    pub fn attempt_ended(
        &mut self, now: f64, webhook_id: u64, endpoint: &str, outcome: Outcome, duration: f64,
        is_final: bool, limit_report: Option<(f64, f64)>, actions: &mut dyn ActionSink,
    ) {
        self.0.outcome(now, webhook_id, endpoint, outcome, duration, is_final, limit_report);
        self.0.settle(actions);
    }

    /// An answer told a wait of so many seconds beside its outcomes. It binds like one told with a refusal.
    pub fn wait_requested(&mut self, now: f64, endpoint: &str, wait: f64, actions: &mut dyn ActionSink) {
        // An outcome of no webhook: nothing is judged by it, only the wait counts.
        self.0.outcome(now, 0, endpoint, Outcome::Full(wait), 0.0, true, None);
        self.0.settle(actions);
    }

    /// The client has withdrawn a webhook.
    pub fn withdraw(&mut self, now: f64, webhook_id: u64, actions: &mut dyn ActionSink) {
        self.0.withdrawn(now, webhook_id);
        self.0.settle(actions);
    }

    /// A wake-up that was asked for has come.
    pub fn wake(&mut self, now: f64, handle: u64, actions: &mut dyn ActionSink) {
        self.0.woken(now, handle);
        self.0.settle(actions);
    }
}
