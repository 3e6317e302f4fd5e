//! Attempt timeouts, what the end of a call tells about its route, and calls that are cancelled to free their
//! slots.

use super::*;

impl RuleEngine {
    /// The window of a new route.
    pub(super) fn initial_window(&self) -> f64 {
        // An eighth of the slots, at least one: half of the slots opened more connections than endpoints
        // accept.
        (self.limits.slots as f64 / 8.0).max(1.0)
    }

    /// The 90th percentile of recent deliveries' durations. With fewer than five, the longest, and at least
    /// 0.6 s.
    pub(super) fn tail_latency(samples: &VecDeque<Sample>) -> f64 {
        let mut durations: Vec<f64> =
            samples.iter().filter(|sample| sample.delivered).map(|sample| sample.duration).collect();
        durations.sort_by(f64::total_cmp);
        if durations.len() < 5 {
            durations.last().copied().unwrap_or(0.0).max(0.6)
        } else {
            durations[durations.len() * 9 / 10]
        }
    }

    /// After how long a call counts as lost: 3.5 times the tail latency (one in a hundred takes longer), down
    /// to twice where a tenth of the calls are lost, and at least 0.8 s, as stalls last half a second. It
    /// doubles with each consecutive failure, up to eight times, so that it follows a route that slows down.
    pub(super) fn call_timeout(&self, route: &Route) -> f64 {
        let loss_share = self.recent_losses.iter().filter(|lost| **lost).count() as f64 / 60.0;
        let factor = (3.5 - 15.0 * loss_share).max(2.0);
        (factor * route.tail_latency).max(0.8) * f64::from(1 << route.consecutive_failures.min(3))
    }

    /// Whether a route with calls in flight has not answered for much longer than answers take. It gets no
    /// more calls until one ends.
    pub(super) fn unresponsive(&self, route: &Route) -> bool {
        let oldest = route.calls.iter().map(|call| call.sent_at).fold(f64::INFINITY, f64::min);
        self.now - oldest.max(route.last_answer_at) > 0.6 * self.call_timeout(route)
    }

    /// When an attempt that starts now times out.
    pub(super) fn attempt_deadline(&self, webhook: &Webhook, route: &Route) -> f64 {
        let repeat_safety =
            self.event_types.get(&webhook.event_type).map(|event_type| event_type.repeat_safety);
        // After a timeout an at-most-once webhook could only be dead-lettered; the rule for overdue calls
        // cancels its call when the slot is needed.
        let repeatable = matches!(repeat_safety, Some(RepeatSafety::Idempotent | RepeatSafety::Tokened));
        if repeatable {
            (self.now + self.call_timeout(route)).min(webhook.ttl_deadline)
        } else {
            webhook.ttl_deadline
        }
    }

    /// While all slots are in use and webhooks are pending: the call that is longest past its timeout.
    pub(super) fn overdue_call(&self) -> Option<RuleTarget> {
        if !self.limits.may_cancel || self.used_slots < self.limits.slots || self.pending.is_empty() {
            return None;
        }
        let most_overdue = self.call_timeouts().min_by(|a, b| a.0.total_cmp(&b.0))?;
        (most_overdue.0 < self.now).then_some(RuleTarget::Webhook(most_overdue.1))
    }

    /// When each call in flight times out, with one of its webhooks.
    pub(super) fn call_timeouts(&self) -> impl Iterator<Item = (f64, u64)> {
        let active = self.active_routes.iter().filter_map(|endpoint| self.routes.get(endpoint));
        let calls = active.flat_map(|route| {
            route.calls.iter().filter(|call| !call.cancelled).map(move |call| (route, call))
        });
        calls.filter_map(|(route, call)| {
            Some((call.sent_at + self.call_timeout(route), *call.webhook_ids.first()?))
        })
    }

    /// Cancels the call in flight that carries a webhook, for all of its webhooks.
    pub(super) fn cancel_call(&mut self, target: RuleTarget, actions: &mut dyn ActionSink) {
        let RuleTarget::Webhook(id) = target else { return };
        for endpoint in &self.active_routes {
            let calls = self.routes.get_mut(endpoint).into_iter().flat_map(|route| &mut route.calls);
            for call in calls.filter(|call| call.webhook_ids.contains(&id)) {
                call.cancelled = true;
                for id in &call.webhook_ids {
                    actions.cancel_attempt(
                        *id,
                        self.webhooks.get(id).map_or(0, |webhook| webhook.attempts.saturating_sub(1)),
                    );
                }
            }
        }
    }

    /// Updates the route, its rate limiter and the slots when an attempt ends. Returns whether the attempt
    /// was refused because a rate limit was reached.
    pub(super) fn record_call_end(
        &mut self, id: u64, endpoint: &str, outcome: Outcome, duration: f64, limit_report: Option<(f64, f64)>,
    ) -> bool {
        let (now, slots, sender_count, jitter) =
            (self.now, self.limits.slots as f64, self.sender_count, self.rng.next_f64());
        let Some((endpoint, route)) = self.routes.get_key_value(endpoint) else { return false };
        let (endpoint, scope) = (endpoint.clone(), Self::limit_scope(endpoint, route));
        let Some(route) = self.routes.get_mut(&endpoint) else { return false };
        self.pending.changed.insert(scope.0);
        let limiter = self.rate_limiters.entry(scope.clone()).or_default();
        if let Outcome::Full(wait @ 0.001..) = outcome {
            // 1 ms more, so that rounding cannot end it early. Each webhook of a batch reports the same wait.
            limiter.wait_until = limiter.wait_until.max(now + wait + 0.001);
            self.changed_scopes.insert(scope.clone());
        }
        let Some(position) = route.calls.iter().position(|call| call.webhook_ids.contains(&id)) else {
            return false;
        };
        let call = &mut route.calls[position];
        let (sent_at, probe, on_idle_connection) = (call.sent_at, call.probe, call.on_idle_connection);
        // The webhooks of a call share one outcome but report it one by one: the first is evaluated, the last
        // frees the slot.
        let first = !std::mem::replace(&mut call.evaluated, true);
        call.webhook_ids.remove(&id);
        if call.webhook_ids.is_empty() {
            route.calls.remove(position);
            self.used_slots -= 1;
            if route.calls.is_empty() {
                self.active_routes.remove(&endpoint);
            }
            match self.calls_in_flight.get_mut(&scope.0).filter(|count| **count > 1) {
                Some(count) => *count -= 1,
                None => drop(self.calls_in_flight.remove(&scope.0)),
            }
        }
        if !first {
            return limiter.limit_reached_at == now;
        }
        route.last_used_at = now;
        self.unused_routes.timers.set(endpoint.clone(), now + ROUTE_MEMORY_SECS);
        // Only the first of consecutive losses counts: a hung endpoint is tried again and again, each time
        // after a pause.
        let lost = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset);
        self.recent_connection_uses.extend((!probe && route.consecutive_failures == 0).then_some((
            now,
            on_idle_connection,
            lost,
        )));
        // The last 100 calls in 20 s: enough to notice if one in ten on idle connections is lost, and soon
        // forgotten, so that idle connections are tried again.
        self.recent_connection_uses.retain(|usage| usage.0 >= now - 20.0);
        self.recent_connection_uses.drain(..self.recent_connection_uses.len().saturating_sub(100));
        if let Some((remaining, limit)) = limit_report.filter(|report| report.1 > 0.0) {
            limiter.reported_remaining = Some((remaining, now));
            // The limit is used up, possibly by refused calls as well: only even shares leave some of it to
            // every sender.
            if remaining < 0.001 {
                (limiter.share, self.limit_used_up_at) = (limiter.share.min(2.0 * limiter.min_share), now);
            }
            limiter.reported_limits.push_back((now, limit));
            // The last five reports; their median is used, as they are noisy.
            limiter.reported_limits.drain(..limiter.reported_limits.len().saturating_sub(5));
            self.recent_limits.push_back(limit);
            self.recent_limits.drain(..self.recent_limits.len().saturating_sub(20));
            self.typical_limit = median(self.recent_limits.iter().copied()).unwrap_or(0.0);
        }
        let (delivered, mut recovers) = (outcome == Outcome::Delivered, false);
        route.last_failed_at = (!delivered).then_some(now);
        let connection_error = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        match outcome {
            Outcome::Moot(_) => return false,
            Outcome::Full(wait) => {
                route.last_answer_at = now;
                route.window = (route.window / 2.0).max(1.0);
                if probe {
                    route.probe_pause = (route.probe_pause * 2.0).min(2.0);
                    route.probe_at = now + route.probe_pause;
                }
                return self.back_off(&endpoint, &scope, wait);
            }
            Outcome::Delivered => {
                (route.last_answer_at, limiter.last_delivered_at) = (now, Some(now));
                limiter.deliveries.record(now);
                self.connection_scarcity.entry(route.destination_kind.clone()).or_default().1 += 1;
                if route.connect_failed_at.is_some_and(|failed_at| now < failed_at + 4.0) {
                    // A connect failed just before: too brief for an outage, so connections are scarce there,
                    // most likely at all destinations of this kind. For a minute, the span for which
                    // docs/design.md trusts what is known.
                    self.connection_scarcity.insert(route.destination_kind.clone(), (now + 60.0, 0));
                }
                // One or two unanswered calls before a delivery were lost; more would be an outage.
                let lost =
                    if route.consecutive_failures < 3 { route.consecutive_failures as usize } else { 0 };
                self.recent_losses.extend(std::iter::repeat_n(true, lost).chain([false]));
                // The last 60: enough to tell one in twenty from one in ten.
                self.recent_losses.drain(..self.recent_losses.len().saturating_sub(60));
                route.consecutive_failures = 0;
                // Where some of the limit is left and a full call is pending, the share grows fast: other
                // senders use less.
                let wants_more = self.pending.sendable_count(scope.0) >= route.max_batch
                    && now > limiter.limit_reached_at + 2.0;
                let has_room = wants_more && limit_report.is_some_and(|report| report.0 >= 0.2);
                let growth = if has_room { 0.2 * limiter.share } else { 0.02 / sender_count };
                (limiter.consecutive_refusals, limiter.share) =
                    (0, (limiter.share + growth).min(limiter.share.max(1.0)));
                if now >= route.window_growth_paused_until {
                    route.window = (route.window + 1.0).min((slots * 0.33).max(1.0));
                }
                if std::mem::take(&mut route.circuit_open) {
                    route.samples.clear();
                }
                if route.cold {
                    self.changed_scopes.insert(scope.clone());
                }
                recovers = route.cold && route.recovered_at.is_none();
                if route.cold && now - *route.recovered_at.get_or_insert(now) > self.cold_start.warm_up {
                    (route.cold, route.recovered_at) = (false, None);
                }
            }
            Outcome::Failed => route.last_answer_at = now,
            Outcome::ConnectFailed => {
                route.connect_failed_at = Some(now);
                let other_calls_delivered =
                    route.samples.iter().any(|sample| sample.delivered && sample.ended_at >= sent_at);
                let scarce = self
                    .connection_scarcity
                    .get(&route.destination_kind)
                    .is_some_and(|scarcity| now < scarcity.0);
                self.connection_scarcity.entry(route.destination_kind.clone()).or_default().1 = 0;
                if other_calls_delivered || (scarce && route.consecutive_failures < 3) {
                    // No connection, yet others work: the calls in flight show how many it accepts. For 5 s,
                    // since idle connections of other senders close after some seconds.
                    route.window = route.window.min(route.calls.len() as f64).max(1.0);
                    route.window_growth_paused_until = now + 5.0;
                    route.consecutive_failures += 1;
                    return false;
                }
                route.window = (route.window / 2.0).max(1.0);
            }
            Outcome::TimedOut | Outcome::Cancelled => route.window = (route.window / 2.0).max(1.0),
            Outcome::Reset => {}
        }
        route.samples.push_back(Sample { ended_at: now, delivered, connection_error, duration });
        // 30 samples, or those of the 10 s that docs/design.md names, whichever are fewer.
        route.samples.retain(|sample| sample.ended_at >= now - 10.0);
        route.samples.drain(..route.samples.len().saturating_sub(30));
        (route.tail_latency, route.health_score) =
            (Self::tail_latency(&route.samples), Self::health_score(&route.samples));
        if delivered {
            if recovers {
                self.stagger_cold_calls(&scope, true);
            }
            return false;
        }
        // A reset of a kept connection says nothing about its endpoint; one that is down refuses the next
        // connect.
        route.consecutive_failures += u32::from(outcome != Outcome::Reset);
        route.failing_since =
            if route.consecutive_failures == 1 && !route.cold { sent_at } else { route.failing_since };
        let delivered_count = route.samples.iter().filter(|sample| sample.delivered).count();
        let none_delivered_since =
            !route.samples.iter().any(|sample| sample.delivered && sample.ended_at >= sent_at);
        if self.all_routes_failing(&scope) {
            self.mark_cold(&scope, now - 2.0);
            self.stagger_cold_calls(&scope, false);
        }
        let Some(route) = self.routes.get_mut(&endpoint) else { return false };
        // The circuit opens on two consecutive failures, or on one error where no delivery is known, if nothing
        // was delivered since this call was sent. It also opens if most of at least five samples failed, and a
        // failed probe keeps it open.
        let single_error = delivered_count == 0 && outcome == Outcome::Failed;
        if ((route.consecutive_failures >= 2 || single_error) && none_delivered_since)
            || (route.samples.len() >= 5 && 2 * delivered_count < route.samples.len())
            || probe
        {
            route.probe_pause = if std::mem::replace(&mut route.circuit_open, true) {
                (route.probe_pause * 1.5).min(2.0)
            } else {
                0.5
            };
            let (probe_pause, consecutive_failures, failing_since) =
                (route.probe_pause, route.consecutive_failures, route.failing_since);
            let first_failed_at = route
                .samples
                .iter()
                .rev()
                .take_while(|sample| !sample.delivered)
                .last()
                .map_or(now, |sample| sample.ended_at);
            let spread = self.spread_duration(
                &self.routes[&endpoint],
                self.rate_limiters.get(&scope),
                failing_since - 2.0,
            );
            if let Some(route) = self.routes.get_mut(&endpoint) {
                route.probe_at =
                    now + (probe_pause * (0.75 + 0.5 * jitter)).max(spread * (0.2 + 1.6 * jitter));
            }
            // A third consecutive failure, or a failed probe, is an outage; fewer can be coincidence.
            if (probe && outcome != Outcome::Reset) || consecutive_failures >= 3 {
                // Routes that delivered a call sent after these failures began, and within the last two
                // seconds, are up, however fast this one failed.
                self.mark_cold(&scope, first_failed_at.max(now - 2.0));
            }
        }
        false
    }
}
