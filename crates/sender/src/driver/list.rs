//! The connection on which the platform tells its list of endpoints.

use super::connection::{Peer, ReadResult, Reason};
use super::timers::Timer;
use super::{Driver, READS_PER_TURN};
use crate::list::ListError;
use tracing::debug;

/// Between two tries to reach the platform's list.
const LIST_RETRY_PAUSE: f64 = 0.1;

impl Driver {
    /// Opens the connection and asks for the list.
    pub(super) fn open_list(&mut self) {
        match self.connect(self.discovery, Peer::List) {
            Ok(id) => {
                self.list_connection = Some(id);
                self.request_list(id);
            }
            Err(_) => self.list_failed(Reason::NotUp),
        }
    }

    /// Puts the next request for the list on the connection.
    fn request_list(&mut self, id: usize) {
        let (call, patience) = self.list.call(&self.discovery);
        debug!(code = "list-call", version = self.list.version(), "the list is asked for");
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.out, connection.sent) = (call, 0);
        }
        self.set_deadline(id, self.now + patience);
    }

    /// Reads the list or what changed in it.
    pub(super) fn list_ready(&mut self, id: usize) {
        if !self.flush(id) {
            return self.list_failed(Reason::PeerReset);
        }
        for _ in 0..READS_PER_TURN {
            let count = match self.read(id) {
                ReadResult::Bytes(count) => count,
                ReadResult::Nothing => return,
                ReadResult::End(reason) => return self.list_failed(reason),
            };
            match self.list.feed(&self.read_buffer[..count]) {
                Ok(None) => {}
                Ok(Some((news, keep))) => {
                    self.bridge.update_list(self.now, &news, false);
                    if !keep {
                        self.close(id, Reason::Answered);
                        return self.open_list();
                    }
                    // At once: a watch stands only as long as the next call follows soon.
                    self.request_list(id);
                    if !self.flush(id) {
                        return self.list_failed(Reason::PeerReset);
                    }
                }
                Err(ListError::Refused) => return self.list_failed(Reason::Refused),
                Err(ListError::InvalidResponse) => return self.list_failed(Reason::BadMessage),
            }
        }
        self.ready_again.insert(id);
    }

    /// The list could not be had. It is asked for again at once, after a pause, or when the module says so.
    pub(super) fn list_failed(&mut self, reason: Reason) {
        if let Some(id) = self.list_connection {
            self.close(id, reason);
        }
        if reason == Reason::Refused {
            self.list.refused();
        } else if self.list.broken() {
            return self.open_list();
        }
        self.list_wanted = false;
        if self.bridge.config().pulls_list() {
            self.bridge.list_unavailable(self.now);
        } else {
            self.set_timer(self.now + LIST_RETRY_PAUSE, Timer::List);
        }
    }
}
