//! Budgets: how many descriptors clients and endpoints may use, and how much memory unfinished messages may take.

use super::Driver;
use super::connection::{Connection, Peer};
use crate::config::Limits;

/// Descriptors that are neither clients' nor endpoints': standard streams, poll and listener, pipes of three signals,
/// the journal's file and the one that takes its place, the configuration's file, list and notices.
const OWN_DESCRIPTORS: usize = 3 + 2 + 5 + 2 + 1 + 2 + FOREIGN_DESCRIPTORS;
/// What the system or a library loaded into the process may hold.
const FOREIGN_DESCRIPTORS: usize = 5;
/// Part of the memory for what clients have sent of unfinished requests, and as much for unfinished answers.
const BUFFER_SHARE: f64 = 0.2;
/// A peer whose unfinished message takes no more is let go on in any case: all descriptors together need little then.
pub(super) const SMALL_BUFFER: usize = 16 * 1024;

/// Connections of clients and of endpoints at most: what is told, and what the system allows if that is less.
pub(super) fn max_connections(limits: &Limits) -> (usize, usize) {
    let system = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = system.lines().find_map(|text| text.strip_prefix("Max open files"));
    let allowed = line.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(usize::MAX);
    // Two of each at least: with less nothing can be served.
    let most = limits.max_descriptors.min(allowed).saturating_sub(OWN_DESCRIPTORS).max(4);
    (most - most / 2, most / 2)
}

/// Bytes of unfinished messages at most, from clients or from endpoints.
pub(super) fn max_buffered(limits: &Limits) -> usize {
    limits.memory_mb.map_or(usize::MAX, |mb| (mb * 1e6 * BUFFER_SHARE) as usize)
}

impl Driver {
    /// Unfinished messages of clients, or of endpoints, take up all that they may.
    pub(super) fn buffers_full(&self, of_clients: bool) -> bool {
        let held = |connection: &Connection| match &connection.peer {
            Peer::Client(client) if of_clients => client.held(),
            Peer::Endpoint(endpoint) if !of_clients => endpoint.decoder.buffered_bytes(),
            _ => 0,
        };
        self.connections.values().map(held).sum::<usize>() > self.max_buffered
    }
}
