//! Selects the next attempt: which routes are available, their health score and order, and which webhook to
//! send.

use super::*;

impl RuleEngine {
    /// Updates the indexes of a destination where something changed. One with calls in flight is not indexed
    /// but evaluated each time, as the calls of all routes affect its timeouts.
    pub(super) fn refresh_destination(&mut self, destination: u64) {
        let (now, idle_timeout, has_pending) =
            (self.now, self.idle_timeout, self.pending.has_any_for(destination));
        let endpoints = self.endpoints.get(&destination).map_or(&[][..], Vec::as_slice);
        let (mut idle, mut available) = (self.pending.sendable.contains_key(&destination), false);
        let (mut next_available_at, mut refresh_at) = (f64::INFINITY, f64::INFINITY);
        for (endpoint, route) in
            endpoints.iter().filter_map(|endpoint| Some((endpoint, self.routes.get(endpoint)?)))
        {
            let unneeded = route.connections > route.calls.len() && !has_pending;
            self.unneeded_connections.set(
                &route.destination_kind,
                endpoint,
                [unneeded, unneeded && route.last_call_gap > idle_timeout],
            );
            idle &= route.calls.is_empty();
            if idle {
                let available_at = self.available_at_with_slot(endpoint, route);
                available |= available_at <= now;
                next_available_at =
                    if available_at > now { next_available_at.min(available_at) } else { next_available_at };
                // The rate limit in use changes when a report becomes 5 s old.
                let limiter = self.rate_limiters.get(&Self::limit_scope(endpoint, route));
                let report_expiries = limiter
                    .into_iter()
                    .flat_map(|limiter| &limiter.reported_limits)
                    .map(|report| report.0 + 5.0)
                    .filter(|expires_at| *expires_at > now);
                refresh_at = report_expiries.fold(refresh_at, f64::min);
            }
        }
        if idle {
            self.idle_destinations.set(destination, available, next_available_at, refresh_at)
        } else {
            self.idle_destinations.set(destination, false, f64::INFINITY, f64::INFINITY)
        }
    }

    /// Destinations with sendable webhooks and calls in flight.
    pub(super) fn busy_destinations(&self) -> BTreeSet<u64> {
        let (in_flight, sendable) = (&self.calls_in_flight, &self.pending.sendable);
        // Iterates over the smaller of the two.
        if in_flight.len() < sendable.len() {
            in_flight.keys().filter(|destination| sendable.contains_key(destination)).copied().collect()
        } else {
            sendable.keys().filter(|destination| in_flight.contains_key(destination)).copied().collect()
        }
    }

    /// Destinations with sendable webhooks where a route may admit a call now, in order.
    pub(super) fn candidate_destinations(&self) -> BTreeSet<u64> {
        let mut candidates = self.busy_destinations();
        // Without a free slot webhooks can only join calls that start now, and those are already in flight.
        candidates.extend(
            self.idle_destinations.available().iter().filter(|_| self.used_slots < self.limits.slots),
        );
        candidates
    }

    /// The weighted score of docs/design.md, which depends on the samples alone and is stored in the route.
    pub(super) fn health_score(samples: &VecDeque<Sample>) -> f64 {
        let count = samples.len() as f64;
        let (mut success, mut speed, mut stability) = (1.0, 0.5, 1.0);
        if count >= 5.0 {
            success = samples.iter().filter(|sample| sample.delivered).count() as f64 / count;
            let mean = samples.iter().map(|sample| sample.duration).sum::<f64>() / count;
            // From a quick answer (0.1 s) to one beyond every target latency (3 s).
            speed = 1.0 - (mean.clamp(0.1, 3.0) - 0.1) / 2.9;
            stability = 1.0 - samples.iter().filter(|sample| sample.connection_error).count() as f64 / count;
        }
        0.5 * success + 0.3 * speed + 0.2 * stability
    }

    /// Whether a route admits no regular call or further webhook now.
    pub(super) fn unavailable(&self, endpoint: &Name, route: &Route) -> bool {
        // Until an endpoint answers after an outage each call carries one webhook: a full call is as much
        // work for it as three of those.
        let last_delivered_at = self
            .rate_limiters
            .get(&Self::limit_scope(endpoint, route))
            .and_then(|limiter| limiter.last_delivered_at);
        let unproven = route.cold
            && last_delivered_at
                .is_none_or(|delivered_at| delivered_at < route.recovered_at.unwrap_or(f64::INFINITY));
        let has_room = |call: &Call| {
            call.sent_at == self.now && !call.probe && !unproven && call.webhook_ids.len() < route.max_batch
        };
        let joins = route.calls.last().is_some_and(has_room);
        let available_at = if joins && route.ready {
            self.paced_until(endpoint, route, true)
        } else {
            self.available_at(endpoint, route)
        };
        route.circuit_open || available_at > self.now
    }

    /// Routes of a destination that admit a webhook now, best first.
    pub(super) fn ranked_routes(&self, destination: u64) -> Vec<&Name> {
        let Some(endpoints) = self.endpoints.get(&destination) else { return Vec::new() };
        let available = |endpoint: &&Name| {
            self.routes.get(*endpoint).is_some_and(|route| !self.unavailable(endpoint, route))
        };
        let score = |endpoint: &Name| self.routes.get(endpoint).map_or(0.0, |route| route.health_score);
        let mut scored: Vec<(f64, &Name)> =
            endpoints.iter().filter(available).map(|endpoint| (score(endpoint), endpoint)).collect();
        let highest = scored.iter().map(|entry| entry.0).fold(f64::NEG_INFINITY, f64::max);
        let current = self.current_routes.get(&destination);
        // All within 0.05 of the highest score tie (-9 sorts before every negated score). Of those, one whose
        // last call was not delivered comes after the others for 10 s, as long as samples count; then the
        // lower cost, the current route and the hash decide.
        scored.sort_by_cached_key(|(score, endpoint)| {
            let (route, ties) = (&self.routes[*endpoint], *score >= highest - 0.05);
            let failed_recently = route.last_failed_at.is_some_and(|failed_at| failed_at > self.now - 10.0);
            let tie_break = (
                failed_recently,
                OrderedF64(route.zone_cost),
                Some(*endpoint) != current,
                hash(self.sender_index, endpoint),
            );
            (OrderedF64(if ties { -9.0 } else { -score }), tie_break)
        });
        scored.into_iter().map(|entry| entry.1).collect()
    }

    /// The sendable webhook of the best rank that a route admits now, with that route.
    pub(super) fn next_attempt(&self) -> Option<RuleTarget> {
        let mut best: Option<(SendRank, u64, Name)> = None;
        for destination in self.candidate_destinations() {
            let routes = self.ranked_routes(destination);
            let (Some(first), Some(groups)) = (routes.first(), self.pending.sendable.get(&destination))
            else {
                continue;
            };
            let usual_latency = self.routes[*first].tail_latency;
            let mut best_here: Option<(SendRank, u64, u64, &Name)> = None;
            for (group, queue) in groups {
                let fits = |endpoint: &&&Name| {
                    group.2.as_ref().is_none_or(|zone| *zone == self.routes[**endpoint].zone)
                };
                let Some(endpoint) = routes.iter().find(fits) else { continue };
                let delivery_at = self.now + usual_latency;
                let value =
                    |id| self.webhooks.get(&id).map_or(0.0, |webhook| self.value_at(webhook, delivery_at));
                let Some((sequence, id)) = queue.first_ranked(delivery_at, value) else { continue };
                let rank = self.send_rank(&self.webhooks[&id], usual_latency);
                if best_here.as_ref().is_none_or(|other| (rank, sequence) < (other.0, other.1)) {
                    best_here = Some((rank, sequence, id, endpoint));
                }
            }
            if let Some((rank, _, id, endpoint)) =
                best_here.filter(|here| best.as_ref().is_none_or(|other| here.0 < other.0))
            {
                best = Some((rank, id, endpoint.clone()));
            }
        }
        best.map(|(_, id, endpoint)| RuleTarget::Attempt(id, endpoint))
    }

    /// An open circuit admits one probe call when it is due: the webhook that loses least by a failure.
    pub(super) fn due_probe(&self) -> Option<RuleTarget> {
        for destination in self.candidate_destinations() {
            let endpoints = self.endpoints.get(&destination).into_iter().flatten();
            let routes = endpoints.filter_map(|endpoint| Some((endpoint, self.routes.get(endpoint)?)));
            for (endpoint, route) in routes.filter(|(endpoint, route)| {
                route.circuit_open && self.available_at(endpoint, route) <= self.now
            }) {
                let fits = |group: &WebhookGroup| group.2.as_ref().is_none_or(|zone| *zone == route.zone);
                let has_safety = |group: &WebhookGroup, repeat_safety| {
                    self.event_types
                        .get(&group.0)
                        .is_some_and(|event_type| event_type.repeat_safety == repeat_safety)
                };
                let risk = |group: &WebhookGroup| {
                    (has_safety(group, RepeatSafety::AtMostOnce), has_safety(group, RepeatSafety::Tokened))
                };
                let groups = self
                    .pending
                    .sendable
                    .get(&destination)
                    .into_iter()
                    .flatten()
                    .filter(|(group, _)| fits(group));
                let firsts = groups
                    .filter_map(|(group, queue)| Some((risk(group), queue.by_sequence.first_key_value()?)));
                if let Some((_, (_, id))) = firsts.min() {
                    return Some(RuleTarget::Attempt(*id, endpoint.clone()));
                }
            }
        }
        None
    }

    /// Starts an attempt, in a call that also starts now and has room, or in a new one.
    pub(super) fn start_attempt(&mut self, target: RuleTarget, actions: &mut dyn ActionSink) {
        let RuleTarget::Attempt(id, endpoint) = target else { return };
        let (now, sender_count) = (self.now, self.sender_count);
        let (Some(webhook), Some(route)) = (self.webhooks.get(&id), self.routes.get(&endpoint)) else {
            return;
        };
        let (scope, give_up_at, destination, probe) = (
            Self::limit_scope(&endpoint, route),
            self.attempt_deadline(webhook, route),
            webhook.destination,
            route.circuit_open,
        );
        let spread = self.spread_duration(route, self.rate_limiters.get(&scope), route.failing_since - 2.0);
        // The share to start with is an even part, or 1.3 even parts where endpoints share a limit. Where an
        // even part allows one call per TTL or less, the share allows up to one call per second, as chance
        // decides which senders have webhooks; elsewhere that would exhaust the limit.
        let shortest_ttl =
            self.event_types.values().map(|event_type| event_type.ttl).fold(f64::INFINITY, f64::min);
        let rate = if route.listed_rate > 0.0 {
            route.listed_rate
        } else {
            self.rate_limit(route, self.rate_limiters.get(&scope))
        };
        let scarcity = (sender_count / (rate * shortest_ttl)).min(1.0);
        let share = (if route.independent { 1.0 } else { 1.3 } / sender_count).max(scarcity / rate);
        // Half a second: a connection in steady use is never idle for so long.
        let mut on_idle_connection = route.connections > route.calls.len() && now - route.last_used_at > 0.5;
        if on_idle_connection && self.idle_connections_fail() {
            // A handshake costs less than a lost call. It is wasted only if the losses had another cause.
            on_idle_connection = false;
            self.close_idle_connections(RuleTarget::Route(endpoint.clone()), actions);
        }
        actions.start_attempt(id, &endpoint, give_up_at);
        let Some(route) = self.routes.get_mut(&endpoint) else { return };
        let joined = route
            .calls
            .last_mut()
            .filter(|call| call.sent_at == now && !call.probe && call.webhook_ids.len() < route.max_batch);
        let limiter = self.rate_limiters.entry(scope).or_default();
        // Where the rate is reported but not listed, the share to start with is the whole limit, unless a
        // limit was used up within the last minute.
        if limiter.min_share <= 0.0 && rate > 0.0 {
            let reported_share =
                if now < self.limit_used_up_at + ROUTE_MEMORY_SECS { share } else { share.max(1.0) };
            (limiter.share, limiter.min_share) = if route.listed_rate > 0.0 {
                (share, 0.5 / sender_count)
            } else {
                (reported_share, 0.5 * share)
            };
        }
        if let Some(call) = joined {
            call.webhook_ids.insert(id);
            // A further webhook in a call is about a quarter of a call's work for the destination.
            limiter.next_cold_call_at += if route.cold { 0.25 * spread } else { 0.0 };
        } else {
            route.calls.push(Call {
                sent_at: now,
                probe,
                on_idle_connection,
                webhook_ids: BTreeSet::from([id]),
                ..Call::default()
            });
            route.connections = route.connections.max(route.calls.len());
            (route.last_call_gap, route.last_call_at) = (now - route.last_call_at, now);
            self.used_slots += 1;
            *self.calls_in_flight.entry(destination).or_default() += 1;
            limiter.next_cold_call_at =
                limiter.next_cold_call_at.max(now) + if route.cold { spread } else { 0.0 };
            limiter.sent_at.push_back(now);
            // 400 calls: more than any destination accepts from one sender in a second.
            limiter.sent_at.drain(..limiter.sent_at.len().saturating_sub(400));
        }
        route.last_used_at = now;
        self.webhooks.entry(id).and_modify(|webhook| {
            (webhook.in_flight_to, webhook.attempts) = (Some(endpoint.clone()), webhook.attempts + 1)
        });
        self.pending.remove(id);
        self.active_routes.insert(endpoint.clone());
        self.unused_routes.timers.set(endpoint.clone(), now + ROUTE_MEMORY_SECS);
        self.current_routes.insert(destination, endpoint);
    }
}
