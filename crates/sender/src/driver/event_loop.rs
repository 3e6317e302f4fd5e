//! The event loop: waits for events and timers, has them handled, and ends each turn with what the module asked for.

use super::connection::Reason;
use super::timers::{Due, micros};
use super::{Driver, HANG_UPS, LISTENER, SIGNALS};
use crate::bridge::Action;
use crate::endpoints::{Answer, Ending};
use mio::{Events, Token};
use scalebarrow::Outcome;
use std::cmp::Reverse;
use std::io::{self, ErrorKind};
use std::time::Duration;

impl Driver {
    pub(super) fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(256);
        self.end_turn();
        loop {
            // A call that ends while its turn does leads to something only in the next one.
            let more = self.accept_again || self.bridge.has_work();
            let more = more || !self.again.is_empty() || !self.failed.is_empty();
            let now = micros(self.clock.now());
            let next = self.timers.peek().map(|Reverse((at, _))| at.saturating_sub(now));
            let wait = if more { Some(0) } else { next };
            match self.poll.poll(&mut events, wait.map(Duration::from_micros)) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                result => result?,
            }
            self.now = self.clock.now();
            for (call, outcome) in std::mem::take(&mut self.failed) {
                let endings = vec![Ending::from(outcome); call.webhooks.len()];
                self.bridge.ended(self.now, &call, &endings, &Answer::default());
            }
            let again = std::mem::take(&mut self.again);
            let mut accept = std::mem::take(&mut self.accept_again);
            for event in &events {
                match event.token() {
                    LISTENER => accept = true,
                    SIGNALS => self.signalled(),
                    HANG_UPS => self.reread(),
                    // In the order in which it came: webhooks with one order key go in that order.
                    Token(link) => self.ready(link),
                }
            }
            for link in again {
                self.ready(link);
            }
            if accept {
                self.accept();
            }
            if self.timers_due() {
                return Ok(());
            }
            self.end_turn();
        }
    }

    fn end_turn(&mut self) {
        for action in self.bridge.actions() {
            match action {
                Action::Wake(after) => self.at(self.now + after, Due::Wake),
                Action::Watch(on) => self.list_wanted = on,
                Action::CloseIdle(ep) => {
                    for link in self.pool.take_all(&ep) {
                        self.close(link, Reason::Idle);
                    }
                }
                Action::CallOff(number) => {
                    // An answer that has come already counts.
                    let link = self.calls.get(&number).copied();
                    if let Some(link) = link.filter(|l| self.links.get(l).is_some_and(|l| l.up)) {
                        self.endpoint_ready(link);
                    }
                    if let Some(link) = self.calls.get(&number).copied() {
                        self.cut(link, Outcome::Cancelled, Reason::CalledOff);
                    }
                }
            }
        }
        if self.list_wanted && self.list_link.is_none() {
            self.open_list();
        }
        let (calls, not_made) = self.bridge.calls(self.now);
        self.failed.extend(not_made.into_iter().map(|call| (call, Outcome::Moot(true))));
        for call in calls {
            self.start(call);
        }
        if self.bridge.notices.waiting() && self.now >= self.notice_at {
            self.send_notice();
        }
    }
}
