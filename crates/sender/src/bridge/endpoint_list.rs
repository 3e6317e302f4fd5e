//! The endpoint list: what the bridge keeps of it, and what the decision module gets.

use super::{Action, Bridge, EndpointInfo};
use crate::clock;
use crate::list::{EndpointEntry, EndpointListUpdate, Health};
use scalebarrow::{ListUpdate, ListedEndpoint};
use std::collections::BTreeSet;
use tracing::debug;

impl Bridge {
    /// Applies a list of endpoints, or changes to it. `remembered` is set for the list of the configuration,
    /// which may be out of date.
    pub fn update_list(&mut self, now: f64, update: &EndpointListUpdate, remembered: bool) {
        let mut listed_endpoints = Vec::new();
        if update.is_complete {
            // Endpoints that left the list are not called again; calls in flight already have their
            // connection.
            let listed: BTreeSet<&str> = update.endpoints.iter().map(|entry| entry.name.as_str()).collect();
            let removed = self.endpoints.extract_if(.., |name, _| !listed.contains(name.as_str()));
            self.requested.actions.extend(removed.map(|(name, _)| Action::CloseIdleConnections(name)));
        }
        for entry in &update.endpoints {
            let Some(destination) = entry.destination else { continue };
            listed_endpoints.push(self.listed_endpoint(now, entry, destination));
            self.keep_endpoint(entry);
        }
        let mode = match (remembered, update.is_complete) {
            (true, _) => ListUpdate::Remembered,
            (false, true) => ListUpdate::Whole,
            (false, false) => ListUpdate::Changes,
        };
        debug!(code = "listed", seq = update.version, ?mode, "the endpoint list is updated");
        self.sender.update_list(now, mode, &listed_endpoints, &mut self.requested);
        self.list_updated_at = now;
        self.apply_final_answers(now);
    }

    /// An entry as the decision module gets it.
    fn listed_endpoint<'a>(
        &self, now: f64, entry: &'a EndpointEntry, destination: u64,
    ) -> ListedEndpoint<'a> {
        let (endpoint, zone, destination_kind) =
            (entry.name.as_str(), entry.zone.as_str(), entry.destination_kind.as_str());
        let rate_limit = entry.rate_limit.filter(|_| self.config.list_has_rates()).unwrap_or(0.0);
        let started_at = self.started_at(now, endpoint, entry.started_unix_ms.unwrap_or(0.0));
        debug!(
            code = "endpoint",
            ep = endpoint,
            dest = destination,
            kind = destination_kind,
            zone,
            rate = rate_limit,
            born = started_at,
            health = ?entry.health,
            "an endpoint is listed"
        );
        let ready = entry.health == Health::Serving;
        ListedEndpoint { endpoint, zone, destination_kind, destination, ready, rate_limit, started_at }
    }

    /// Keeps the address of a listed endpoint. Idle connections to one that is removed or has moved are closed.
    fn keep_endpoint(&mut self, entry: &EndpointEntry) {
        let previous = if entry.health == Health::Deleted {
            self.endpoints.remove(&entry.name);
            None
        } else {
            let info = EndpointInfo {
                address: entry.address,
                zone: entry.zone.clone(),
                max_batch: self.config.max_batch(&entry.destination_kind),
                started_unix_ms: entry.started_unix_ms.unwrap_or(0.0),
            };
            self.endpoints.insert(entry.name.clone(), info)
        };
        let has_moved = previous.is_some_and(|info| info.address != entry.address);
        if has_moved || entry.health == Health::Deleted {
            self.requested.actions.push(Action::CloseIdleConnections(entry.name.clone()));
        }
    }

    /// When an endpoint last started, on this process's clock; 0 for long ago. The list gives it on a wall
    /// clock, and only two things are used of it: whether it differs from the time given before, which means
    /// that the endpoint started since the last update, and its age by the local wall clock. That clock may
    /// be wrong; at worst the endpoint's load ramps up too slowly or too quickly.
    fn started_at(&self, now: f64, endpoint: &str, started_unix_ms: f64) -> f64 {
        if started_unix_ms <= 0.0 {
            return 0.0;
        }
        let started_at = now - clock::wall_clock_age(started_unix_ms / 1e3);
        match self.endpoints.get(endpoint) {
            Some(info) if info.started_unix_ms == started_unix_ms => started_at,
            Some(_) => started_at.max(self.list_updated_at),
            None => started_at,
        }
    }

    /// The list could not be fetched.
    pub fn list_unavailable(&mut self, now: f64) {
        self.sender.update_list(now, ListUpdate::Refused, &[], &mut self.requested);
        self.apply_final_answers(now);
    }
}
