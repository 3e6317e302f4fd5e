//! The connection on which the platform is sent notices of final answers.

use super::Driver;
use super::connection::{Peer, ReadResult, Reason, nothing_to_read};
use super::timers::Timer;
use crate::notices;

impl Driver {
    /// Sends what is owed, over the connection that is there or a new one.
    pub(super) fn send_notice(&mut self) {
        if let Some(id) = self.notice_connection
            && self.connections.get(&id).is_some_and(|connection| !nothing_to_read(&connection.stream))
        {
            self.close(id, Reason::Stale);
        }
        let id = match self.notice_connection {
            Some(id) => Ok(id),
            None => self.connect(self.discovery, Peer::Notices),
        };
        let Ok(id) = id else { return self.notices_failed(Reason::NotUp) };
        self.notice_connection = Some(id);
        let call = self.bridge.next_notice(&self.discovery);
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.out, connection.sent) = (call, 0);
            let up = connection.up;
            self.set_deadline(id, self.now + notices::ACK_TIMEOUT_SECS);
            if up {
                self.notices_ready(id);
            }
        }
    }

    /// Writes the notice and reads its acknowledgement.
    pub(super) fn notices_ready(&mut self, id: usize) {
        if !self.flush(id) {
            return self.notices_failed(Reason::PeerReset);
        }
        match self.read(id) {
            ReadResult::Nothing => {}
            ReadResult::End(reason) => self.notices_failed(reason),
            ReadResult::Bytes(count) => match self.bridge.notices.feed(&self.read_buffer[..count]) {
                Ok(None) => _ = self.ready_again.insert(id),
                Ok(Some((acknowledged, keep))) => {
                    self.bridge.notices_acknowledged(&acknowledged);
                    self.set_deadline(id, f64::INFINITY);
                    if !keep {
                        self.close(id, Reason::Answered);
                    }
                }
                Err(_) => self.notices_failed(Reason::BadMessage),
            },
        }
    }

    /// The notice was not acknowledged: it is sent again after a pause.
    pub(super) fn notices_failed(&mut self, reason: Reason) {
        if let Some(id) = self.notice_connection {
            self.close(id, reason);
        }
        self.bridge.notices.connection_lost();
        self.notice_at = self.now + notices::RETRY_DELAY_SECS;
        self.set_timer(self.notice_at, Timer::Notices);
    }
}
