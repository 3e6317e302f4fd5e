//! The connection on which the platform tells its list of endpoints.

use super::connection::{Got, Peer, Reason};
use super::timers::Due;
use super::{Driver, STEPS};
use crate::list::NoList;
use tracing::debug;

/// Between two tries to reach the platform's list.
const LIST_PAUSE: f64 = 0.1;

impl Driver {
    pub(super) fn open_list(&mut self) {
        match self.connect(self.discovery, Peer::List) {
            Ok(link) => {
                self.list_link = Some(link);
                self.call_list(link);
            }
            Err(_) => self.list_broke(Reason::NotUp),
        }
    }

    fn call_list(&mut self, link: usize) {
        let (call, patience) = self.list.call(&self.discovery);
        debug!(code = "list-call", version = self.list.version(), "the list is asked for");
        if let Some(l) = self.links.get_mut(&link) {
            (l.out, l.sent) = (call, 0);
        }
        self.set_due(link, self.now + patience);
    }

    pub(super) fn list_ready(&mut self, link: usize) {
        if !self.flush(link) {
            return self.list_broke(Reason::PeerReset);
        }
        for _ in 0..STEPS {
            let count = match self.read(link) {
                Got::Bytes(count) => count,
                Got::Nothing => return,
                Got::End(reason) => return self.list_broke(reason),
            };
            match self.list.feed(&self.scratch[..count]) {
                Ok(None) => {}
                Ok(Some((news, keep))) => {
                    self.bridge.list(self.now, &news, false);
                    if !keep {
                        self.close(link, Reason::Answered);
                        return self.open_list();
                    }
                    // At once: a watch stands only as long as the next call follows soon.
                    self.call_list(link);
                    if !self.flush(link) {
                        return self.list_broke(Reason::PeerReset);
                    }
                }
                Err(NoList::Refused) => return self.list_broke(Reason::Refused),
                Err(NoList::Garbage) => return self.list_broke(Reason::BadMessage),
            }
        }
        self.again.insert(link);
    }

    pub(super) fn list_broke(&mut self, reason: Reason) {
        if let Some(link) = self.list_link {
            self.close(link, reason);
        }
        if reason == Reason::Refused {
            self.list.refused();
        } else if self.list.broken() {
            return self.open_list();
        }
        self.list_wanted = false;
        if self.bridge.config().asks() {
            self.bridge.no_list(self.now);
        } else {
            self.at(self.now + LIST_PAUSE, Due::List);
        }
    }
}
