//! Repeats and final answers: whether and until when a webhook may be sent again, the order of an ordering
//! key, and the single final answer of each webhook, also across a restart.

use super::*;

/// The process may be suspended for this long between reading the clock and writing to a connection.
const MAX_SUSPENSION_SECS: f64 = 0.15;
/// The longest time from a write here until the endpoint receives it.
const MAX_TRANSIT_SECS: f64 = 0.05;
/// A repeat is sent at least this long before the endpoint may no longer recognize it.
const REPEAT_MARGIN_SECS: f64 = MAX_SUSPENSION_SECS + MAX_TRANSIT_SECS;

impl RuleEngine {
    /// Restores the attempts of a webhook after a restart, and where and when the first was sent that may
    /// have run.
    pub fn resume(&mut self, id: u64, attempts: u32, may_have_run: Option<(&str, f64)>) {
        let Some(webhook) = self.webhooks.get_mut(&id) else { return };
        (webhook.attempts, webhook.may_have_run) =
            (attempts, may_have_run.map(|(zone, sent_at)| (zone.into(), sent_at)));
        let key = webhook.ordering_key.clone().filter(|_| webhook.may_have_run.is_some());
        let destination = webhook.destination;
        // A single attempt that may have run was most likely in flight when the process ended.
        if attempts > 1 || (attempts == 1 && may_have_run.is_none()) {
            self.suspect_outage(destination);
        }
        self.make_pending(id);
        if let Some(key) = key {
            self.key_cooldown_until.insert(key.clone(), self.now + self.key_cooldown);
            self.refresh_key_front(&key);
        }
    }

    /// The client has withdrawn a webhook.
    pub fn withdraw(&mut self, now: f64, id: u64) {
        self.now = now;
        let Some(webhook) = self.webhooks.get_mut(&id) else { return };
        // One that is in flight is kept until its outcome, so that its ordering key does not advance before.
        webhook.withdrawn = true;
        if webhook.in_flight_to.is_none() {
            self.finish(id);
        }
    }

    /// Removes a webhook that has its final answer, and lets the next one of its ordering key advance.
    pub(super) fn finish(&mut self, id: u64) {
        let Some(webhook) = self.webhooks.remove(&id) else { return };
        self.pending.remove(id);
        let Some(key) = &webhook.ordering_key else { return };
        let queue = self.key_queues.entry(key.clone()).or_default();
        queue.retain(|queued| *queued != id);
        if queue.is_empty() {
            self.key_queues.remove(key);
        }
        self.refresh_key_front(key);
    }

    /// Makes a webhook pending, or updates its entry if it already is.
    pub(super) fn make_pending(&mut self, id: u64) {
        let Some(webhook) = self.webhooks.get(&id) else { return };
        let event_type = self.event_types.get(&webhook.event_type);
        let no_attempts_left = event_type.is_none() || webhook.attempts >= self.limits.max_attempts;
        let token_bound_to_zone = event_type.is_some_and(|event_type| {
            event_type.repeat_safety == RepeatSafety::Tokened && !event_type.token_shared_by_zones
        });
        let zone = webhook
            .may_have_run
            .as_ref()
            .filter(|_| token_bound_to_zone)
            .map(|first_attempt| first_attempt.0.clone());
        let entry = PendingEntry {
            destination: webhook.destination,
            // 5 ms before the end of the TTL an attempt can no longer end in time.
            expires_at: webhook.ttl_deadline - 0.005,
            exhausted_at: if no_attempts_left { f64::NEG_INFINITY } else { self.repeat_deadline(webhook) },
            sendable_at: webhook.not_before.max(self.key_turn_at(id, webhook)),
            group: (webhook.event_type.clone(), webhook.over_quota, zone),
            target_deadline: webhook.target_deadline,
        };
        self.pending.insert(id, entry);
    }

    /// Updates the entry of the front webhook of an ordering key, which may be another one now or have a
    /// cooldown.
    pub(super) fn refresh_key_front(&mut self, key: &Name) {
        let front = self.key_queues.get(key).and_then(|queue| queue.front()).copied();
        if let Some(id) = front.filter(|id| self.pending.contains(*id)) {
            self.make_pending(id);
        }
    }

    /// Whether the client can safely hand a webhook in again: nothing may have run, or every endpoint
    /// recognizes a repeat.
    pub(super) fn may_reject(&self, webhook: &Webhook) -> bool {
        let Some(event_type) = self.event_types.get(&webhook.event_type) else {
            return webhook.may_have_run.is_none();
        };
        webhook.may_have_run.is_none()
            || event_type.repeat_safety == RepeatSafety::Idempotent
            || (event_type.repeat_safety == RepeatSafety::Tokened && event_type.token_shared_by_zones)
    }

    /// Until when a repeat cannot run a second time.
    pub(super) fn repeat_deadline(&self, webhook: &Webhook) -> f64 {
        let (Some(event_type), Some((_, sent_at))) =
            (self.event_types.get(&webhook.event_type), &webhook.may_have_run)
        else {
            return f64::INFINITY;
        };
        match event_type.repeat_safety {
            RepeatSafety::Idempotent => f64::INFINITY,
            RepeatSafety::Tokened => sent_at + event_type.token_lifetime - REPEAT_MARGIN_SECS,
            RepeatSafety::AtMostOnce => 0.0,
        }
    }

    /// Until when the last byte of an attempt may be written, so that a repeat arrives while its token is
    /// recognized.
    pub fn write_deadline(&self, id: u64) -> f64 {
        self.webhooks.get(&id).map_or(f64::NEG_INFINITY, |webhook| self.repeat_deadline(webhook))
    }

    /// Why an attempt must no longer be sent, now that its connection is ready.
    pub fn not_sent_reason(&self, now: f64, id: u64, endpoint: &str) -> Option<NotSentReason> {
        let Some(webhook) = self.webhooks.get(&id).filter(|webhook| !webhook.withdrawn) else {
            return Some(NotSentReason::Over);
        };
        let Some((endpoint, route)) = self.routes.get_key_value(endpoint).filter(|(_, route)| route.ready)
        else {
            return Some(NotSentReason::NotListed);
        };
        let waits = self
            .rate_limiters
            .get(&Self::limit_scope(endpoint, route))
            .is_some_and(|limiter| now < limiter.wait_until);
        match () {
            () if waits => Some(NotSentReason::Waits),
            () if now + route.tail_latency > self.shutdown_at => Some(NotSentReason::Closing),
            () if now >= self.repeat_deadline(webhook) => Some(NotSentReason::WindowOver),
            () => None,
        }
    }

    /// When a webhook may be sent according to its ordering key; infinity while another webhook is ahead of
    /// it.
    pub(super) fn key_turn_at(&self, id: u64, webhook: &Webhook) -> f64 {
        let Some(key) = &webhook.ordering_key else { return 0.0 };
        if self.key_queues.get(key).and_then(|queue| queue.front()) != Some(&id) {
            return f64::INFINITY;
        }
        // A webhook that may have run itself does not wait for the cooldown. 1 ms more, so that rounding
        // cannot end the cooldown early.
        if webhook.may_have_run.is_some() {
            0.0
        } else {
            self.key_cooldown_until.get(key).map_or(0.0, |cooldown_until| cooldown_until + 0.001)
        }
    }

    /// A pending webhook for which an attempt could no longer end within its TTL.
    pub(super) fn expired(&self) -> Option<RuleTarget> {
        self.pending.first_expired().map(RuleTarget::Webhook)
    }

    /// A pending webhook that is allowed no further attempt: all are used up, or one may have run and must
    /// not be repeated.
    pub(super) fn exhausted(&self) -> Option<RuleTarget> {
        self.pending.first_exhausted().map(RuleTarget::Webhook)
    }

    /// Rejects a webhook if the client can safely hand it in again, otherwise dead-letters it.
    pub(super) fn give_up(&mut self, target: RuleTarget, actions: &mut dyn ActionSink) {
        let RuleTarget::Webhook(id) = target else { return };
        match self.webhooks.get(&id).map(|webhook| self.may_reject(webhook)) {
            // One second: most overloads and brief refusals are over by then.
            Some(true) => actions.reject(id, self.max_retry_after.min(1.0)),
            Some(false) => actions.dead_letter(id),
            None => {}
        }
        self.finish(id);
    }
}
