//! The interface of what decides for a sender: the decision module, or a baseline to compare it with.

use crate::spec::{RepeatEffect, World};
use scalebarrow::{ActionSink, ListUpdate, ListedEndpoint, Outcome, RepeatSafety, ScopeMemory, Sender};

/// Decides for one sender process. The inputs are those of [`scalebarrow::Sender`]; all times are in seconds.
#[allow(clippy::too_many_arguments)]
pub trait Policy {
    /// The endpoint list, or changes of it, reached the sender.
    fn update_list(
        &mut self, now: f64, update: ListUpdate, entries: &[ListedEndpoint], actions: &mut dyn ActionSink,
    );
    /// The sender accepted a webhook.
    fn accept(
        &mut self, now: f64, webhook_id: u64, event_type: &str, destination: u64, ordering_key: Option<&str>,
        customer: Option<&str>, ttl_left: f64, actions: &mut dyn ActionSink,
    );
    /// A webhook from the journal, after a restart: with the attempts made, and zone and time of the first
    /// one that may have run.
    fn resume(
        &mut self, now: f64, webhook_id: u64, event_type: &str, destination: u64, ordering_key: Option<&str>,
        customer: Option<&str>, ttl_left: f64, attempts_made: u32, may_have_run: Option<(&str, f64)>,
        actions: &mut dyn ActionSink,
    );
    /// What the process before this one stored of a destination or endpoint; it comes before the list.
    fn remember(&mut self, _now: f64, _memory: &ScopeMemory) {}
    /// The process will end at `shutdown_at`.
    fn begin_shutdown(&mut self, now: f64, shutdown_at: f64, actions: &mut dyn ActionSink);
    /// Whether an attempt may still be sent now that its connection is open.
    fn may_send(&self, _now: f64, _webhook_id: u64, _endpoint: &str) -> bool {
        true
    }
    /// An attempt ended after `duration`; `is_final` where its webhook has its final answer. `limit_report`
    /// is the share of the destination's limit that is left, and the limit in calls per second.
    fn attempt_ended(
        &mut self, now: f64, webhook_id: u64, endpoint: &str, outcome: Outcome, duration: f64,
        is_final: bool, limit_report: Option<(f64, f64)>, actions: &mut dyn ActionSink,
    );
    /// A successful answer asked the sender to wait.
    fn wait_requested(&mut self, now: f64, endpoint: &str, wait: f64, actions: &mut dyn ActionSink);
    /// The client withdrew a webhook.
    fn withdraw(&mut self, now: f64, webhook_id: u64, actions: &mut dyn ActionSink);
    /// A wake-up that was asked for is due.
    fn wake(&mut self, now: f64, handle: u64, actions: &mut dyn ActionSink);
}

impl Policy for Sender {
    fn update_list(
        &mut self, now: f64, update: ListUpdate, entries: &[ListedEndpoint], actions: &mut dyn ActionSink,
    ) {
        Sender::update_list(self, now, update, entries, actions);
    }
    fn accept(
        &mut self, now: f64, webhook_id: u64, event_type: &str, destination: u64, ordering_key: Option<&str>,
        customer: Option<&str>, ttl_left: f64, actions: &mut dyn ActionSink,
    ) {
        Sender::accept(
            self,
            now,
            webhook_id,
            event_type,
            destination,
            ordering_key,
            customer,
            ttl_left,
            actions,
        );
    }
    fn resume(
        &mut self, now: f64, webhook_id: u64, event_type: &str, destination: u64, ordering_key: Option<&str>,
        customer: Option<&str>, ttl_left: f64, attempts_made: u32, may_have_run: Option<(&str, f64)>,
        actions: &mut dyn ActionSink,
    ) {
        Sender::resume(
            self,
            now,
            webhook_id,
            event_type,
            destination,
            ordering_key,
            customer,
            ttl_left,
            attempts_made,
            may_have_run,
            actions,
        );
    }
    fn remember(&mut self, now: f64, memory: &ScopeMemory) {
        Sender::remember(self, now, memory);
    }
    fn begin_shutdown(&mut self, now: f64, shutdown_at: f64, actions: &mut dyn ActionSink) {
        Sender::begin_shutdown(self, now, shutdown_at, actions);
    }
    fn may_send(&self, now: f64, webhook_id: u64, endpoint: &str) -> bool {
        Sender::may_send(self, now, webhook_id, endpoint)
    }
    fn attempt_ended(
        &mut self, now: f64, webhook_id: u64, endpoint: &str, outcome: Outcome, duration: f64,
        is_final: bool, limit_report: Option<(f64, f64)>, actions: &mut dyn ActionSink,
    ) {
        Sender::attempt_ended(
            self,
            now,
            webhook_id,
            endpoint,
            outcome,
            duration,
            is_final,
            limit_report,
            actions,
        );
    }
    fn wait_requested(&mut self, now: f64, endpoint: &str, wait: f64, actions: &mut dyn ActionSink) {
        Sender::wait_requested(self, now, endpoint, wait, actions);
    }
    fn withdraw(&mut self, now: f64, webhook_id: u64, actions: &mut dyn ActionSink) {
        Sender::withdraw(self, now, webhook_id, actions);
    }
    fn wake(&mut self, now: f64, handle: u64, actions: &mut dyn ActionSink) {
        Sender::wake(self, now, handle, actions);
    }
}

/// What a policy gets when its sender's process starts.
#[derive(Clone, Copy)]
pub struct SenderStart<'a> {
    /// Simulated time in seconds.
    pub now: f64,
    /// Seed of the policy's random draws.
    pub seed: u64,
    /// The sender's number, from 0.
    pub sender_index: usize,
    /// The settings of the day.
    pub world: &'a World,
}

/// Makes the policy of a sender at each of its starts.
pub type PolicyFactory<'m> = dyn Fn(SenderStart) -> Box<dyn Policy> + Sync + 'm;

/// The decision module, configured with the world's settings.
pub fn decision_module(start: SenderStart) -> Box<dyn Policy> {
    let world = start.world;
    let mut sender =
        Sender::new(start.now, start.seed, start.sender_index as u64, world.senders.count as u64);
    for event_type in &world.event_types {
        sender.set_event_type(
            &event_type.name,
            event_type.target_latency_s,
            event_type.ttl_s,
            event_type.value,
            event_type.late_value_share,
            event_type.value_halves,
        );
        let repeat_safety = match event_type.effect {
            RepeatEffect::Idempotent => RepeatSafety::Idempotent,
            RepeatEffect::Tokened => RepeatSafety::Tokened,
            RepeatEffect::AtMostOnce => RepeatSafety::AtMostOnce,
        };
        sender.set_repeat_safety(
            &event_type.name,
            repeat_safety,
            event_type.token_lifetime_s,
            event_type.token_shared_by_zones,
            event_type.ordered,
        );
    }
    for kind in &world.destination_kinds {
        sender.set_destination_kind(&kind.name, kind.max_batch, kind.independent_endpoints);
    }
    for customer in &world.customers {
        sender.set_customer(&customer.name, customer.quota, customer.over_quota_weight);
    }
    sender.set_limits(
        world.senders.slots,
        world.senders.max_pending,
        world.senders.max_attempts,
        world.senders.may_cancel,
    );
    sender.set_max_retry_after(world.senders.max_retry_after_s);
    sender.set_list_watch(
        world.endpoint_list.watch_required,
        world.endpoint_list.max_watch_interval_s,
        4.0 * world.endpoint_list.max_watch_interval_s,
    );
    sender.set_cold_start(
        world.rules.initial_capacity_share,
        world.rules.warm_up_s,
        world.rules.overload_multiple,
        world.rules.overload_span_s,
    );
    sender.set_idle_timeout(world.senders.idle_timeout_s);
    sender.set_key_cooldown(world.rules.key_cooldown_s);
    Box::new(sender)
}
