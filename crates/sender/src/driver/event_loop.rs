//! The event loop: waits for events and timers, dispatches them, and ends each iteration with the actions
//! that the decision module requested.

use super::connection::CloseReason;
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
    /// Runs until the process has to exit.
    pub(super) fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(256);
        self.finish_iteration();
        loop {
            // Calls that failed at the end of an iteration are handled in the next one.
            let has_work = self.accept_pending || self.bridge.has_work();
            let has_work = has_work || !self.still_ready.is_empty() || !self.failed_calls.is_empty();
            let now = micros(self.clock.now());
            let next_timer_micros = self.timers.peek().map(|Reverse((at, _))| at.saturating_sub(now));
            let timeout_micros = if has_work { Some(0) } else { next_timer_micros };
            match self.poll.poll(&mut events, timeout_micros.map(Duration::from_micros)) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                result => result?,
            }
            self.now = self.clock.now();
            for (call, outcome) in std::mem::take(&mut self.failed_calls) {
                let results = vec![AttemptResult::from(outcome); call.webhooks.len()];
                self.bridge.call_ended(self.now, &call, &results, &ResponseHead::default());
            }
            let still_ready = std::mem::take(&mut self.still_ready);
            let mut accept = std::mem::take(&mut self.accept_pending);
            for event in &events {
                match event.token() {
                    LISTENER => accept = true,
                    SHUTDOWN_SIGNALS => self.begin_shutdown(),
                    RELOAD_SIGNALS => self.reload_config(),
                    // In the order of the events, as webhooks with the same ordering key are delivered in
                    // order of arrival.
                    Token(id) => self.ready(id),
                }
            }
            for id in still_ready {
                self.ready(id);
            }
            if accept {
                self.accept();
            }
            if self.expire_timers() {
                return Ok(());
            }
            self.bridge.run_maintenance(self.now);
            self.finish_iteration();
        }
    }

    /// Performs the actions that the decision module requested in this iteration.
    fn finish_iteration(&mut self) {
        for action in self.bridge.take_actions() {
            match action {
                Action::WakeAfter(delay_secs) => self.set_timer(self.now + delay_secs, Timer::Wake),
                Action::WatchList(is_watched) => self.list_wanted = is_watched,
                Action::CloseIdleConnections(endpoint) => {
                    for id in self.pool.take_all(&endpoint) {
                        self.close(id, CloseReason::Idle);
                    }
                }
                Action::CancelAttempt(webhook_number) => {
                    // A response that was already received counts.
                    let id = self.call_connections.get(&webhook_number).copied();
                    if let Some(id) =
                        id.filter(|id| self.connections.get(id).is_some_and(|connection| connection.is_up))
                    {
                        self.endpoint_ready(id);
                    }
                    if let Some(id) = self.call_connections.get(&webhook_number).copied() {
                        self.abort_call(id, Outcome::Cancelled, CloseReason::CallCancelled);
                    }
                }
            }
        }
        if self.list_wanted && self.list_connection.is_none() {
            self.connect_list();
        }
        let (calls, not_made) = self.bridge.take_calls(self.now);
        self.failed_calls.extend(not_made.into_iter().map(|call| (call, Outcome::Moot(true))));
        for call in calls {
            self.start_call(call);
        }
        if self.bridge.notices.can_send() && self.now >= self.next_notice_at {
            self.send_notice();
        }
    }
}
