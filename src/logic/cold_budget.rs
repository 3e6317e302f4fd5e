//! Outages, and the cold budget: how many calls all senders together may make to a destination that returns
//! from one. A scope ([`LimitScope`]) is what has an outage as a whole: a destination or an independent
//! endpoint.

use super::*;

/// A scope is in an outage if at least this many calls failed over more than this many seconds with none
/// delivered.
const OUTAGE_CALLS: u32 = 3;
const OUTAGE_SECS: f64 = 2.0;
/// This many consecutive failures are no coincidence, however short the time.
const OUTAGE_CALLS_AT_ONCE: u32 = 8;
/// A turn to call a cold scope that is not used this long after it began is missed. Wake-ups are late by some
/// hundredths of a second, and a process may be suspended for 0.15 s.
const TURN_LENGTH_SECS: f64 = 0.25;

impl RuleEngine {
    /// Calls per second that all senders together may make to a cold scope, if `wanting` senders have
    /// webhooks for it.
    pub(super) fn cold_call_rate(&self, route: &Route, limiter: Option<&RateLimiter>, wanting: f64) -> f64 {
        let capacity_share = self
            .cold_start
            .capacity_share(route.recovered_at.map_or(0.0, |recovered_at| self.now - recovered_at));
        // A reduced limit does not make the destination weaker: the listed rate counts.
        let full_rate = self.rate_limit(route, limiter).max(route.listed_rate);
        let full_rate = if full_rate > 0.0 { full_rate } else { self.observed_rate(limiter) };
        let budget =
            full_rate * capacity_share * self.cold_start.overload_multiple * self.cold_start.overload_span;
        // What overloads it; a third of that is left to senders that may not have noticed the outage.
        let overload = (budget + 2.0 * budget.sqrt() + 2.0) * (wanting / self.sender_count).max(2.0 / 3.0);
        // Independent calls stay within one standard deviation of their mean, since fewer senders want the
        // scope than are counted; those of a few senders stay within one call of each.
        let mean = (((1.0 + 4.0 * overload).sqrt() - 1.0) / 2.0).powi(2);
        mean.max(overload - wanting).min(budget) / self.cold_start.overload_span
    }

    /// Calls per second of all senders that a scope has taken at least, judged by this sender's own, less one
    /// standard deviation. One call per second if there were few: an unknown rate must not block a route
    /// forever.
    fn observed_rate(&self, limiter: Option<&RateLimiter>) -> f64 {
        let deliveries = limiter.map_or(DeliveryAverage::default(), |limiter| limiter.deliveries);
        let certain = (deliveries.count - deliveries.count.sqrt()).max(0.0);
        (certain / deliveries.span().max(1.0) * self.sender_count).max(1.0)
    }

    /// Seconds until each sender that may want a scope that is cold or in an outage has made one call within
    /// the cold budget. No more senders are counted than webhooks arrived since the failures began and have
    /// not expired.
    pub(super) fn spread_duration(&self, route: &Route, limiter: Option<&RateLimiter>, since: f64) -> f64 {
        let rate = if route.listed_rate > 0.0 { route.listed_rate } else { self.rate_limit(route, limiter) };
        let longest_ttl = self.event_types.values().map(|event_type| event_type.ttl).fold(0.0, f64::max);
        // Other senders may have seen failures earlier than this one: possibly since its last delivery.
        let last_delivered_at = limiter
            .filter(|_| route.cold || route.consecutive_failures > 0)
            .map(|limiter| limiter.last_delivered_at.unwrap_or(f64::NEG_INFINITY));
        let since = last_delivered_at.map_or(since, |last_delivered_at| since.min(last_delivered_at));
        // Twice the expected number: the few calls of many senders can arrive clustered.
        let arrived = 2.0 * rate * (self.now - since).clamp(0.0, longest_ttl) + 1.0;
        // Where no rate is known, nor is how many webhooks arrived: every sender counts.
        let wanting = if rate > 0.0 { arrived.min(self.sender_count) } else { self.sender_count };
        let wait = wanting / self.cold_call_rate(route, limiter, wanting);
        // After the recovery the budget grows linearly, so the calls made until a time are a quadratic
        // function of it.
        let ColdStart { initial_share, warm_up, .. } = self.cold_start;
        let growth_after = |recovered_at: f64| {
            (1.0 - initial_share)
                / (initial_share * warm_up + (1.0 - initial_share) * (self.now - recovered_at)).max(0.001)
        };
        let growth = route.recovered_at.map_or(0.0, growth_after);
        if growth > 0.0 { ((1.0 + 2.0 * growth * wait).sqrt() - 1.0) / growth } else { wait }
    }

    /// The routes that share a scope.
    pub(super) fn routes_in<'a>(
        &'a self, scope: &'a LimitScope,
    ) -> impl Iterator<Item = (&'a Name, &'a Route)> {
        let all = self.endpoints.get(&scope.0).into_iter().flatten();
        let own = all.filter(|endpoint| scope.1.as_ref().is_none_or(|own| own == *endpoint));
        own.filter_map(|endpoint| Some((endpoint, self.routes.get(endpoint)?)))
    }

    /// Spreads the next calls of all senders to a cold scope over time, as many may have webhooks pending for
    /// it. Once the scope `answers`, calls and probes that were delayed for longer move forward, but not
    /// before the probe pause.
    pub(super) fn stagger_cold_calls(&mut self, scope: &LimitScope, answers: bool) {
        let now = self.now;
        let cold =
            self.routes_in(scope).filter(|(_, route)| route.cold).map(|(endpoint, _)| endpoint.clone());
        for endpoint in cold.collect::<Vec<_>>() {
            let jitter = self.rng.next_f64();
            self.routes.entry(endpoint.clone()).and_modify(|route| {
                route.recovered_at = route.recovered_at.or(Some(now).filter(|_| answers))
            });
            let spread =
                self.spread_duration(&self.routes[&endpoint], self.rate_limiters.get(scope), now - 4.0);
            let due = now + spread * (0.2 + 1.6 * jitter);
            let latest = if answers { due } else { f64::INFINITY };
            let limiter = self.rate_limiters.entry(scope.clone()).or_default();
            limiter.next_cold_call_at =
                if limiter.next_cold_call_at < now { due } else { limiter.next_cold_call_at.min(latest) };
            let move_forward =
                |route: &mut Route| route.probe_at = route.probe_at.min(latest.max(now + route.probe_pause));
            self.routes.entry(endpoint).and_modify(move_forward);
        }
    }

    /// An endpoint of a cold scope that has a sendable webhook and missed its turn, for lack of a webhook or of
    /// a slot, or because of a requested wait.
    pub(super) fn missed_turn(&self) -> Option<RuleTarget> {
        let candidates = self.candidate_destinations();
        let mut endpoints =
            candidates.iter().filter_map(|destination| self.endpoints.get(destination)).flatten();
        endpoints.find(|endpoint| self.has_missed_turn(endpoint)).cloned().map(RuleTarget::Route)
    }

    fn has_missed_turn(&self, endpoint: &Name) -> bool {
        let Some(route) = self.routes.get(endpoint).filter(|route| route.ready && route.cold) else {
            return false;
        };
        let Some(limiter) = self.rate_limiters.get(&Self::limit_scope(endpoint, route)) else { return true };
        // What follows from this sender's own calls delays the use of a turn: a probe, the retry of a failed
        // webhook, its share of the rate limit.
        let probe_at = if route.circuit_open { route.probe_at } else { 0.0 };
        let retry_at = route.last_failed_at.map_or(0.0, |failed_at| failed_at + MAX_RETRY_PAUSE_SECS);
        let share_until = self.own_share_until(route, limiter);
        let usable_at = limiter.next_cold_call_at.max(probe_at).max(retry_at).max(share_until);
        self.now >= limiter.wait_until && self.now > usable_at + TURN_LENGTH_SECS
    }

    /// Draws a new turn in place of a missed one. Senders that missed theirs for the same reason, as a wait
    /// that all of them were told, do not call together then.
    pub(super) fn draw_turn(&mut self, target: RuleTarget, _: &mut dyn ActionSink) {
        let RuleTarget::Route(endpoint) = target else { return };
        let Some(route) = self.routes.get(&endpoint) else { return };
        let (scope, destination) = (Self::limit_scope(&endpoint, route), route.destination);
        let spread = self.spread_duration(route, self.rate_limiters.get(&scope), route.failing_since - 2.0);
        // A sender that is alone needs no turn: its next call is a spread later anyway.
        let others = 1.0 - 1.0 / self.sender_count;
        let turn_at = self.now + spread * others * self.turn_rng.next_f64();
        self.rate_limiters.entry(scope).or_default().next_cold_call_at = turn_at;
        self.pending.changed.insert(destination);
    }

    /// Whether calls fail at all routes of a scope: an outage, although no single route had three consecutive
    /// failures.
    pub(super) fn all_routes_failing(&self, scope: &LimitScope) -> bool {
        let routes = || self.routes_in(scope).map(|(_, route)| route);
        // Three failures as for a single route, and no delivery among the calls sent in the last two seconds,
        // as those show the state at the same moment.
        let healthy = |route: &Route| {
            route
                .samples
                .iter()
                .any(|sample| sample.delivered && sample.ended_at - sample.duration >= self.now - 2.0)
        };
        // Where each of many senders makes less than one call in that time, two more from each would overload
        // it.
        let rate =
            routes().map(|route| self.rate_limit(route, self.rate_limiters.get(scope))).fold(0.0, f64::max);
        let enough = if 2.0 * rate < self.sender_count { 1 } else { 3 };
        routes().map(|route| route.consecutive_failures).sum::<u32>() >= enough && !routes().any(healthy)
    }

    /// Detects an outage when a call sent at `sent_at` ends: calls failed for a while, or many of them, and
    /// none was delivered. Calls sent before the first failure count together with it, as one event can end
    /// many calls.
    pub(super) fn detect_outage(&mut self, endpoint: &str, outcome: Outcome, sent_at: f64) {
        let Some((endpoint, route)) = self.routes.get_key_value(endpoint) else { return };
        let (scope, now) = (Self::limit_scope(endpoint, route), self.now);
        let limiter = self.rate_limiters.entry(scope.clone()).or_default();
        match outcome {
            Outcome::Delivered => return limiter.failures = None,
            Outcome::Moot(_) => return,
            _ => {}
        }
        // A limit that is used up causes consecutive refusals too; those have their own pacing.
        let not_refused = u32::from(!matches!(outcome, Outcome::Full(_)));
        let failures = match limiter.failures {
            None => FailureRun { since: now, calls: 1, not_refused },
            Some(run) if sent_at < run.since => run,
            Some(run) => {
                FailureRun { calls: run.calls + 1, not_refused: run.not_refused + not_refused, ..run }
            }
        };
        limiter.failures = Some(failures);
        let outage_known =
            self.routes_in(&scope).all(|(_, route)| route.cold && route.recovered_at.is_none());
        let failures_last = failures.calls >= OUTAGE_CALLS && now - failures.since > OUTAGE_SECS;
        if (failures_last || failures.not_refused >= OUTAGE_CALLS_AT_ONCE) && !outage_known {
            self.mark_cold(&scope, failures.since);
            self.stagger_cold_calls(&scope, false);
        }
    }

    /// Detects on a delivery that a scope which refused calls for a while was in an outage until just now.
    /// Refusals delay further calls, so the last refusal can come too early to detect the outage by it.
    pub(super) fn detect_recovery(&mut self, endpoint: &str) {
        let Some((endpoint, route)) = self.routes.get_key_value(endpoint) else { return };
        let scope = Self::limit_scope(endpoint, route);
        let failures = self.rate_limiters.get(&scope).and_then(|limiter| limiter.failures);
        let Some(failures) = failures.filter(|run| run.calls - run.not_refused >= OUTAGE_CALLS) else {
            return;
        };
        if self.now - failures.since > OUTAGE_SECS && !self.routes_in(&scope).any(|(_, route)| route.cold) {
            self.mark_cold(&scope, failures.since);
        }
    }

    /// Marks the routes of a scope as in an outage, and cold afterwards, unless a call sent at or after
    /// `since` was delivered there.
    pub(super) fn mark_cold(&mut self, scope: &LimitScope, since: f64) {
        self.changed_scopes.insert(scope.clone());
        let all = || self.endpoints.get(&scope.0).map_or(&[][..], Vec::as_slice);
        for endpoint in scope.1.as_ref().map_or_else(all, std::slice::from_ref) {
            if let Some(route) = self.routes.get_mut(endpoint)
                && !route
                    .samples
                    .iter()
                    .any(|sample| sample.delivered && sample.ended_at - sample.duration >= since)
            {
                (route.cold, route.recovered_at) = (true, None);
            }
        }
    }
}
