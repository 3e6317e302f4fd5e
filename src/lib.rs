//! The interface of scalebarrow's decision module: one method for each thing that a sender can learn, and the
//! [`Outbox`] through which it acts. Nothing here belongs to a particular protocol.
//!
//! Times are seconds with fractions; `now` is the caller's clock and must never run backwards. A sender is
//! opened with [`Sender::open`], told its settings by the `set_*` methods, and then fed inputs in the order
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
pub enum Effect {
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
pub enum HoldBack {
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
pub enum ListMode {
    Changes,
    Whole,
    /// The whole list as this sender had it before it started; it can be old.
    Remembered,
    /// A watch or fetch failed, or the watch broke.
    Refused,
}

/// One line of the endpoint list.
#[derive(Clone, Debug)]
pub struct Entry<'a> {
    pub ep: &'a str,
    pub zone: &'a str,
    pub kind: &'a str,
    pub dest: u64,
    /// Listed and taking new work; false when it drains or is gone.
    pub ready: bool,
    /// Calls a second that the destination (or the route) takes from all senders; 0 or less when unknown.
    pub rate: f64,
    /// Clock time of its last start, where it is told; 0 or less: long ago.
    pub born: f64,
}

/// The effects a sender may ask for.
pub trait Outbox {
    /// Call `ep` with the webhook; give the attempt up at clock time `stop_at`.
    fn attempt(&mut self, webhook: u64, ep: &str, stop_at: f64);
    /// Stop waiting for attempt number `hop` of a webhook.
    fn call_off(&mut self, webhook: u64, hop: u32);
    /// Final answer: handing the webhook in again does no harm; not before `come_back` seconds (0: nothing
    /// said).
    fn reject(&mut self, webhook: u64, come_back: f64);
    /// Final answer: given up, with no promise.
    fn dead_letter(&mut self, webhook: u64);
    /// Ask for [`Sender::woken`] after so many seconds.
    fn wake(&mut self, after: f64, handle: u64);
    /// Watch the endpoint list for changes, or stop watching.
    fn watch(&mut self, on: bool);
    /// Close the idle connections to an endpoint.
    fn close_idle(&mut self, ep: &str);
    /// Write a line for those on call.
    fn log(&mut self, text: &str);
}

/// One sender's decisions. It shares nothing with any other.
pub struct Sender(logic::Logic);

impl Sender {
    /// A sender with no settings yet: its number among `senders`, and the seed of its chance.
    pub fn open(now: f64, seed: u64, number: u64, senders: u64) -> Self {
        Sender(logic::Logic::new(now, seed, number, senders))
    }

    /// An event type: wanted within `target` seconds, given up after `ttl`; `late` is the share of `value`
    /// left then, reached by halving with each further target latency or evenly.
    pub fn set_event_type(&mut self, name: &str, target: f64, ttl: f64, value: f64, late: f64, halves: bool) {
        let event_type = EventType { target, ttl, value, late, halves, ..EventType::default() };
        self.0.types.insert(name.into(), event_type);
    }

    /// What a repeat of an event type does, and whether webhooks with one key go in order. For a tokened
    /// type: how long a repeat is known, and whether by all endpoints of the destination or those of one
    /// zone.
    pub fn set_effect(
        &mut self, name: &str, effect: Effect, repeat_window: f64, known_by_all: bool, ordered: bool,
    ) {
        let Some(event_type) = self.0.types.get_mut(name) else { return };
        (event_type.effect, event_type.repeat_window, event_type.known_by_all, event_type.ordered) =
            (effect, repeat_window, known_by_all, ordered);
    }

    /// A kind of destination: webhooks in one call at most, and whether its endpoints are routes apart.
    pub fn set_kind(&mut self, name: &str, batch: usize, apart: bool) {
        self.0.kinds.insert(name.into(), (batch.max(1), apart));
    }

    /// What the way to a zone costs; only the order of the zones counts.
    pub fn set_way(&mut self, zone: &str, cost: f64) {
        self.0.ways.insert(zone.into(), cost);
    }

    /// A customer's share of the traffic: webhooks a second from all senders; value beyond it counts `over`
    /// times.
    pub fn set_customer(&mut self, name: &str, quota: f64, over: f64) {
        self.0.customers.insert(name.into(), (quota, over, Default::default()));
    }

    /// Calls out at once, webhooks held (sent or not), and delivery attempts for one webhook, at most.
    pub fn set_limits(&mut self, slots: usize, holds: usize, attempts: u32, may_call_off: bool) {
        (self.0.caps.slots, self.0.caps.holds) = (slots, holds);
        (self.0.caps.attempts, self.0.caps.may_call_off) = (attempts, may_call_off);
    }

    /// The longest time to come back that clients heed; 0 where none may be named.
    pub fn set_come_back(&mut self, longest: f64) {
        self.0.come_back = longest;
    }

    /// Whether the list has to be asked for, how long a sender may go without asking, and how long it may pause after
    /// a call that failed. The first call has a turn; one that is due stays due when this is told again.
    pub fn set_list(&mut self, ask: bool, within: f64, pause: f64) {
        self.0.set_list(ask, within, pause);
    }

    /// A destination back from an outage has `from` of its capacity, all of it after `warm` seconds, and
    /// falls over when sent more than `multiple` times what it can do for `span` seconds.
    pub fn set_cold(&mut self, from: f64, warm: f64, multiple: f64, span: f64) {
        self.0.cold = state::Cold { from, warm, multiple, span };
    }

    /// How long a connection that is not in use stays open by itself.
    pub fn set_idle(&mut self, stays: f64) {
        self.0.idle_for = stays;
    }

    /// How long a key rests after an attempt that may still run.
    pub fn set_key_rest(&mut self, rest: f64) {
        self.0.key_rest = rest;
    }

    /// News of the endpoint list.
    pub fn list(&mut self, now: f64, mode: ListMode, entries: &[Entry], out: &mut dyn Outbox) {
        self.0.list(now, mode, entries);
        self.0.settle(out);
    }

    /// A webhook was handed in under a number above 0, with `left` seconds until it is given up.
    #[allow(clippy::too_many_arguments)]
    pub fn webhook(
        &mut self, now: f64, id: u64, event_type: &str, dest: u64, key: Option<&str>, customer: Option<&str>,
        left: f64, out: &mut dyn Outbox,
    ) {
        self.0.webhook(now, id, event_type, dest, key, customer, left);
        self.0.settle(out);
    }

    /// A webhook comes back after a restart, like one handed in, with the number of attempts made for it; `ran`
    /// is the zone and the time of the first that may have run.
    #[allow(clippy::too_many_arguments)]
    pub fn resumed(
        &mut self, now: f64, id: u64, event_type: &str, dest: u64, key: Option<&str>, customer: Option<&str>,
        left: f64, tries: u32, ran: Option<(&str, f64)>, out: &mut dyn Outbox,
    ) {
        self.0.webhook(now, id, event_type, dest, key, customer, left);
        self.0.resumed(id, tries, ran);
        self.0.settle(out);
    }

    /// The process will end at `by`; attempts that are not back by then may have run.
    pub fn closing(&mut self, now: f64, by: f64, out: &mut dyn Outbox) {
        (self.0.now, self.0.closes_at) = (now, by);
        self.0.settle(out);
    }

    /// Whether an attempt that was asked for may go out now that its connection is up. Where not, it ends as
    /// [`Outcome::Moot`].
    pub fn may_go(&self, now: f64, id: u64, ep: &str) -> bool {
        self.hold_back(now, id, ep).is_none()
    }

    /// Why it may not.
    pub fn hold_back(&self, now: f64, id: u64, ep: &str) -> Option<HoldBack> {
        self.0.hold_back(now, id, ep)
    }

    /// Until when the last byte of an attempt for a webhook may be written, where it goes out.
    pub fn write_until(&self, id: u64) -> f64 {
        self.0.write_until(id)
    }

    /// A delivery attempt ended. `ended` is set where the webhook has its final answer; `report` is the share
    /// of the destination's limit that is left and the limit in calls a second, where it told them.
    #[allow(clippy::too_many_arguments)]
    pub fn outcome(
        &mut self, now: f64, id: u64, ep: &str, outcome: Outcome, took: f64, ended: bool,
        report: Option<(f64, f64)>, out: &mut dyn Outbox,
    ) {
        self.0.outcome(now, id, ep, outcome, took, ended, report);
        self.0.settle(out);
    }

    /// An answer told a wait of so many seconds beside its outcomes. It binds like one told with a refusal.
    pub fn told_wait(&mut self, now: f64, ep: &str, wait: f64, out: &mut dyn Outbox) {
        // An outcome of no webhook: nothing is judged by it, only the wait counts.
        self.0.outcome(now, 0, ep, Outcome::Full(wait), 0.0, true, None);
        self.0.settle(out);
    }

    /// The client has withdrawn a webhook.
    pub fn withdrawn(&mut self, now: f64, id: u64, out: &mut dyn Outbox) {
        self.0.withdrawn(now, id);
        self.0.settle(out);
    }

    /// A wake-up that was asked for has come.
    pub fn woken(&mut self, now: f64, handle: u64, out: &mut dyn Outbox) {
        self.0.woken(now, handle);
        self.0.settle(out);
    }
}
