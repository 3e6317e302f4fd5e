//! Requested waits, this sender's share of rate limits, and when a route admits its next call.

use super::*;

impl RuleEngine {
    /// How long a webhook leaves a limit that was reached to webhooks of higher value: as long as it loses no
    /// more than a tenth of the highest value.
    pub(super) fn yield_duration(&self, id: u64) -> f64 {
        let Some(webhook) = self.webhooks.get(&id) else { return 0.0 };
        let highest = self.event_types.values().map(|event_type| event_type.value).fold(0.0, f64::max);
        let least = self.value_at(webhook, self.now) - 0.1 * highest;
        let steps = (0..8).map(|step| 0.2 * f64::from(1 << step));
        let acceptable = |delay: &f64| {
            self.value_at(webhook, self.now + delay) >= least
                && *delay < (webhook.ttl_deadline - self.now) / 5.0
        };
        steps.take_while(acceptable).last().unwrap_or(0.0)
    }

    /// The scope of the rate limit, waits and outages of a route.
    pub(super) fn limit_scope(endpoint: &Name, route: &Route) -> LimitScope {
        (route.destination, route.independent.then(|| endpoint.clone()))
    }

    /// Calls per second that a scope accepts from all senders: reported in the last 5 s, else listed, else
    /// reported earlier, else typical of all destinations.
    pub(super) fn rate_limit(&self, route: &Route, limiter: Option<&RateLimiter>) -> f64 {
        let since = if route.listed_rate > 0.0 { self.now - 5.0 } else { f64::NEG_INFINITY };
        let reports = limiter
            .into_iter()
            .flat_map(|limiter| &limiter.reported_limits)
            .filter(|report| report.0 > since);
        median(reports.map(|report| report.1)).unwrap_or(if route.listed_rate > 0.0 {
            route.listed_rate
        } else {
            self.typical_limit
        })
    }

    /// When the rate limit admits a call, or, if `joins`, a further webhook in a call that starts now.
    pub(super) fn paced_until(&self, endpoint: &Name, route: &Route, joins: bool) -> f64 {
        let Some(limiter) = self.rate_limiters.get(&Self::limit_scope(endpoint, route)) else { return 0.0 };
        let cold_until = if route.cold { limiter.next_cold_call_at } else { 0.0 };
        if joins {
            return limiter.wait_until;
        }
        limiter.wait_until.max(cold_until).max(self.own_share_until(route, limiter))
    }

    /// When this sender's share of the rate limit admits a call.
    pub(super) fn own_share_until(&self, route: &Route, limiter: &RateLimiter) -> f64 {
        // Reports arrive every few tenths of a second; the report of a used-up limit counts for that long.
        let used_up_until = limiter
            .reported_remaining
            .map_or(0.0, |(remaining, reported_at)| if remaining < 0.05 { reported_at + 0.3 } else { 0.0 });
        let rate = self.rate_limit(route, Some(limiter));
        let own_rate = (rate * limiter.share).max(1.0 / self.sender_count);
        // Whole calls over about a second, the shortest span of the destinations' limits.
        let max_calls = own_rate.ceil();
        let oldest = limiter
            .sent_at
            .len()
            .checked_sub(max_calls as usize)
            .and_then(|index| limiter.sent_at.get(index));
        let share_used_until = oldest
            .filter(|_| rate.min(limiter.min_share) > 0.0)
            .map_or(0.0, |sent_at| sent_at + max_calls / own_rate);
        used_up_until.max(share_used_until)
    }

    /// Reacts to a refused call, which asked for a wait of `wait` seconds (0 if it asked for none). Returns
    /// whether a rate limit was reached, rather than the destination being down.
    pub(super) fn back_off(&mut self, endpoint: &Name, scope: &LimitScope, wait: f64) -> bool {
        let (now, sender_count, jitter) = (self.now, self.sender_count, self.rng.next_f64());
        let remaining = self
            .rate_limiters
            .get(scope)
            .and_then(|limiter| limiter.reported_remaining)
            .filter(|report| report.1 == now)
            .map(|report| report.0);
        // Maybe only this endpoint refuses, as it drains, is cold or slow. At a reached limit all of them
        // refuse; with less than 4 calls per second for each sender, one refusal shows it.
        let only_this_one = remaining.is_some_and(|remaining| remaining >= 0.2);
        let usable = |route: &Route| {
            (only_this_one || route.listed_rate >= 4.0 * sender_count)
                && route.ready
                && !route.circuit_open
                && route.skip_until <= now
        };
        let endpoints = self.endpoints.get(&scope.0).map_or(&[][..], Vec::as_slice);
        let usable_other = |other: &Name| other != endpoint && self.routes.get(other).is_some_and(usable);
        if wait <= 0.0 && scope.1.is_none() && endpoints.iter().any(usable_other) {
            self.routes.entry(endpoint.clone()).and_modify(|route| route.skip_until = now + 1.0);
            return false;
        }
        for other in endpoints {
            self.routes.entry(other.clone()).and_modify(|route| route.skip_until = 0.0);
        }
        let limiter = self.rate_limiters.entry(scope.clone()).or_default();
        limiter.refused_since = if limiter.consecutive_refusals == 0 { now } else { limiter.refused_since };
        limiter.consecutive_refusals += 1;
        let route = &self.routes[endpoint];
        // With no delivery known, or two refusals, the destination may be down, and the webhooks of two
        // seconds may be pending at all senders.
        let any_delivered = route.samples.iter().any(|sample| sample.delivered);
        let maybe_down = limiter.consecutive_refusals > 1 || !any_delivered;
        // A report that some of the limit was used shows that calls were accepted: the limit was reached,
        // unless refusals go on and no delivery is known.
        let refusals_go_on = limiter.consecutive_refusals > 1 && now - limiter.refused_since > 2.0;
        let healthy = route.consecutive_failures == 0
            && !route.cold
            && !refusals_go_on
            && (any_delivered || limiter.consecutive_refusals < 2);
        let limit_reached = healthy && remaining.is_some_and(|remaining| remaining < 0.95);
        let (since, limiter) = (
            limiter.refused_since - wait - if maybe_down { 2.0 } else { 0.0 },
            self.rate_limiters.get(scope),
        );
        // The time in which the limit admits one call even if the destination were cold, at least 0.2 s; with
        // further refusals up to eight times that.
        let rate = self.rate_limit(route, limiter);
        let call_interval = if limit_reached {
            (1.0 / (self.cold_start.initial_share * self.cold_start.overload_multiple * rate)).clamp(0.2, 4.0)
        } else {
            0.2
        };
        // The limit is used up: more calls are made than it admits, and refused ones count as well. The delay
        // grows until all senders together use half of it.
        let used_up = limit_reached && remaining.is_some_and(|remaining| remaining < 0.001);
        let spread_share = [1.0, 0.0, 0.5][usize::from(limit_reached) + usize::from(used_up)];
        let spread = spread_share * self.spread_duration(route, limiter, since);
        let max_pause = (8.0 * call_interval).max(if used_up { 2.0 * sender_count / rate } else { 0.0 });
        let limiter = self.rate_limiters.entry(scope.clone()).or_default();
        let pause = (call_interval * f64::from(1 << (limiter.consecutive_refusals - 1).min(9)))
            .min(max_pause)
            * (0.75 + 0.5 * jitter);
        let extra = if limit_reached { pause.max(spread) } else { spread };
        let delay = if wait > 0.0 { wait + extra * jitter } else { pause.max(spread * (0.2 + 1.6 * jitter)) };
        limiter.wait_until = limiter.wait_until.max(now + delay);
        self.changed_scopes.insert(scope.clone());
        limiter.limit_reached_at = if limit_reached { now } else { f64::NEG_INFINITY };
        // The share shrinks by a fifth, or by half if far above an even part, since refused calls count
        // against most limits.
        limiter.share = (limiter.share * if limiter.share > 2.0 / sender_count { 0.5 } else { 0.8 })
            .max(limiter.min_share);
        if wait > 2.0 || refusals_go_on {
            let since = limiter.refused_since;
            self.mark_cold(scope, now);
            let set_failing_since = |route: &mut Route| {
                route.failing_since =
                    if route.consecutive_failures > 0 { route.failing_since.min(since) } else { since }
            };
            self.routes.entry(endpoint.clone()).and_modify(set_failing_since);
        }
        limit_reached
    }

    /// When a route admits a call; infinity if more than time is needed, such as a free slot.
    pub(super) fn available_at(&self, endpoint: &Name, route: &Route) -> f64 {
        if self.used_slots >= self.limits.slots {
            f64::INFINITY
        } else {
            self.available_at_with_slot(endpoint, route)
        }
    }

    /// The same as `available_at` if a slot is free.
    pub(super) fn available_at_with_slot(&self, endpoint: &Name, route: &Route) -> f64 {
        let window_full = if route.circuit_open {
            !route.calls.is_empty()
        } else {
            route.calls.len() as f64 + 1.0 > route.window
        };
        // A call in flight when the process ends may have run, and nobody learns its outcome.
        let too_late = self.now + route.tail_latency > self.shutdown_at;
        if !route.ready || window_full || too_late || (!route.circuit_open && self.unresponsive(route)) {
            return f64::INFINITY;
        }
        self.paced_until(endpoint, route, false).max(if route.circuit_open {
            route.probe_at
        } else {
            route.skip_until
        })
    }
}
