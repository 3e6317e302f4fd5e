//! Timers: when something is due, and what happens then.

use super::Driver;
use super::connection::{Peer, Reason};
use super::signals::FINAL_REFUSAL;
use crate::clients::{Reply, Stage};
use scalebarrow::Outcome;
use std::cmp::Reverse;

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Connection(usize),
    Accept,
    Wake,
    List,
    Notices,
    Exit,
}

/// A time in whole microseconds, rounded up, as timers hold it.
pub(super) fn micros(at: f64) -> u64 {
    (at * 1e6).ceil() as u64
}

impl Driver {
    /// Sets a timer; a time without bound sets none.
    pub(super) fn set_timer(&mut self, at: f64, timer: Timer) {
        if at.is_finite() {
            self.timers.push(Reverse((micros(at), timer)));
        }
    }

    /// Sets when something must have happened on a connection.
    pub(super) fn set_deadline(&mut self, id: usize, at: f64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.deadline = at;
        // One that is put off is looked at when its timer comes: a timer for each message would pile up.
        if at < connection.timer {
            connection.timer = at;
            self.set_timer(at, Timer::Connection(id));
        }
    }

    /// Handles the timers whose time has come. True when the process has to end.
    pub(super) fn expire_timers(&mut self) -> bool {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied()
            && at as f64 <= self.now * 1e6
        {
            self.timers.pop();
            match timer {
                Timer::Connection(id) => {
                    let Some(connection) = self.connections.get_mut(&id) else { continue };
                    connection.timer = f64::INFINITY;
                    let deadline = connection.deadline;
                    // Compared as whole numbers, as the timers are: a rounded time must not come round for ever.
                    if micros(deadline) <= at {
                        self.deadline_passed(id)
                    } else {
                        self.set_deadline(id, deadline)
                    }
                }
                Timer::Accept => self.accept_again = true,
                Timer::Wake => self.bridge.wake(self.now),
                Timer::List => self.list_wanted = true,
                // Looked at when the turn ends.
                Timer::Notices => {}
                Timer::Exit => {
                    // Who connected just now is not closed unheard.
                    self.accept();
                    let left = self.closing.map_or(0.0, |at| at - self.now);
                    if left <= 0.0 || (self.client_count == 0 && self.bridge.is_idle()) {
                        return self.finish_shutdown();
                    }
                    if left <= FINAL_REFUSAL {
                        self.refuse_remaining_clients();
                    }
                    self.set_timer(self.now + 0.05, Timer::Exit);
                }
            }
        }
        false
    }

    /// What was to happen on a connection by now has not, as far as was seen: what the system has for it is read first.
    fn deadline_passed(&mut self, id: usize) {
        self.ready(id);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.deadline > self.now {
            return;
        }
        match &mut connection.peer {
            Peer::Client(client) => match client.stage {
                Stage::Reading => {
                    self.refuse_client(id, Reply::Status(408));
                    self.client_ready(id);
                }
                Stage::Idle => self.end_client(id, Reason::Idle),
                Stage::Writing | Stage::Lingering => self.close(id, Reason::Silent),
            },
            Peer::Endpoint(endpoint) if endpoint.call.is_some() => {
                match (connection.up, endpoint.decoder.is_between_messages()) {
                    (true, true) => self.abort_call(id, Outcome::TimedOut, Reason::Silent),
                    (true, false) => self.abort_call(id, Outcome::Reset, Reason::BadMessage),
                    _ => self.abort_call(id, Outcome::TimedOut, Reason::NotUp),
                }
            }
            Peer::Endpoint(_) => self.close(id, Reason::Idle),
            Peer::List => self.list_failed(Reason::Silent),
            Peer::Notices => self.notices_failed(Reason::Silent),
        }
    }
}
