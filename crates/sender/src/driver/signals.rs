//! Signals: SIGTERM and SIGINT end the process in order, SIGHUP has the configuration read again.

use super::Driver;
use super::budgets::{max_buffered, max_connections};
use super::clients::{REQUEST_TIMEOUT, SILENT_CLIENT};
use super::connection::{Peer, Reason};
use super::timers::Timer;
use crate::clients::{Reply, Stage};
use mio::net::UnixStream;
use std::io::{self, Read};
use tracing::{info, warn};

/// From SIGTERM to the end: the platform kills after 3.7 s.
const SHUTDOWN_TIMEOUT: f64 = 3.3;
/// New connections keep coming for up to 0.4 s after SIGTERM.
const SHUTDOWN_MIN: f64 = 0.6;
/// So long before the end, whoever is still there is told that nothing more is taken on, and the connection is shut.
pub(super) const FINAL_REFUSAL: f64 = 0.2;

/// The end of a pipe from which the signals can be read.
pub(super) fn signal_pipe(numbers: &[i32]) -> io::Result<UnixStream> {
    let (write, read) = UnixStream::pair()?;
    let write = std::os::fd::OwnedFd::from(write);
    for number in numbers {
        signal_hook::low_level::pipe::register(*number, write.try_clone()?)?;
    }
    Ok(read)
}

impl Driver {
    /// The process was asked to end: it goes on for a while, so that requests and calls on their way are answered.
    pub(super) fn begin_shutdown(&mut self) {
        while matches!(self.shutdown_signals.read(&mut [0; 64]), Ok(count) if count > 0) {}
        if self.closing.is_some() {
            return;
        }
        let end = self.now + SHUTDOWN_TIMEOUT;
        self.closing = Some(end);
        info!(code = "closing", "no further use of connections");
        self.bridge.begin_shutdown(self.now, end);
        self.set_timer(self.now + SHUTDOWN_MIN, Timer::Exit);
        let clients = self.connections.iter_mut().filter_map(|(id, connection)| match &mut connection.peer {
            Peer::Client(client) => {
                // Who has connected this moment is about to ask, as those are who come after the signal.
                client.fresh &= self.now <= connection.deadline - REQUEST_TIMEOUT + SILENT_CLIENT;
                Some(*id)
            }
            _ => None,
        });
        // A request that has come already is answered before its connection ends.
        self.ready_again.extend(clients);
    }

    /// Nothing more is taken on, and every client hears of it before the process ends.
    pub(super) fn refuse_remaining_clients(&mut self) {
        self.accepts_webhooks = false;
        for id in self.connections.keys().copied().collect::<Vec<_>>() {
            match self.connections.get(&id).map(|connection| &connection.peer) {
                Some(Peer::Client(c)) if c.stage == Stage::Idle => self.end_client(id, Reason::Closing),
                Some(Peer::Client(c)) if c.stage == Stage::Reading => {
                    self.refuse_client(id, Reply::Unavailable);
                    self.client_ready(id);
                }
                _ => {}
            }
        }
    }

    /// Closes all connections. True: the process ends.
    pub(super) fn finish_shutdown(&mut self) -> bool {
        let connections: Vec<usize> = self.connections.keys().copied().collect();
        for id in connections {
            // An answer that has come already counts.
            let peer = self.connections.get(&id).map(|connection| &connection.peer);
            if matches!(peer, Some(Peer::Endpoint(endpoint)) if endpoint.call.is_some()) {
                self.endpoint_ready(id);
            }
            self.close(id, Reason::Closing);
        }
        info!(code = "ended", "asked to end");
        true
    }

    /// The configuration's file is read again. A faulty one changes nothing.
    pub(super) fn reload_config(&mut self) {
        while matches!(self.reload_signals.read(&mut [0; 64]), Ok(count) if count > 0) {}
        let config = match self.bridge.config().reload(&self.path) {
            Ok(config) => config,
            Err(why) => return warn!(code = "config-kept", why, "the configuration stays as it was"),
        };
        (self.max_clients, self.max_endpoints) = max_connections(&config.limits);
        self.max_buffered = max_buffered(&config.limits);
        let moved = std::mem::replace(&mut self.discovery, config.discovery) != config.discovery;
        info!(code = "config-read", discovery = %config.discovery, moved, "the configuration was read again");
        self.bridge.apply_config(config);
        if moved {
            // Both are taken up again at the new address when the turn ends, whatever pause the old one was given.
            self.list.moved();
            self.list_wanted = true;
            if let Some(id) = self.list_connection {
                self.close(id, Reason::Moved);
            }
            self.bridge.notices.connection_lost();
            self.notice_at = self.now;
            if let Some(id) = self.notice_connection {
                self.close(id, Reason::Moved);
            }
        }
    }
}
