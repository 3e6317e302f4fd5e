//! What outlives a restart: outages that this sender saw, and requested waits. A process that does not know
//! them calls a destination at once that its predecessor was careful with.

use super::*;

/// A wait that ends this soon is over before the next process can call.
const SHORTEST_STORED_WAIT_SECS: f64 = 0.1;

impl RuleEngine {
    /// Stores the outage and the wait of each scope where they changed.
    pub(super) fn store_memories(&mut self, actions: &mut dyn ActionSink) {
        while let Some(scope) = self.changed_scopes.pop_first() {
            let memory = self.memory_of(&scope);
            let current = Some(memory.clone()).filter(|memory| !memory.is_over(self.now));
            // Of a scope that was forgotten it is not known what is stored.
            if let Some(limiter) = self.rate_limiters.get_mut(&scope) {
                if limiter.stored == current {
                    continue;
                }
                limiter.stored = current;
            }
            actions.store_memory(memory);
        }
    }

    fn memory_of(&self, scope: &LimitScope) -> ScopeMemory {
        let wait_until = self.rate_limiters.get(scope).map_or(0.0, |limiter| limiter.wait_until);
        let lasts = wait_until > self.now + SHORTEST_STORED_WAIT_SECS;
        let cold_routes = || self.routes_in(scope).map(|(_, route)| route).filter(|route| route.cold);
        // The latest recovery is the most careful.
        let outage = if cold_routes().any(|route| route.recovered_at.is_none()) {
            Some(RememberedOutage::Down)
        } else {
            let recovered_at = cold_routes().filter_map(|route| route.recovered_at);
            recovered_at.max_by(f64::total_cmp).map(RememberedOutage::Recovering)
        };
        ScopeMemory {
            destination: scope.0,
            endpoint: scope.1.as_deref().map(str::to_owned),
            wait_until: if lasts { wait_until } else { 0.0 },
            outage,
        }
    }

    /// Restores what the process before this one stored of a scope.
    pub fn remember(&mut self, now: f64, memory: &ScopeMemory) {
        self.now = now;
        let scope = (memory.destination, memory.endpoint.as_deref().map(Name::from));
        let limiter = self.rate_limiters.entry(scope.clone()).or_default();
        limiter.wait_until = limiter.wait_until.max(memory.wait_until);
        limiter.stored = Some(memory.clone());
        if let Some(outage) = memory.outage {
            self.remembered_outages.insert(scope.clone(), outage);
        }
        self.changed_scopes.insert(scope);
    }

    /// Attempts of the process before this one were not delivered, so the destination may be in an outage.
    pub(super) fn suspect_outage(&mut self, destination: u64) {
        let endpoints = self.endpoints.get(&destination).cloned().unwrap_or_default();
        for endpoint in endpoints {
            if let Some(route) = self.routes.get(&endpoint).filter(|route| !route.cold) {
                let scope = Self::limit_scope(&endpoint, route);
                self.mark_cold(&scope, f64::NEG_INFINITY);
            }
        }
    }

    /// Marks a route that is listed for the first time as its scope is remembered.
    pub(super) fn recall_outage(&mut self, endpoint: &Name) {
        let Some(route) = self.routes.get_mut(endpoint) else { return };
        let scope = Self::limit_scope(endpoint, route);
        let recovered_at = match self.remembered_outages.get(&scope) {
            None => return,
            Some(RememberedOutage::Down) => None,
            Some(RememberedOutage::Recovering(since)) => Some(*since),
        };
        if recovered_at.is_none_or(|since| self.now - since <= self.cold_start.warm_up) {
            (route.cold, route.recovered_at, route.failing_since) = (true, recovered_at, self.now);
        }
        self.changed_scopes.insert(scope);
    }
}
