//! What decides for a sender: the module through its interface, or a baseline to measure it against.

use crate::spec::{Effect as E, World};
use scalebarrow::{ActionSink, ListUpdate, ListedEndpoint, Outcome, RepeatSafety, Sender};

/// The inputs of a sender's decisions, as [`scalebarrow::Sender`] has them.
#[allow(clippy::too_many_arguments)]
pub trait Policy {
    fn update_list(
        &mut self, now: f64, mode: ListUpdate, entries: &[ListedEndpoint], out: &mut dyn ActionSink,
    );
    fn accept(
        &mut self, now: f64, id: u64, event_type: &str, dest: u64, key: Option<&str>, customer: Option<&str>,
        left: f64, out: &mut dyn ActionSink,
    );
    fn resume(
        &mut self, now: f64, id: u64, event_type: &str, dest: u64, key: Option<&str>, customer: Option<&str>,
        left: f64, tries: u32, ran: Option<(&str, f64)>, out: &mut dyn ActionSink,
    );
    fn begin_shutdown(&mut self, now: f64, by: f64, out: &mut dyn ActionSink);
    /// Whether an attempt still goes out now that its connection is up.
    fn may_send(&self, _now: f64, _id: u64, _ep: &str) -> bool {
        true
    }
    fn attempt_ended(
        &mut self, now: f64, id: u64, ep: &str, outcome: Outcome, took: f64, ended: bool,
        report: Option<(f64, f64)>, out: &mut dyn ActionSink,
    );
    fn wait_requested(&mut self, now: f64, ep: &str, wait: f64, out: &mut dyn ActionSink);
    fn withdraw(&mut self, now: f64, id: u64, out: &mut dyn ActionSink);
    fn wake(&mut self, now: f64, handle: u64, out: &mut dyn ActionSink);
}

impl Policy for Sender {
    fn update_list(
        &mut self, now: f64, mode: ListUpdate, entries: &[ListedEndpoint], out: &mut dyn ActionSink,
    ) {
        Sender::update_list(self, now, mode, entries, out);
    }
    fn accept(
        &mut self, now: f64, id: u64, event_type: &str, dest: u64, key: Option<&str>, customer: Option<&str>,
        left: f64, out: &mut dyn ActionSink,
    ) {
        Sender::accept(self, now, id, event_type, dest, key, customer, left, out);
    }
    fn resume(
        &mut self, now: f64, id: u64, event_type: &str, dest: u64, key: Option<&str>, customer: Option<&str>,
        left: f64, tries: u32, ran: Option<(&str, f64)>, out: &mut dyn ActionSink,
    ) {
        Sender::resume(self, now, id, event_type, dest, key, customer, left, tries, ran, out);
    }
    fn begin_shutdown(&mut self, now: f64, by: f64, out: &mut dyn ActionSink) {
        Sender::begin_shutdown(self, now, by, out);
    }
    fn may_send(&self, now: f64, id: u64, ep: &str) -> bool {
        Sender::may_send(self, now, id, ep)
    }
    fn attempt_ended(
        &mut self, now: f64, id: u64, ep: &str, outcome: Outcome, took: f64, ended: bool,
        report: Option<(f64, f64)>, out: &mut dyn ActionSink,
    ) {
        Sender::attempt_ended(self, now, id, ep, outcome, took, ended, report, out);
    }
    fn wait_requested(&mut self, now: f64, ep: &str, wait: f64, out: &mut dyn ActionSink) {
        Sender::wait_requested(self, now, ep, wait, out);
    }
    fn withdraw(&mut self, now: f64, id: u64, out: &mut dyn ActionSink) {
        Sender::withdraw(self, now, id, out);
    }
    fn wake(&mut self, now: f64, handle: u64, out: &mut dyn ActionSink) {
        Sender::wake(self, now, handle, out);
    }
}

/// What a policy is told when its sender starts.
#[derive(Clone, Copy)]
pub struct SenderStart<'a> {
    pub now: f64,
    pub seed: u64,
    pub sender_index: usize,
    pub world: &'a World,
}

/// Makes the policy of each sender, anew at every start.
pub type PolicyFactory<'m> = dyn Fn(SenderStart) -> Box<dyn Policy> + Sync + 'm;

/// The decision module, told the world's settings.
pub fn decision_module(start: SenderStart) -> Box<dyn Policy> {
    let w = start.world;
    let mut s = Sender::new(start.now, start.seed, start.sender_index as u64, w.senders.count as u64);
    for t in &w.event_types {
        s.set_event_type(&t.name, t.target_s, t.ttl_s, t.value, t.late, t.halves);
        let effect = match t.effect {
            E::Idempotent => RepeatSafety::Idempotent,
            E::Tokened => RepeatSafety::Tokened,
            E::AtMostOnce => RepeatSafety::AtMostOnce,
        };
        s.set_repeat_safety(&t.name, effect, t.known_s, t.by_all, t.ordered);
    }
    for k in &w.destination_kinds {
        s.set_destination_kind(&k.name, k.batch, k.apart);
    }
    for c in &w.customers {
        s.set_customer(&c.name, c.quota, c.over);
    }
    s.set_limits(w.senders.slots, w.senders.holds, w.senders.attempts, w.senders.may_call_off);
    s.set_max_retry_after(w.senders.come_back_s);
    s.set_list_watch(w.list.ask, w.list.within_s, 4.0 * w.list.within_s);
    s.set_cold_start(w.rules.cold_from, w.rules.warm_s, w.rules.fall_multiple, w.rules.fall_s);
    s.set_idle_timeout(w.senders.idle_s);
    s.set_key_cooldown(w.rules.key_rest_s);
    Box::new(s)
}
