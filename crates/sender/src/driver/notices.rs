//! The connection on which the platform is sent notices of final answers.

use super::Driver;
use super::connection::{Got, Peer, Reason, is_quiet};
use super::timers::Due;
use crate::notices;

impl Driver {
    pub(super) fn send_notice(&mut self) {
        if let Some(link) = self.notice_link
            && self.links.get(&link).is_some_and(|l| !is_quiet(&l.stream))
        {
            self.close(link, Reason::Stale);
        }
        let link = match self.notice_link {
            Some(link) => Ok(link),
            None => self.connect(self.discovery, Peer::Notices),
        };
        let Ok(link) = link else { return self.notices_broke(Reason::NotUp) };
        self.notice_link = Some(link);
        let call = self.bridge.notice(&self.discovery);
        if let Some(l) = self.links.get_mut(&link) {
            (l.out, l.sent) = (call, 0);
            let up = l.up;
            self.set_due(link, self.now + notices::PATIENCE);
            if up {
                self.notices_ready(link);
            }
        }
    }

    pub(super) fn notices_ready(&mut self, link: usize) {
        if !self.flush(link) {
            return self.notices_broke(Reason::PeerReset);
        }
        match self.read(link) {
            Got::Nothing => {}
            Got::End(reason) => self.notices_broke(reason),
            Got::Bytes(count) => match self.bridge.notices.feed(&self.scratch[..count]) {
                Ok(None) => _ = self.again.insert(link),
                Ok(Some((told, keep))) => {
                    self.bridge.told(&told);
                    self.set_due(link, f64::INFINITY);
                    if !keep {
                        self.close(link, Reason::Answered);
                    }
                }
                Err(_) => self.notices_broke(Reason::BadMessage),
            },
        }
    }

    pub(super) fn notices_broke(&mut self, reason: Reason) {
        if let Some(link) = self.notice_link {
            self.close(link, reason);
        }
        self.bridge.notices.broken();
        self.notice_at = self.now + notices::PAUSE;
        self.at(self.notice_at, Due::Notices);
    }
}
