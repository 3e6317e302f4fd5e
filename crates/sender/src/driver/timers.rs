//! Timers: when something is due, and what happens then.

use super::Driver;
use super::connection::{Peer, Reason};
use super::signals::LAST_CALL;
use crate::clients::{Reply, Stage};
use scalebarrow::Outcome;
use std::cmp::Reverse;

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Link(usize),
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
    pub(super) fn at(&mut self, at: f64, due: Due) {
        if at.is_finite() {
            self.timers.push(Reverse((micros(at), due)));
        }
    }

    /// Sets when something must have happened on a connection.
    pub(super) fn set_due(&mut self, link: usize, at: f64) {
        let Some(l) = self.links.get_mut(&link) else { return };
        l.due = at;
        // One that is put off is looked at when its timer comes: a timer for each message would pile up.
        if at < l.timer {
            l.timer = at;
            self.at(at, Due::Link(link));
        }
    }

    /// True when the process has to end.
    pub(super) fn timers_due(&mut self) -> bool {
        while let Some(Reverse((at, due))) = self.timers.peek().copied()
            && at as f64 <= self.now * 1e6
        {
            self.timers.pop();
            match due {
                Due::Link(link) => {
                    let Some(l) = self.links.get_mut(&link) else { continue };
                    l.timer = f64::INFINITY;
                    let due = l.due;
                    // Compared as whole numbers, as the timers are: a rounded time must not come round for ever.
                    if micros(due) <= at { self.overdue(link) } else { self.set_due(link, due) }
                }
                Due::Accept => self.accept_again = true,
                Due::Wake => self.bridge.woken(self.now),
                Due::List => self.list_wanted = true,
                // Looked at when the turn ends.
                Due::Notices => {}
                Due::Exit => {
                    // Who connected just now is not closed unheard.
                    self.accept();
                    let left = self.closing.map_or(0.0, |at| at - self.now);
                    if left <= 0.0 || (self.clients == 0 && self.bridge.is_idle()) {
                        return self.exit();
                    }
                    if left <= LAST_CALL {
                        self.last_call();
                    }
                    self.at(self.now + 0.05, Due::Exit);
                }
            }
        }
        false
    }

    /// What was to happen on a connection by now has not, as far as was seen: what the system has for it is read first.
    fn overdue(&mut self, link: usize) {
        self.ready(link);
        let Some(l) = self.links.get_mut(&link) else { return };
        if l.due > self.now {
            return;
        }
        match &mut l.peer {
            Peer::Client(client) => match client.stage {
                Stage::Reading => {
                    self.turn_away(link, Reply::Status(408));
                    self.client_ready(link);
                }
                Stage::Idle => self.end_client(link, Reason::Idle),
                Stage::Writing | Stage::Lingering => self.close(link, Reason::Silent),
            },
            Peer::Endpoint(line) if line.call.is_some() => match (l.up, line.decoder.is_clear()) {
                (true, true) => self.cut(link, Outcome::TimedOut, Reason::Silent),
                (true, false) => self.cut(link, Outcome::Reset, Reason::BadMessage),
                _ => self.cut(link, Outcome::TimedOut, Reason::NotUp),
            },
            Peer::Endpoint(_) => self.close(link, Reason::Idle),
            Peer::List => self.list_broke(Reason::Silent),
            Peer::Notices => self.notices_broke(Reason::Silent),
        }
    }
}
