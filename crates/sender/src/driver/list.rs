//! The connection over which the platform's endpoint list is requested and received.

use super::connection::{CloseReason, Peer, ReadResult};
use super::timers::Timer;
use super::{Driver, READS_PER_ITERATION};
use crate::list::ListError;
use tracing::debug;

/// Pause after a failed list request where lists are pushed.
const LIST_RETRY_DELAY_SECS: f64 = 0.1;

impl Driver {
    /// Opens the connection and requests the list.
    pub(super) fn connect_list(&mut self) {
        match self.connect(self.discovery, Peer::List) {
            Ok(id) => {
                self.list_connection = Some(id);
                self.list_client.connection_opened();
                self.request_list(id);
            }
            Err(_) => self.list_failed(CloseReason::NotConnected),
        }
    }

    /// Queues the next list request on the connection.
    fn request_list(&mut self, id: usize) {
        let (request, timeout_secs) = self.list_client.next_request(&self.discovery);
        debug!(
            code = "list-call",
            version = self.list_client.known_version(),
            "requesting the endpoint list"
        );
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.output, connection.written_bytes) = (request, 0);
        }
        self.set_deadline(id, self.now + timeout_secs);
    }

    /// Reads a list, or the changes to it.
    pub(super) fn list_ready(&mut self, id: usize) {
        if !self.flush(id) {
            return self.list_failed(CloseReason::PeerReset);
        }
        for _ in 0..READS_PER_ITERATION {
            let count = match self.read(id) {
                ReadResult::Bytes(count) => count,
                ReadResult::WouldBlock => return,
                ReadResult::Closed(reason) => return self.list_failed(reason),
            };
            match self.list_client.feed(&self.read_buffer[..count]) {
                Ok(None) => {}
                Ok(Some((update, keep_alive))) => {
                    self.bridge.update_list(self.now, &update, false);
                    if !keep_alive {
                        self.close(id, CloseReason::Completed);
                        return self.connect_list();
                    }
                    // Written at once: a watch lasts only if the next request follows soon.
                    self.request_list(id);
                    if !self.flush(id) {
                        return self.list_failed(CloseReason::PeerReset);
                    }
                }
                Err(ListError::Refused) => return self.list_failed(CloseReason::Refused),
                Err(ListError::InvalidResponse) => return self.list_failed(CloseReason::InvalidMessage),
            }
        }
        self.still_ready.insert(id);
    }

    /// Handles a failed list request. It is repeated at once, after a pause, or when the decision module asks
    /// for it.
    pub(super) fn list_failed(&mut self, reason: CloseReason) {
        if let Some(id) = self.list_connection {
            self.close(id, reason);
        }
        if reason == CloseReason::Refused {
            self.list_client.request_refused();
        } else if self.list_client.connection_lost() {
            return self.connect_list();
        }
        self.list_wanted = false;
        if self.bridge.config().pulls_list() {
            self.bridge.list_unavailable(self.now);
        } else {
            self.set_timer(self.now + LIST_RETRY_DELAY_SECS, Timer::List);
        }
    }
}
