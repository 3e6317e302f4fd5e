//! Connections to the destinations' endpoints: calls go out on them, and answers come back.

use super::Driver;
use super::STEPS;
use super::budgets::SMALL;
use super::connection::{Got, Link, Peer, Reason, is_quiet};
use crate::bridge::GoAhead;
use crate::endpoints::{self, Answer, Call, Ending, Line};
use crate::http::Fault;
use scalebarrow::Outcome;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use tracing::{debug, warn};

/// An answer that has begun is written at once: what is not whole after so long is spoilt, and its connection too.
const ANSWER_SPAN: f64 = 0.4;
/// An endpoint's idle connection is given up so long before the endpoint closes it.
const IDLE_MARGIN: f64 = 0.25;

impl Driver {
    pub(super) fn start(&mut self, call: Call) {
        while let Some(link) = self.pool.take(&call.ep) {
            let Some(l) = self.links.get_mut(&link) else { continue };
            // Closed by the other side, or about to be: what is written to it would be lost.
            if l.due <= self.now || !is_quiet(&l.stream) {
                self.close(link, Reason::Stale);
                continue;
            }
            if let Peer::Endpoint(line) = &mut l.peer {
                line.call = Some(call);
                return self.send_call(link);
            }
        }
        let idle_needed = self.lines >= self.most_lines;
        if let Some(link) = self.pool.oldest().filter(|_| idle_needed) {
            self.close(link, Reason::NoRoom);
        }
        if self.lines >= self.most_lines {
            return self.failed.push((call, Outcome::Moot(true)));
        }
        let Some(dial) = self.bridge.dial(&call.ep) else {
            return self.failed.push((call, Outcome::ConnectFailed));
        };
        let (_, connects_in) = self.bridge.config().connection_times();
        let by = call.stop_at.min(self.now + connects_in);
        debug!(code = "connecting", ep = call.ep, "a connection is opened");
        match self.connect(dial, Peer::Endpoint(Line::new(call.ep.clone()))) {
            Ok(link) => {
                self.calls.extend(call.webhooks.iter().map(|w| (w.0, link)));
                if let Some(Link { peer: Peer::Endpoint(line), .. }) = self.links.get_mut(&link) {
                    line.call = Some(call);
                }
                self.set_due(link, by);
            }
            // The endpoint refused, or it was never asked: where descriptors or ports are short, that is no fault of its.
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                self.failed.push((call, Outcome::ConnectFailed))
            }
            Err(e) => {
                warn!(code = "connect", ep = call.ep, %e, "no connection can be opened");
                self.failed.push((call, Outcome::Moot(true)));
            }
        }
    }

    /// The connection is up and free: the call goes out.
    pub(super) fn send_call(&mut self, link: usize) {
        let Some(l) = self.links.get_mut(&link) else { return };
        let Peer::Endpoint(line) = &mut l.peer else { return };
        let Some(call) = &mut line.call else { return };
        // As of this moment, not of the turn's beginning: the time for a repeat may be over by now. An endpoint that
        // moved while its connection came up is somebody else's.
        let (now, there) = (self.clock.now(), self.bridge.dial(&line.ep) == Some(l.addr));
        let go_ahead = if there { self.bridge.going_out(now, call) } else { GoAhead::NotNow };
        if go_ahead != GoAhead::Yes {
            let call = line.call.take();
            for (number, _) in call.iter().flat_map(|c| &c.webhooks) {
                self.calls.remove(number);
            }
            self.failed.extend(call.map(|c| (c, Outcome::Moot(true))));
            // The connection itself is as good as any.
            let stays = go_ahead == GoAhead::NotNow;
            return if stays { self.keep(link) } else { self.close(link, Reason::NoRoom) };
        }
        l.out = std::mem::take(&mut call.bytes);
        self.calls.extend(call.webhooks.iter().map(|w| (w.0, link)));
        let stop_at = call.stop_at;
        self.set_due(link, stop_at);
        self.endpoint_ready(link);
    }

    /// Keeps a connection that carries nothing for the next call.
    fn keep(&mut self, link: usize) {
        let ep = line_ep(&self.links, link);
        // Its endpoint left the list, or moved, while the call was out.
        if self.bridge.dial(&ep) != self.links.get(&link).map(|l| l.addr) {
            return self.close(link, Reason::Idle);
        }
        self.pool.put(&ep, link);
        let (idle, _) = self.bridge.config().connection_times();
        self.set_due(link, self.now + (idle - IDLE_MARGIN).max(idle / 2.0));
    }

    pub(super) fn endpoint_ready(&mut self, link: usize) {
        let mut end = if self.flush(link) { None } else { Some(Reason::PeerReset) };
        let mut found = None;
        for step in 0.. {
            if step == STEPS {
                self.again.insert(link);
                break;
            }
            match self.read(link) {
                Got::Bytes(count) => {
                    let Some(Link { peer: Peer::Endpoint(line), .. }) = self.links.get_mut(&link) else {
                        return;
                    };
                    line.decoder.feed(&self.scratch[..count]);
                    // Looked at piece by piece: of an answer without end no more is kept than of a good one.
                    found = found.or_else(|| line.decoder.message().transpose());
                    let (big, clear) = (line.decoder.held() > SMALL, line.decoder.is_clear());
                    if found.is_none() && big && self.buffers_full(false) {
                        found = Some(Err(Fault::BodyTooBig));
                    }
                    if found.is_some() && !clear {
                        break;
                    }
                }
                Got::Nothing => break,
                Got::End(reason) => {
                    end = Some(reason);
                    break;
                }
            }
        }
        let Some(l) = self.links.get_mut(&link) else { return };
        let Peer::Endpoint(line) = &mut l.peer else { return };
        match found {
            Some(Ok(answer)) => {
                let Some(call) = line.call.take() else { return self.close(link, Reason::Unasked) };
                let stays = end.is_none() && answer.keep && call.written && line.decoder.is_clear();
                let ids: Vec<&str> = call.webhooks.iter().map(|w| w.1.as_str()).collect();
                let endings = endpoints::endings(&answer, &ids);
                let garbage = endings.is_none();
                let endings = endings.unwrap_or_else(|| vec![Outcome::Reset.into(); ids.len()]);
                self.call_over(&call, &endings, &answer.head);
                if !stays || garbage {
                    return self.close(link, if garbage { Reason::BadMessage } else { Reason::Answered });
                }
                self.keep(link);
            }
            Some(Err(_)) => self.cut(link, Outcome::Reset, Reason::BadMessage),
            None => {
                let by = l.due.min(self.now + ANSWER_SPAN);
                if let Some(reason) = end {
                    self.cut(link, Outcome::Reset, reason);
                } else if line.call.is_none() && !line.decoder.is_clear() {
                    self.close(link, Reason::Unasked);
                } else if !line.decoder.is_clear() {
                    self.set_due(link, by);
                }
            }
        }
    }

    /// Ends a connection with the call on it, if there is one.
    pub(super) fn cut(&mut self, link: usize, else_as: Outcome, reason: Reason) {
        if let Some(Link { peer: Peer::Endpoint(line), .. }) = self.links.get_mut(&link)
            && let Some(call) = line.call.take()
        {
            let (endings, answer) = line.cut_short(&call, else_as);
            self.call_over(&call, &endings, &answer);
        }
        self.close(link, reason);
    }

    fn call_over(&mut self, call: &Call, endings: &[Ending], answer: &Answer) {
        for (number, _) in &call.webhooks {
            self.calls.remove(number);
        }
        self.bridge.ended(self.now, call, endings, answer);
    }
}

fn line_ep(links: &BTreeMap<usize, Link>, link: usize) -> String {
    match links.get(&link).map(|l| &l.peer) {
        Some(Peer::Endpoint(line)) => line.ep.clone(),
        _ => String::new(),
    }
}
