//! Timers: setting them and handling the ones that have expired.

use super::Driver;
use super::connection::{CloseReason, Peer};
use super::signals::FINAL_REFUSAL_SECS;
use crate::clients::{Reply, Stage};
use scalebarrow::Outcome;
use std::cmp::Reverse;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The deadline of the connection with this id.
    Connection(usize),
    /// Connections are accepted again after a pause.
    Accept,
    /// The decision module asked to be woken.
    Wake,
    /// The endpoint list is requested again after a pause.
    List,
    /// A notice is sent again after a pause.
    Notices,
    /// The shutdown checks whether the process can exit.
    Exit,
}

/// Converts a time from seconds to whole microseconds, rounded up, as timers hold it.
pub(super) fn micros(at: f64) -> u64 {
    (at * 1e6).ceil() as u64
}

impl Driver {
    /// Sets a timer, unless its time is infinite.
    pub(super) fn set_timer(&mut self, at: f64, timer: Timer) {
        if at.is_finite() {
            self.timers.push(Reverse((micros(at), timer)));
        }
    }

    /// Sets the deadline of a connection.
    pub(super) fn set_deadline(&mut self, id: usize, at: f64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.deadline = at;
        // A deadline that is postponed is checked when the earlier timer expires: a timer per message would
        // pile up.
        if at < connection.timer_at {
            connection.timer_at = at;
            self.set_timer(at, Timer::Connection(id));
        }
    }

    /// Handles the timers that have expired. True if the process has to exit.
    pub(super) fn expire_timers(&mut self) -> bool {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied()
            && at as f64 <= self.now * 1e6
        {
            self.timers.pop();
            match timer {
                Timer::Connection(id) => {
                    let Some(connection) = self.connections.get_mut(&id) else { continue };
                    connection.timer_at = f64::INFINITY;
                    let deadline = connection.deadline;
                    // Compared in whole microseconds, like the timers: otherwise rounding could set the same
                    // timer forever.
                    if micros(deadline) <= at {
                        self.handle_passed_deadline(id)
                    } else {
                        self.set_deadline(id, deadline)
                    }
                }
                Timer::Accept => self.accept_pending = true,
                Timer::Wake => self.bridge.wake(self.now),
                Timer::List => self.list_wanted = true,
                // Notices are sent at the end of the iteration.
                Timer::Notices => {}
                Timer::Exit => {
                    // A connection that was just opened is not closed without reading its request.
                    self.accept();
                    let remaining_secs = self.shutdown_at.map_or(0.0, |exit_at| exit_at - self.now);
                    if remaining_secs <= 0.0 || (self.client_count == 0 && self.bridge.is_idle()) {
                        return self.finish_shutdown();
                    }
                    if remaining_secs <= FINAL_REFUSAL_SECS {
                        self.refuse_remaining_clients();
                    }
                    self.set_timer(self.now + 0.05, Timer::Exit);
                }
            }
        }
        false
    }

    /// Handles a deadline that has passed. Pending input is read first, as it may contain what the connection
    /// waits for.
    fn handle_passed_deadline(&mut self, id: usize) {
        self.ready(id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.deadline > self.now {
            return;
        }
        match &mut connection.peer {
            Peer::Client(client) => match client.stage {
                Stage::Reading => {
                    self.reply_and_close(id, Reply::Status(408));
                    self.client_ready(id);
                }
                Stage::Idle => self.begin_client_close(id, CloseReason::Idle),
                Stage::Writing | Stage::Lingering => self.close(id, CloseReason::Timeout),
            },
            Peer::Endpoint(endpoint) if endpoint.call.is_some() => {
                match (connection.is_up, endpoint.decoder.is_between_messages()) {
                    (true, true) => self.abort_call(id, Outcome::TimedOut, CloseReason::Timeout),
                    (true, false) => self.abort_call(id, Outcome::Reset, CloseReason::InvalidMessage),
                    _ => self.abort_call(id, Outcome::TimedOut, CloseReason::NotConnected),
                }
            }
            Peer::Endpoint(_) => self.close(id, CloseReason::Idle),
            Peer::List => self.list_failed(CloseReason::Timeout),
            Peer::Notices => self.notices_failed(CloseReason::Timeout),
        }
    }
}
