//! The connection over which the platform is notified of final answers.

use super::Driver;
use super::connection::{CloseReason, Peer, ReadResult, has_no_input};
use super::timers::Timer;
use crate::notices;

impl Driver {
    /// Sends the next notice, over the open connection or a new one.
    pub(super) fn send_notice(&mut self) {
        if let Some(id) = self.notice_connection
            && self.connections.get(&id).is_some_and(|connection| !has_no_input(&connection.stream))
        {
            self.close(id, CloseReason::Stale);
        }
        let id = match self.notice_connection {
            Some(id) => Ok(id),
            None => self.connect(self.discovery, Peer::Notices),
        };
        let Ok(id) = id else { return self.notices_failed(CloseReason::NotConnected) };
        self.notice_connection = Some(id);
        let request = self.bridge.next_notice(&self.discovery);
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.output, connection.written_bytes) = (request, 0);
            let is_up = connection.is_up;
            self.set_deadline(id, self.now + notices::ACK_TIMEOUT_SECS);
            if is_up {
                self.notices_ready(id);
            }
        }
    }

    /// Writes the notice and reads its acknowledgement.
    pub(super) fn notices_ready(&mut self, id: usize) {
        if !self.flush(id) {
            return self.notices_failed(CloseReason::PeerReset);
        }
        match self.read(id) {
            ReadResult::WouldBlock => {}
            ReadResult::Closed(reason) => self.notices_failed(reason),
            ReadResult::Bytes(count) => match self.bridge.notices.feed(&self.read_buffer[..count]) {
                Ok(None) => _ = self.still_ready.insert(id),
                Ok(Some((acknowledged, keep_alive))) => {
                    self.bridge.notices_acknowledged(&acknowledged);
                    self.set_deadline(id, f64::INFINITY);
                    if !keep_alive {
                        self.close(id, CloseReason::Completed);
                    }
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
        self.bridge.notices.connection_lost();
        self.next_notice_at = self.now + notices::RETRY_DELAY_SECS;
        self.set_timer(self.next_notice_at, Timer::Notices);
    }
}
