//! Signals: SIGTERM and SIGINT start a graceful shutdown, SIGHUP reloads the configuration.

use super::Driver;
use super::budgets::{max_buffered_bytes, max_connections};
use super::clients::{REQUEST_TIMEOUT_SECS, SILENT_CLIENT_SECS};
use super::connection::{CloseReason, Peer};
use super::timers::Timer;
use crate::clients::{Reply, Stage};
use mio::net::UnixStream;
use std::io::{self, Read};
use tracing::{info, warn};

/// Time from SIGTERM to the exit. The platform kills the process after 3.7 s.
const SHUTDOWN_TIMEOUT_SECS: f64 = 3.3;
/// Minimum time from SIGTERM to the exit, as clients open new connections for up to 0.4 s after it.
const MIN_SHUTDOWN_SECS: f64 = 0.6;
/// How long before the exit the remaining clients are refused and their connections closed.
pub(super) const FINAL_REFUSAL_SECS: f64 = 0.2;

/// The reading end of a pipe that receives a byte for each of these signals.
pub(super) fn signal_pipe(signals: &[i32]) -> io::Result<UnixStream> {
    let (writer, reader) = UnixStream::pair()?;
    let writer = std::os::fd::OwnedFd::from(writer);
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
    }
    Ok(reader)
}

impl Driver {
    /// Starts the shutdown. The process keeps running for a while, so that requests and calls in flight are
    /// answered.
    pub(super) fn begin_shutdown(&mut self) {
        while matches!(self.shutdown_signals.read(&mut [0; 64]), Ok(count) if count > 0) {}
        if self.shutdown_at.is_some() {
            return;
        }
        let exit_at = self.now + SHUTDOWN_TIMEOUT_SECS;
        self.shutdown_at = Some(exit_at);
        info!(code = "closing", "shutting down");
        self.bridge.begin_shutdown(self.now, exit_at);
        self.set_timer(self.now + MIN_SHUTDOWN_SECS, Timer::Exit);
        let clients = self.connections.iter_mut().filter_map(|(id, connection)| match &mut connection.peer {
            Peer::Client(client) => {
                // A client that has just connected is about to send a request, like those that connect after
                // the signal.
                client.awaits_first_request &=
                    self.now <= connection.deadline - REQUEST_TIMEOUT_SECS + SILENT_CLIENT_SECS;
                Some(*id)
            }
            _ => None,
        });
        // A request that was already received is answered before its connection is closed.
        self.still_ready.extend(clients);
    }

    /// Accepts no further webhook and closes all client connections, replying to incomplete requests.
    pub(super) fn refuse_remaining_clients(&mut self) {
        self.accepts_webhooks = false;
        for id in self.connections.keys().copied().collect::<Vec<_>>() {
            match self.connections.get(&id).map(|connection| &connection.peer) {
                Some(Peer::Client(client)) if client.stage == Stage::Idle => {
                    self.begin_client_close(id, CloseReason::ShuttingDown)
                }
                Some(Peer::Client(client)) if client.stage == Stage::Reading => {
                    self.reply_and_close(id, Reply::Unavailable);
                    self.client_ready(id);
                }
                _ => {}
            }
        }
    }

    /// Closes all connections. Returns true, as the process has to exit.
    pub(super) fn finish_shutdown(&mut self) -> bool {
        let connections: Vec<usize> = self.connections.keys().copied().collect();
        for id in connections {
            // A response that was already received counts.
            let peer = self.connections.get(&id).map(|connection| &connection.peer);
            if matches!(peer, Some(Peer::Endpoint(endpoint)) if endpoint.call.is_some()) {
                self.endpoint_ready(id);
            }
            self.close(id, CloseReason::ShuttingDown);
        }
        info!(code = "ended", "shutdown finished");
        true
    }

    /// Reloads the configuration file. An invalid one changes nothing.
    pub(super) fn reload_config(&mut self) {
        while matches!(self.reload_signals.read(&mut [0; 64]), Ok(count) if count > 0) {}
        let config = match self.bridge.config().reload(&self.config_path) {
            Ok(config) => config,
            Err(error) => return warn!(code = "config-kept", why = error, "keeping the old configuration"),
        };
        (self.max_clients, self.max_endpoints) = max_connections(&config.limits);
        self.max_buffered_bytes = max_buffered_bytes(&config.limits);
        let discovery_moved = std::mem::replace(&mut self.discovery, config.discovery) != config.discovery;
        info!(code = "config-read", discovery = %config.discovery, moved = discovery_moved, "reloaded the configuration");
        self.bridge.apply_config(config);
        if discovery_moved {
            // List and notices connect to the new address at the end of this iteration, whatever pause was
            // set for the old one.
            self.list_client.server_moved();
            self.list_wanted = true;
            if let Some(id) = self.list_connection {
                self.close(id, CloseReason::ServerMoved);
            }
            self.bridge.notices.connection_closed();
            self.next_notice_at = self.now;
            if let Some(id) = self.notice_connection {
                self.close(id, CloseReason::ServerMoved);
            }
        }
    }
}
