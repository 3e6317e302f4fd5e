//! The connection over which the platform is notified of final answers. Each notice has one of its own: on a
//! connection that carried a notice before, a second copy of its acknowledgement cannot be told from that of
//! the next notice.

use super::Driver;
use super::connection::{CloseReason, Peer, ReadResult, input_before_request};
use super::timers::Timer;
use crate::notices;

impl Driver {
    /// Sends the next notice over a new connection.
    pub(super) fn send_notice(&mut self) {
        let Ok(id) = self.connect(self.discovery, Peer::Notices) else {
            return self.notices_failed(CloseReason::NotConnected);
        };
        self.notice_connection = Some(id);
        let request = self.bridge.next_notice(&self.discovery);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.output = request;
        }
        self.set_deadline(id, self.now + notices::ACK_TIMEOUT_SECS);
    }

    /// Writes the notice and reads its acknowledgement.
    pub(super) fn notices_ready(&mut self, id: usize) {
        let Some(connection) = self.connections.get(&id) else { return };
        // What comes before the end of the notice does not acknowledge it.
        let is_written = connection.output.is_empty();
        if let Some(reason) = input_before_request(&connection.stream).filter(|_| !is_written) {
            return self.notices_failed(reason);
        }
        if !self.flush(id) {
            return self.notices_failed(CloseReason::PeerReset);
        }
        match self.read(id) {
            ReadResult::WouldBlock => {}
            ReadResult::Closed(reason) => self.notices_failed(reason),
            ReadResult::Bytes(count) => match self.bridge.notices.feed(&self.read_buffer[..count]) {
                Ok(None) => _ = self.still_ready.insert(id),
                Ok(Some(acknowledged)) => {
                    self.bridge.notices_acknowledged(&acknowledged);
                    self.bridge.notices.connection_closed();
                    self.close(id, CloseReason::Completed);
                }
                Err(_) => self.notices_failed(CloseReason::InvalidMessage),
            },
        }
    }

    /// Handles a notice that was not acknowledged: it is sent again after a pause.
    pub(super) fn notices_failed(&mut self, reason: CloseReason) {
        if let Some(id) = self.notice_connection {
            self.close(id, reason);
        }
        self.bridge.notices.connection_closed();
        self.next_notice_at = self.now + notices::RETRY_DELAY_SECS;
        self.set_timer(self.next_notice_at, Timer::Notices);
    }
}
