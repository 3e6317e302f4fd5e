//! The event loop: waits for events and timers, has them handled, and ends each turn with what the module asked for.

use super::connection::Reason;
use super::timers::{Timer, micros};
use super::{Driver, LISTENER, RELOAD_SIGNALS, SHUTDOWN_SIGNALS};
use crate::bridge::Action;
use crate::endpoints::{AttemptResult, ResponseHead};
use mio::{Events, Token};
use scalebarrow::Outcome;
use std::cmp::Reverse;
use std::io::{self, ErrorKind};
use std::time::Duration;

impl Driver {
    /// Runs until the process is to end.
    pub(super) fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(256);
        self.end_turn();
        loop {
            // A call that ends while its turn does leads to something only in the next one.
            let more = self.accept_again || self.bridge.has_work();
            let more = more || !self.ready_again.is_empty() || !self.failed.is_empty();
            let now = micros(self.clock.now());
            let next = self.timers.peek().map(|Reverse((at, _))| at.saturating_sub(now));
            let wait = if more { Some(0) } else { next };
            match self.poll.poll(&mut events, wait.map(Duration::from_micros)) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                result => result?,
            }
            self.now = self.clock.now();
            for (call, outcome) in std::mem::take(&mut self.failed) {
                let endings = vec![AttemptResult::from(outcome); call.webhooks.len()];
                self.bridge.call_ended(self.now, &call, &endings, &ResponseHead::default());
            }
            let again = std::mem::take(&mut self.ready_again);
            let mut accept = std::mem::take(&mut self.accept_again);
            for event in &events {
                match event.token() {
                    LISTENER => accept = true,
                    SHUTDOWN_SIGNALS => self.begin_shutdown(),
                    RELOAD_SIGNALS => self.reload_config(),
                    // In the order in which it came: webhooks with one order key go in that order.
                    Token(id) => self.ready(id),
                }
            }
            for id in again {
                self.ready(id);
            }
            if accept {
                self.accept();
            }
            if self.expire_timers() {
                return Ok(());
            }
            self.bridge.run_maintenance(self.now);
            self.end_turn();
        }
    }

    /// Does what the module asked for in this turn.
    fn end_turn(&mut self) {
        for action in self.bridge.take_actions() {
            match action {
                Action::WakeAfter(after) => self.set_timer(self.now + after, Timer::Wake),
                Action::WatchList(on) => self.list_wanted = on,
                Action::CloseIdleConnections(ep) => {
                    for id in self.pool.take_all(&ep) {
                        self.close(id, Reason::Idle);
                    }
                }
                Action::CancelAttempt(number) => {
                    // An answer that has come already counts.
                    let id = self.calls.get(&number).copied();
                    if let Some(id) =
                        id.filter(|id| self.connections.get(id).is_some_and(|connection| connection.up))
                    {
                        self.endpoint_ready(id);
                    }
                    if let Some(id) = self.calls.get(&number).copied() {
                        self.abort_call(id, Outcome::Cancelled, Reason::CalledOff);
                    }
                }
            }
        }
        if self.list_wanted && self.list_connection.is_none() {
            self.open_list();
        }
        let (calls, not_made) = self.bridge.take_calls(self.now);
        self.failed.extend(not_made.into_iter().map(|call| (call, Outcome::Moot(true))));
        for call in calls {
            self.start_call(call);
        }
        if self.bridge.notices.can_send() && self.now >= self.notice_at {
            self.send_notice();
        }
    }
}
