//! Resource limits: how many descriptors clients and endpoints may use, and how much memory incomplete
//! messages may take.

use super::Driver;
use super::connection::{Connection, Peer};
use crate::config::Limits;

/// Descriptors used for neither clients nor endpoints: standard streams, poll and listener, pipes of three
/// signals, the journal's file and the one that replaces it, the lock on their folder, the configuration file,
/// list and notices.
const RESERVED_DESCRIPTORS: usize = 3 + 2 + 5 + 2 + 1 + 1 + 2 + LIBRARY_DESCRIPTORS;
/// Descriptors that the system or a library loaded into the process may hold.
const LIBRARY_DESCRIPTORS: usize = 4;
/// Share of the memory limit for incomplete requests of clients, and as much again for incomplete responses.
const BUFFER_MEMORY_SHARE: f64 = 0.2;
/// An incomplete message of up to this size is always allowed: on all descriptors together such messages take
/// little memory.
pub(super) const SMALL_BUFFER_BYTES: usize = 16 * 1024;

/// The maximum numbers of connections of clients and to endpoints: from the configured limit, or from that of
/// the system if it is lower.
pub(super) fn max_connections(limits: &Limits) -> (usize, usize) {
    let proc_limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let open_files = proc_limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    let system_limit =
        open_files.and_then(|fields| fields.split_whitespace().next()?.parse().ok()).unwrap_or(usize::MAX);
    // At least two of each: a sender cannot work with fewer.
    let max_total = limits.max_descriptors.min(system_limit).saturating_sub(RESERVED_DESCRIPTORS).max(4);
    (max_total - max_total / 2, max_total / 2)
}

/// The maximum memory for incomplete messages, in bytes, of clients or of endpoints.
pub(super) fn max_buffered_bytes(limits: &Limits) -> usize {
    limits.memory_mb.map_or(usize::MAX, |megabytes| (megabytes * 1e6 * BUFFER_MEMORY_SHARE) as usize)
}

impl Driver {
    /// True if the incomplete messages of clients, or else of endpoints, exceed their memory limit.
    pub(super) fn buffers_full(&self, of_clients: bool) -> bool {
        let buffered_bytes = |connection: &Connection| match &connection.peer {
            Peer::Client(client) if of_clients => client.buffered_bytes(),
            Peer::Endpoint(endpoint) if !of_clients => endpoint.decoder.buffered_bytes(),
            _ => 0,
        };
        self.connections.values().map(buffered_bytes).sum::<usize>() > self.max_buffered_bytes
    }
}
