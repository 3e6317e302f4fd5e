//! The endpoint list: the watch on it, new, draining and deleted endpoints, and routes that are forgotten.

use super::*;

impl RuleEngine {
    /// Sets whether the watch has to be requested, and how often. The first request is delayed by a random
    /// time.
    pub fn set_list_watch(&mut self, required: bool, max_interval: f64, max_retry_pause: f64) {
        let first = required && !std::mem::replace(&mut self.list_watch.required, required);
        (self.list_watch.max_interval, self.list_watch.max_retry_pause) = (max_interval, max_retry_pause);
        self.list_watch.request_at += if first { self.list_request_delay() } else { 0.0 };
    }

    /// Applies an update of the endpoint list, or the failure to get one.
    pub fn update_list(&mut self, now: f64, update: ListUpdate, entries: &[ListedEndpoint]) {
        self.now = now;
        match update {
            ListUpdate::Refused => {
                // Whether the watch still exists is unknown: it is requested again, with exponential backoff.
                self.list_watch.active = false;
                self.list_watch.consecutive_refusals += 1;
                // The backoff takes at most three quarters of the longest pause, the random delay the other
                // quarter.
                let step = (0.4 * f64::from(1 << self.list_watch.consecutive_refusals.min(6)))
                    .min(self.list_watch.max_retry_pause / 2.0);
                let pause = step * (0.5 + self.rng.next_f64());
                self.list_watch.request_at =
                    now + pause + self.list_request_delay().min(self.list_watch.max_retry_pause / 4.0);
                return;
            }
            ListUpdate::Remembered => {}
            ListUpdate::Changes | ListUpdate::Whole => {
                (self.list_watch.active, self.list_watch.consecutive_refusals) = (self.list_watch.required, 0)
            }
        }
        if update != ListUpdate::Changes {
            for (endpoint, route) in &mut self.routes {
                route.ready = false;
                self.unused_routes.timers.set(endpoint.clone(), route.last_used_at + ROUTE_MEMORY_SECS);
            }
            self.pending.changed.extend(self.pending.sendable.keys());
        }
        if update != ListUpdate::Changes {
            self.moved_endpoints.clear();
        }
        for entry in entries {
            self.apply_entry(entry);
        }
    }

    /// Applies an entry of the list.
    fn apply_entry(&mut self, entry: &ListedEndpoint) {
        self.moved_endpoints.remove(entry.endpoint);
        self.pending.changed.insert(entry.destination);
        let known = self.routes.get_key_value(entry.endpoint);
        if let Some((endpoint, route)) = known.filter(|(_, route)| !is_same_endpoint(route, entry)) {
            let (endpoint, has_calls) = (endpoint.clone(), !route.calls.is_empty());
            if has_calls {
                return self.postpone_move(endpoint, entry);
            }
            self.remove_route(&endpoint);
        }
        if !self.routes.contains_key(entry.endpoint) {
            self.add_route(entry);
        }
        let now = self.now;
        let Some(route) = self.routes.get_mut(entry.endpoint) else { return };
        (route.ready, route.listed_rate) =
            (entry.ready, if entry.rate_limit.is_finite() { entry.rate_limit.max(0.0) } else { 0.0 });
        if !route.ready {
            self.unused_routes.timers.set(entry.endpoint.into(), route.last_used_at + ROUTE_MEMORY_SECS);
        }
        // An endpoint that started recently is cold too: the webhooks pending at all senders would overload it
        // when they learn of it. The cost: one that is listed as new although it is warm gets fewer calls for a
        // while.
        if entry.started_at > route.started_at.max(now - self.cold_start.warm_up) {
            (route.started_at, route.cold, route.recovered_at) =
                (entry.started_at, true, Some(entry.started_at.min(now)));
            let scope = Self::limit_scope(&entry.endpoint.into(), &self.routes[entry.endpoint]);
            self.stagger_cold_calls(&scope, false);
        }
    }

    /// Adds the route to an endpoint that is not known.
    fn add_route(&mut self, entry: &ListedEndpoint) {
        let (max_batch, independent) =
            self.destination_kinds.get(entry.destination_kind).copied().unwrap_or((1, false));
        let endpoint: Name = entry.endpoint.into();
        self.endpoints.entry(entry.destination).or_default().push(endpoint.clone());
        let (zone, destination_kind, destination) =
            (entry.zone.into(), entry.destination_kind.into(), entry.destination);
        let (last_answer_at, last_used_at, window) = (self.now, self.now, self.initial_window());
        let mut route = Route {
            destination,
            destination_kind,
            zone,
            max_batch,
            independent,
            window,
            last_answer_at,
            last_used_at,
            ..Route::default()
        };
        route.zone_cost = self.zone_costs.get(&route.zone).copied().unwrap_or(0.0);
        (route.tail_latency, route.health_score) =
            (Self::tail_latency(&route.samples), Self::health_score(&route.samples));
        self.routes.insert(endpoint.clone(), route);
        self.recall_outage(&endpoint);
    }

    /// Removes the route to an endpoint, and what only that endpoint's scope knows.
    fn remove_route(&mut self, endpoint: &Name) {
        let Some(route) = self.routes.remove(endpoint) else { return };
        self.endpoints.entry(route.destination).or_default().retain(|other| other != endpoint);
        self.unneeded_connections.set(&route.destination_kind, endpoint, [false; 2]);
        if self.current_routes.get(&route.destination) == Some(endpoint) {
            self.current_routes.remove(&route.destination);
        }
        self.pending.changed.insert(route.destination);
        let scope = (route.destination, Some(endpoint.clone()));
        if self.rate_limiters.get(&scope).is_some_and(|limiter| limiter.wait_until <= self.now) {
            self.rate_limiters.remove(&scope);
        }
        self.changed_scopes.insert(scope);
    }

    /// An endpoint has another destination, zone or kind, and calls that began before are in flight: they end
    /// as at an endpoint that is gone, and no other begins until then.
    fn postpone_move(&mut self, endpoint: Name, entry: &ListedEndpoint) {
        if let Some(route) = self.routes.get_mut(&endpoint) {
            route.ready = false;
            self.pending.changed.insert(route.destination);
        }
        self.moved_endpoints.insert(endpoint, MovedEndpoint::new(entry));
    }

    /// Replaces the routes of moved endpoints whose calls have ended.
    pub(super) fn apply_moved_endpoints(&mut self) {
        while let Some(endpoint) = self.moved_endpoint_without_calls()
            && let Some(moved) = self.moved_endpoints.remove(&endpoint)
        {
            self.apply_entry(&moved.entry(&endpoint));
        }
    }

    fn moved_endpoint_without_calls(&self) -> Option<Name> {
        let has_calls =
            |endpoint: &Name| self.routes.get(endpoint).is_some_and(|route| !route.calls.is_empty());
        self.moved_endpoints.keys().find(|endpoint| !has_calls(endpoint)).cloned()
    }

    /// Whether a request for the watch on the endpoint list is due.
    pub(super) fn watch_due(&self) -> Option<RuleTarget> {
        (self.list_watch.required && !self.list_watch.active && self.now >= self.list_watch.request_at)
            .then_some(RuleTarget::Any)
    }

    /// A random delay before a request, as the list service refuses many at once: 20 requests per second from
    /// all senders, but within half of the allowed interval.
    pub(super) fn list_request_delay(&mut self) -> f64 {
        self.rng.next_f64() * (0.05 * (self.sender_count - 1.0)).min(self.list_watch.max_interval / 2.0)
    }

    /// Requests the watch on the endpoint list.
    pub(super) fn request_list(&mut self, _: RuleTarget, actions: &mut dyn ActionSink) {
        actions.watch_list(true);
        // Without any answer, the next request is due well within the allowed interval.
        self.list_watch.request_at = self.now + self.list_watch.max_interval / 3.0;
    }

    /// A route that was unused for long enough to forget it, if the periodic check is due.
    pub(super) fn unused_route(&self) -> Option<RuleTarget> {
        if self.now < self.unused_routes.next_check_at {
            return None;
        }
        // A route with calls in flight is in use.
        let unused = |route: &Route| {
            route.calls.is_empty()
                && route.last_used_at + ROUTE_MEMORY_SECS < self.now
                && !(route.ready && route.samples.is_empty())
        };
        let found =
            self.unused_routes.due.iter().find(|endpoint| self.routes.get(*endpoint).is_some_and(unused));
        found.cloned().map(RuleTarget::Route).or(Some(RuleTarget::Any))
    }

    /// Resets an unused route that is listed as ready and removes any other. Without a route, ends the
    /// periodic check.
    pub(super) fn forget_route(&mut self, target: RuleTarget, _: &mut dyn ActionSink) {
        let RuleTarget::Route(endpoint) = target else {
            self.unused_routes.next_check_at = self.now + 5.0;
            self.unused_routes.due.clear();
            self.key_cooldown_until.retain(|_, cooldown_until| *cooldown_until + 1.0 > self.now);
            return;
        };
        let initial_window = self.initial_window();
        self.pending.changed.extend(self.routes.get(&endpoint).map(|route| route.destination));
        if let Some(route) = self.routes.get_mut(&endpoint).filter(|route| route.ready) {
            route.samples.clear();
            (route.tail_latency, route.health_score) =
                (Self::tail_latency(&route.samples), Self::health_score(&route.samples));
            (route.consecutive_failures, route.circuit_open, route.window) = (0, false, initial_window);
        } else {
            self.remove_route(&endpoint);
        }
    }
}

/// Whether an entry of the list is about the endpoint that a route leads to, rather than another one under its
/// name.
fn is_same_endpoint(route: &Route, entry: &ListedEndpoint) -> bool {
    route.destination == entry.destination
        && *route.zone == *entry.zone
        && *route.destination_kind == *entry.destination_kind
}
