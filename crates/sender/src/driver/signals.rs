//! Signals: SIGTERM and SIGINT end the process in order, SIGHUP has the configuration read again.

use super::Driver;
use super::budgets::{most_buffered, most_links};
use super::clients::{HUSH, SLOW_CLIENT};
use super::connection::{Peer, Reason};
use super::timers::Due;
use crate::clients::{Reply, Stage};
use mio::net::UnixStream;
use std::io::{self, Read};
use tracing::{info, warn};

/// From SIGTERM to the end: the platform kills after 3.7 s.
const CLOSING: f64 = 3.3;
/// New connections keep coming for up to 0.4 s after SIGTERM.
const STILL_COMING: f64 = 0.6;
/// So long before the end, whoever is still there is told that nothing more is taken on, and the connection is shut.
pub(super) const LAST_CALL: f64 = 0.2;

/// The end of a pipe from which the signals can be read.
pub(super) fn signals(numbers: &[i32]) -> io::Result<UnixStream> {
    let (write, read) = UnixStream::pair()?;
    let write = std::os::fd::OwnedFd::from(write);
    for number in numbers {
        signal_hook::low_level::pipe::register(*number, write.try_clone()?)?;
    }
    Ok(read)
}

impl Driver {
    pub(super) fn signalled(&mut self) {
        while matches!(self.signals.read(&mut [0; 64]), Ok(count) if count > 0) {}
        if self.closing.is_some() {
            return;
        }
        let end = self.now + CLOSING;
        self.closing = Some(end);
        info!(code = "closing", "no further use of connections");
        self.bridge.closing(self.now, end);
        self.at(self.now + STILL_COMING, Due::Exit);
        let clients = self.links.iter_mut().filter_map(|(link, l)| match &mut l.peer {
            Peer::Client(client) => {
                // Who has connected this moment is about to ask, as those are who come after the signal.
                client.fresh &= self.now <= l.due - SLOW_CLIENT + HUSH;
                Some(*link)
            }
            _ => None,
        });
        // A request that has come already is answered before its connection ends.
        self.again.extend(clients);
    }

    /// Nothing more is taken on, and every client hears of it before the process ends.
    pub(super) fn last_call(&mut self) {
        self.takes = false;
        for link in self.links.keys().copied().collect::<Vec<_>>() {
            match self.links.get(&link).map(|l| &l.peer) {
                Some(Peer::Client(c)) if c.stage == Stage::Idle => self.end_client(link, Reason::Closing),
                Some(Peer::Client(c)) if c.stage == Stage::Reading => {
                    self.turn_away(link, Reply::NoRoom);
                    self.client_ready(link);
                }
                _ => {}
            }
        }
    }

    pub(super) fn exit(&mut self) -> bool {
        let links: Vec<usize> = self.links.keys().copied().collect();
        for link in links {
            // An answer that has come already counts.
            let peer = self.links.get(&link).map(|l| &l.peer);
            if matches!(peer, Some(Peer::Endpoint(line)) if line.call.is_some()) {
                self.endpoint_ready(link);
            }
            self.close(link, Reason::Closing);
        }
        info!(code = "ended", "asked to end");
        true
    }

    /// The configuration's file is read again. A faulty one changes nothing.
    pub(super) fn reread(&mut self) {
        while matches!(self.hang_ups.read(&mut [0; 64]), Ok(count) if count > 0) {}
        let config = match self.bridge.config().reread(&self.path) {
            Ok(config) => config,
            Err(why) => return warn!(code = "config-kept", why, "the configuration stays as it was"),
        };
        (self.most_clients, self.most_lines) = most_links(&config.limits);
        self.most_buffered = most_buffered(&config.limits);
        let moved = std::mem::replace(&mut self.discovery, config.discovery) != config.discovery;
        info!(code = "config-read", discovery = %config.discovery, moved, "the configuration was read again");
        self.bridge.reread(config);
        if moved {
            // Both are taken up again at the new address when the turn ends, whatever pause the old one was given.
            self.list.moved();
            self.list_wanted = true;
            if let Some(link) = self.list_link {
                self.close(link, Reason::Moved);
            }
            self.bridge.notices.broken();
            self.notice_at = self.now;
            if let Some(link) = self.notice_link {
                self.close(link, Reason::Moved);
            }
        }
    }
}
