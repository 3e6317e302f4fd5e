//! The judge of the delivery rules. It sees what clients, receivers and the platform recorded, in their own times, and
//! nothing of the senders. No I/O: each record is an input.

mod drains;
mod order;
mod returns;

use super::id::{EventType, WebhookId};
use drains::Drains;
use order::Orders;
pub use returns::RecoveryParameters;
use returns::Returns;
use std::collections::HashMap;

/// Breaches that are kept with their text, of each rule.
const MOST_TOLD: usize = 20;
/// A delivery's answer and the sender's end of waiting for it cross where the connection ends so soon after.
const CROSSING: f64 = 0.1;
/// A killed sender may not have read an answer that was written so long before.
const UNREAD: f64 = 1.0;
/// Either side of a webhook's deadline, a delivery may count or not.
const EDGE: f64 = 0.05;
/// An answer that was written so long before the deadline has been read: a sender may be held up for 0.15 s before it reads
/// one, and a notice for a webhook that is over does no harm then.
const READ_BY: f64 = 0.2;

/// The rules, by what they ask of a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Each webhook that was taken on gets one final answer in time, and nothing is sent for it afterwards.
    Lost,
    /// No effect happens twice, and no two attempts are out at once.
    Twice,
    Order,
    Waits,
    /// A destination that returns from an outage is not pushed over by those that saw it.
    Returns,
    /// Nothing new goes to an endpoint that drains.
    Drains,
    /// A client that stops in the middle of a request gets its error or its end in time.
    Clients,
}

/// Where a call came.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointLocation {
    /// The endpoint's number.
    pub endpoint: u32,
    /// The number of its zone.
    pub zone: u8,
}

/// A rule broken.
#[derive(Debug, Clone, PartialEq)]
pub struct Breach {
    pub rule: Rule,
    /// Seconds since the run began.
    pub at_secs: f64,
    /// The webhook that it is about, where it is about one.
    pub id: Option<WebhookId>,
    pub text: String,
}

/// The figures that the rules name, in seconds.
#[derive(Debug, Clone)]
pub struct RuleParameters {
    /// A final answer may come so long after the deadline.
    pub final_answer_grace_secs: f64,
    /// After a restart, overdue notices may come so long after the sender is ready.
    pub restart_grace_secs: f64,
    /// A destination knows an idempotency key for so long.
    pub repeat_window_secs: f64,
    /// Calls that are on their way when a wait is told get through for so long.
    pub retry_after_grace_secs: f64,
    /// Calls that are on their way when a drain is told get through for so long.
    pub drain_grace_secs: f64,
    /// An order key rests for so long after an attempt that may still run.
    pub ordering_key_pause_secs: f64,
    /// A client that stops in the middle of a request gets its error or its end within that.
    pub stalled_client_limit_secs: f64,
    pub recovery: RecoveryParameters,
}

impl Default for RuleParameters {
    fn default() -> Self {
        RuleParameters {
            final_answer_grace_secs: 0.35,
            restart_grace_secs: 1.5,
            repeat_window_secs: 8.0,
            retry_after_grace_secs: 0.1,
            drain_grace_secs: 0.5,
            ordering_key_pause_secs: 0.3,
            stalled_client_limit_secs: 3.0,
            recovery: RecoveryParameters::default(),
        }
    }
}

/// How a receiver answered a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallOutcome {
    Delivered,
    /// Delivered, if the answer arrived.
    Uncertain,
    /// It may have run.
    Failed,
    /// It has not run; where a wait was told, so long.
    Refused(f64),
}

/// What the client heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Heard {
    Nothing,
    Taken,
    Refused,
}

struct Track {
    deadline: f64,
    heard: Heard,
    /// When the call that is out came.
    out: Option<f64>,
    calls: u32,
    /// When the first call that may have run came, and in which zone.
    ran: Option<f64>,
    ran_in: u8,
    /// The zone of the last call.
    zone: u8,
    delivered: Option<f64>,
    /// The connection ended right after the answer that delivered it.
    crossed: bool,
    noticed: Option<f64>,
}

/// A request over a new connection that ended without an answer.
struct Unanswered {
    id: WebhookId,
    sent: f64,
    ended: f64,
}

impl Track {
    /// The call that came then may have run.
    fn may_have_run(&mut self, called: f64) {
        if self.ran.is_none() {
            (self.ran, self.ran_in) = (Some(called), self.zone);
        }
    }
}

#[derive(Default)]
struct Restarts {
    /// Each time the sender went down, and when it was ready again.
    spans: Vec<(f64, Option<f64>)>,
    /// Each time its process ended.
    ends: Vec<f64>,
}

impl Restarts {
    /// It went down, and is not ready again.
    fn is_down(&self) -> bool {
        self.spans.last().is_some_and(|(_, up)| up.is_none())
    }

    /// When it was ready last after a restart.
    fn last_up(&self) -> Option<f64> {
        self.spans.last().and_then(|(_, up)| *up)
    }

    fn down_within(&self, from: f64, to: f64) -> bool {
        let downs = self.spans.iter().map(|(down, _)| down);
        downs.chain(&self.ends).any(|down| (from..=to).contains(down))
    }

    /// The time from which an answer that was due is late.
    fn extend(&self, due: f64, grace: f64) -> f64 {
        self.spans.iter().fold(due, |due, (down, up)| match up {
            _ if *down > due => due,
            None => f64::INFINITY,
            Some(up) => due.max(up + grace),
        })
    }
}

/// What was seen, in numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunCounts {
    pub accepted: u64,
    /// Turned away at the door.
    pub refused: u64,
    /// Clients that heard nothing.
    pub unanswered: u64,
    pub calls: u64,
    pub delivered: u64,
    /// Ended by a notice.
    pub given_up: u64,
    /// Taken on, not over, and still in time.
    pub pending: u64,
    pub breaches: u64,
}

/// The judge. Times are seconds since the run began.
pub struct Judge {
    terms: RuleParameters,
    tracks: HashMap<WebhookId, Track>,
    restarts: HashMap<u16, Restarts>,
    waits: HashMap<(u16, u32), (f64, f64)>,
    orders: Orders,
    returns: Returns,
    drains: Drains,
    crowds: Vec<(u16, f64, f64)>,
    unanswered: Vec<Unanswered>,
    told: Vec<Breach>,
    breaches: u64,
}

impl Judge {
    pub fn new(terms: RuleParameters) -> Self {
        let returns = Returns::new(terms.recovery);
        Judge {
            terms,
            tracks: HashMap::new(),
            restarts: HashMap::new(),
            waits: HashMap::new(),
            orders: Orders::default(),
            returns,
            drains: Drains::default(),
            crowds: Vec::new(),
            unanswered: Vec::new(),
            told: Vec::new(),
            breaches: 0,
        }
    }

    fn breaks(&mut self, rule: Rule, at_secs: f64, id: Option<WebhookId>, text: String) {
        self.breaches += 1;
        if self.told.iter().filter(|b| b.rule == rule).count() < MOST_TOLD {
            self.told.push(Breach { rule, at_secs, id, text });
        }
    }

    /// A client begins to hand a webhook in, to be delivered within `ttl`.
    pub fn record_hand_in(&mut self, id: WebhookId, at: f64, ttl: f64) {
        let track = Track {
            deadline: at + ttl,
            heard: Heard::Nothing,
            out: None,
            calls: 0,
            ran: None,
            ran_in: 0,
            zone: 0,
            delivered: None,
            crossed: false,
            noticed: None,
        };
        self.tracks.insert(id, track);
    }

    /// The client heard that it is taken on.
    pub fn record_accepted(&mut self, id: WebhookId) {
        if let Some(track) = self.tracks.get_mut(&id) {
            track.heard = Heard::Taken;
        }
    }

    /// The client heard that it is not taken on.
    pub fn record_refused(&mut self, id: WebhookId, at: f64) {
        let Some(track) = self.tracks.get_mut(&id) else { return };
        track.heard = Heard::Refused;
        if track.calls > 0 {
            self.breaks(Rule::Lost, at, Some(id), format!("{id} was refused and had been sent"));
        }
    }

    /// A call came whole at its receiver.
    pub fn record_call(&mut self, id: WebhookId, place: EndpointLocation, at: f64) {
        let window = self.terms.repeat_window_secs;
        let unread = |restarts: &HashMap<u16, Restarts>, since: f64| {
            restarts.get(&id.sender).is_some_and(|r| r.down_within(since, since + UNREAD))
        };
        let Some(track) = self.tracks.get_mut(&id) else {
            return self.breaks(Rule::Lost, at, Some(id), format!("{id} was sent and nobody handed it in"));
        };
        let mut found = Vec::new();
        if track.heard == Heard::Refused {
            found.push((Rule::Lost, "was sent after it was refused".to_owned()));
        }
        if track.noticed.is_some() {
            found.push((Rule::Lost, "was sent after its final answer".to_owned()));
        }
        if let Some(delivered) = track.delivered.filter(|_| !track.crossed)
            && !unread(&self.restarts, delivered)
        {
            found.push((Rule::Lost, "was sent after it was delivered".to_owned()));
        }
        if track.out.is_some() {
            found.push((Rule::Twice, "was sent while an attempt was out".to_owned()));
        }
        match (id.event_type, track.ran) {
            (EventType::AtMostOnce, Some(_)) => {
                found.push((Rule::Twice, "may have run, and was sent again".to_owned()));
            }
            (EventType::Tokened | EventType::TokenedInZone, Some(ran)) if at > ran + window => {
                let late = at - ran - window;
                found.push((Rule::Twice, format!("was sent again {late:.3} s after its key was forgotten")));
            }
            (EventType::TokenedInZone, Some(_)) if place.zone != track.ran_in => {
                found.push((Rule::Twice, "was sent again to another zone".to_owned()));
            }
            _ => {}
        }
        track.out = Some(at);
        track.zone = place.zone;
        track.calls += 1;
        if let Some((told, until)) = self.waits.get(&(id.sender, id.destination))
            && (told + self.terms.retry_after_grace_secs..*until).contains(&at)
        {
            found.push((Rule::Waits, format!("was sent {:.3} s before its wait was over", until - at)));
        }
        let restarts = self.restarts.get(&id.sender);
        // A new process is told from its first moment on, which is a little before it is ready.
        let starts = restarts.is_some_and(Restarts::is_down);
        let up = if starts { Some(at) } else { restarts.and_then(Restarts::last_up) };
        if let Some(late) = self.drains.called(id.sender, place.endpoint, up, at, self.terms.drain_grace_secs)
        {
            found.push((Rule::Drains, format!("was sent {late:.3} s after the grace of a drain")));
        }
        if id.event_type == EventType::Ordered {
            found.extend(self.orders.called(id, at).map(|text| (Rule::Order, text)));
        }
        for (rule, text) in found {
            self.breaks(rule, at, Some(id), format!("{id} {text}"));
        }
        if let Some(text) = self.returns.called(id, at) {
            self.breaks(Rule::Returns, at, Some(id), text);
        }
    }

    /// The receiver wrote an answer.
    pub fn record_answer(&mut self, id: WebhookId, at: f64, end: CallOutcome) {
        self.orders.over(id);
        let Some(track) = self.tracks.get_mut(&id) else { return };
        let Some(called) = track.out.take() else { return };
        match end {
            CallOutcome::Refused(wait) => {
                self.returns.saw(id, at);
                if wait > 0.0 {
                    self.waits.insert((id.sender, id.destination), (at, at + wait));
                }
            }
            CallOutcome::Failed => {
                track.may_have_run(called);
                self.returns.saw(id, at);
            }
            CallOutcome::Delivered | CallOutcome::Uncertain => {
                track.crossed |= end == CallOutcome::Uncertain;
                track.may_have_run(called);
                track.delivered.get_or_insert(at);
            }
        }
    }

    /// The connection of that webhook's last call ended, before or after the call's answer.
    pub fn record_connection_end(&mut self, id: WebhookId, at: f64) {
        self.orders.over(id);
        let Some(track) = self.tracks.get_mut(&id) else { return };
        track.crossed |= track.delivered.is_some_and(|delivered| at < delivered + CROSSING);
        if let Some(called) = track.out.take() {
            track.may_have_run(called);
            self.returns.saw(id, at);
        }
    }

    /// The platform was told that a webhook is given up.
    pub fn record_notice(&mut self, id: WebhookId, at: f64) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return self.breaks(
                Rule::Lost,
                at,
                Some(id),
                format!("{id} was given up and nobody handed it in"),
            );
        };
        // Told again because the acknowledgement did not arrive: the first counts.
        if track.noticed.is_some() {
            return;
        }
        track.noticed = Some(at);
        let (deadline, delivered, crossed) = (track.deadline, track.delivered, track.crossed);
        let restarts = self.restarts.entry(id.sender).or_default();
        let due =
            restarts.extend(deadline + self.terms.final_answer_grace_secs, self.terms.restart_grace_secs);
        let crossed = crossed || delivered.is_some_and(|d| restarts.down_within(d, d + UNREAD));
        let in_time = delivered.is_some_and(|d| d < deadline - EDGE);
        let read = delivered.is_some_and(|d| d < deadline - READ_BY);
        if read && !crossed {
            self.breaks(Rule::Lost, at, Some(id), format!("{id} was delivered and given up"));
        } else if at > due && !in_time {
            self.breaks(Rule::Lost, at, Some(id), format!("{id} was given up {:.3} s late", at - due));
        }
        if id.event_type == EventType::Ordered
            && let Some(text) = self.orders.given_up(id, at)
        {
            self.breaks(Rule::Order, at, Some(id), format!("{id} {text}"));
        }
    }

    /// A version of the list names an endpoint that drains from then on.
    pub fn record_drain_listed(&mut self, endpoint: u32, version: u64) {
        self.drains.listed(endpoint, version);
    }

    /// The endpoint does not drain any more.
    pub fn record_drain_end(&mut self, endpoint: u32) {
        self.drains.ended(endpoint);
    }

    /// A sender was written a version of the list.
    pub fn record_list_sent(&mut self, sender: u16, version: u64, at: f64) {
        self.drains.told(sender, version, at);
    }

    /// A client's request came whole over a new connection, which ended at `ended` without an answer.
    pub fn record_unanswered(&mut self, id: WebhookId, sent: f64, ended: f64) {
        self.unanswered.push(Unanswered { id, sent, ended });
    }

    /// Judges requests without an answer once it is known when processes ended.
    fn judge_unanswered(&mut self) {
        for Unanswered { id, sent, ended } in std::mem::take(&mut self.unanswered) {
            let crowded =
                |(own, from, to): &(u16, f64, f64)| *own == id.sender && *from < ended && sent < *to + UNREAD;
            // Whose process ended then has answered nobody.
            let restarts = self.restarts.get(&id.sender);
            let down = restarts.is_some_and(|r| r.down_within(sent - UNREAD, ended + CROSSING));
            if !down && !self.crowds.iter().any(crowded) {
                let text = format!("{id} came on a new connection, which ended unanswered");
                self.breaks(Rule::Lost, ended, Some(id), text);
            }
        }
    }

    /// Idle clients fill a sender's descriptors: meanwhile it may end new connections unread.
    pub fn record_connection_flood(&mut self, sender: u16, from: f64, to: f64) {
        self.crowds.push((sender, from, to));
    }

    /// A client stopped in the middle of a request and got no error and no end until now.
    pub fn record_stalled_client(&mut self, sender: u16, since: f64, now: f64) {
        let ended = self.restarts.get(&sender).is_some_and(|r| r.down_within(since, now));
        let waited = now - since;
        if !ended && waited > self.terms.stalled_client_limit_secs {
            let text = format!("a client of sender {sender} that stopped got nothing in {waited:.1} s");
            self.breaks(Rule::Clients, now, None, text);
        }
    }

    /// A sender was told to end, or killed.
    pub fn record_sender_stop(&mut self, sender: u16, at: f64) {
        self.restarts.entry(sender).or_default().spans.push((at, None));
        // A restart ends the waits.
        self.waits.retain(|(told, _), _| *told != sender);
    }

    /// Its process has ended, at once or some time after it was told to.
    pub fn record_sender_exit(&mut self, sender: u16, at: f64) {
        self.restarts.entry(sender).or_default().ends.push(at);
        // A restart ends the waits, those that were told after it was told to end among them.
        self.waits.retain(|(told, _), _| *told != sender);
        // The process that comes after it was told nothing of outages.
        self.returns.forget(sender);
    }

    /// It is ready again.
    pub fn record_sender_ready(&mut self, sender: u16, at: f64) {
        if let Some((_, up)) = self.restarts.entry(sender).or_default().spans.last_mut() {
            *up = Some(at);
        }
    }

    /// A destination's outage begins, which takes `rate` calls a second when it is well.
    pub fn record_outage_start(&mut self, dest: u32, at: f64, rate: f64) {
        self.returns.began(dest, at, rate);
    }

    /// The destination is back, and cold.
    pub fn record_outage_end(&mut self, dest: u32, at: f64) {
        self.returns.ended(dest, at);
    }

    /// Webhooks that were taken on and are not over.
    pub fn pending_count(&self) -> u64 {
        let open = |t: &&Track| t.heard == Heard::Taken && t.delivered.is_none() && t.noticed.is_none();
        self.tracks.values().filter(open).count() as u64
    }

    /// What was seen up to `now`. Whoever has no final answer by now and should have is lost.
    pub fn finish(&mut self, now: f64) -> (RunCounts, Vec<Breach>) {
        self.judge_unanswered();
        let mut counts = RunCounts::default();
        let mut lost = Vec::new();
        for (id, track) in &self.tracks {
            counts.calls += u64::from(track.calls);
            match track.heard {
                Heard::Nothing => counts.unanswered += 1,
                Heard::Refused => counts.refused += 1,
                Heard::Taken => counts.accepted += 1,
            }
            let delivered = track.delivered.is_some_and(|d| d < track.deadline + EDGE);
            counts.delivered += u64::from(delivered);
            counts.given_up += u64::from(!delivered && track.noticed.is_some());
            if track.heard != Heard::Taken || delivered || track.noticed.is_some() {
                continue;
            }
            let due = track.deadline + self.terms.final_answer_grace_secs;
            let restarts = self.restarts.get(&id.sender);
            let due = restarts.map_or(due, |r| r.extend(due, self.terms.restart_grace_secs));
            if now > due { lost.push(*id) } else { counts.pending += 1 }
        }
        lost.sort_unstable();
        for id in lost {
            self.breaks(Rule::Lost, now, Some(id), format!("{id} was taken on and has no final answer"));
        }
        counts.breaches = self.breaches;
        (counts, std::mem::take(&mut self.told))
    }
}
