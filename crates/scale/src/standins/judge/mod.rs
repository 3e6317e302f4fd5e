//! Judges a run by the delivery rules. The judge knows only what clients, receivers and the platform
//! recorded, at the times at which they saw it, and nothing from inside the senders. It does no I/O: every
//! observation is an input.

mod drains;
mod order;
mod returns;

use super::id::{EventType, WebhookId};
use drains::DrainRule;
use order::OrderRule;
pub use returns::RecoveryParameters;
use returns::ReturnRule;
use std::collections::HashMap;

/// Breaches of one rule that are kept with their text; the others are only counted.
const MAX_BREACHES_KEPT_PER_RULE: usize = 20;
/// When a connection ends this soon after an answer that delivered a webhook, the sender may have stopped
/// waiting before it read the answer.
const ANSWER_CROSSING_SECS: f64 = 0.1;
/// A sender that is killed this soon after an answer was written may not have read it.
const UNREAD_ANSWER_SECS: f64 = 1.0;
/// A call that arrives this soon after its process ended was sent by that process, as the next one starts
/// 0.6 s later: its answer is not read.
const CALL_OF_ENDED_PROCESS_SECS: f64 = 0.5;
/// How long a call may take from the sender to the receiver: the protocol adds this to each time limit.
const TRANSIT_SECS: f64 = 0.05;
/// A delivery this close to the webhook's deadline, before or after, may count as in time or not.
const DEADLINE_TOLERANCE_SECS: f64 = 0.05;
/// An answer that was written this long before the deadline has been read. A sender may be held up for 0.15 s
/// before it reads an answer, and a notice that is sent because the deadline passed meanwhile does no harm.
const ANSWER_READ_SECS: f64 = 0.2;

/// The rules that a sender must keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Each accepted webhook gets one final answer in time, and nothing is sent for it afterwards.
    Lost,
    /// No effect happens twice, and no two attempts of a webhook are in flight at once.
    Twice,
    /// Webhooks with one ordering key are sent one at a time, in the order in which they were accepted.
    Order,
    /// A sender that was asked to wait by a destination sends it nothing before the wait is over.
    Waits,
    /// A destination that comes back from an outage is not overloaded by the senders that saw the outage.
    Returns,
    /// Nothing new is sent to an endpoint that drains.
    Drains,
    /// A client that stops in the middle of a request gets an error, or its connection closed, in time.
    Clients,
}

/// The endpoint that received a call, and the endpoint's zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointLocation {
    /// The number of the endpoint.
    pub endpoint: u32,
    /// The number of its zone.
    pub zone: u8,
}

/// One breach of a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Breach {
    /// The rule that was broken.
    pub rule: Rule,
    /// Seconds since the run began.
    pub at_secs: f64,
    /// The webhook concerned, if there is one.
    pub id: Option<WebhookId>,
    /// What happened, in words for the report.
    pub text: String,
}

/// The limits and grace periods that the rules allow.
#[derive(Debug, Clone)]
pub struct RuleParameters {
    /// How long after a webhook's deadline its final answer may come.
    pub final_answer_grace_secs: f64,
    /// How long after a restarted sender is ready its overdue notices may come.
    pub restart_grace_secs: f64,
    /// How long a destination recognizes an idempotency key.
    pub repeat_window_secs: f64,
    /// How long after an answer with Retry-After calls that were already in flight may still arrive.
    pub retry_after_grace_secs: f64,
    /// How long after a sender was sent the drain of an endpoint its calls may still arrive there.
    pub drain_grace_secs: f64,
    /// How long an ordering key pauses after an attempt that may still be running.
    pub ordering_key_pause_secs: f64,
    /// How long a client that stops in the middle of a request may wait for an error or the end of its
    /// connection.
    pub stalled_client_limit_secs: f64,
    /// What a destination that comes back from an outage can take.
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

/// What the receiver's answer to a call means.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallOutcome {
    /// The webhook was delivered.
    Delivered,
    /// The webhook was delivered, but the answer may not have reached the sender.
    Uncertain,
    /// The webhook may have taken effect.
    Failed,
    /// The webhook has taken no effect. The answer asked for a wait of this many seconds; 0 if it asked for
    /// none.
    Refused(f64),
}

/// How the sender answered the client that handed a webhook in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClientAnswer {
    Unanswered,
    Accepted,
    Refused,
}

/// What is known of one webhook. Times are seconds since the run began.
struct WebhookState {
    /// By when it is to be delivered.
    deadline: f64,
    client_answer: ClientAnswer,
    /// When the call that is in flight arrived.
    in_flight_since: Option<f64>,
    call_count: u32,
    /// When the first call that may have taken effect arrived.
    possible_effect_at: Option<f64>,
    /// The zone in which that call arrived.
    possible_effect_zone: u8,
    /// The zone of the last call.
    last_zone: u8,
    delivered_at: Option<f64>,
    /// When the call arrived that delivered it.
    delivering_call_at: f64,
    /// The sender may not have received the answer that delivered the webhook.
    answer_maybe_missed: bool,
    /// When the copy of an answer to another call came while a call of the webhook was in flight.
    copied_answer_at: Option<f64>,
    /// When the platform was notified that the webhook was given up.
    notice_at: Option<f64>,
}

/// A request over a new connection that ended without an answer. Times are seconds since the run began.
struct UnansweredRequest {
    id: WebhookId,
    sent_at: f64,
    ended_at: f64,
}

impl WebhookState {
    /// Records that the call that arrived at `called_at` may have taken effect.
    fn record_possible_effect(&mut self, called_at: f64) {
        if self.possible_effect_at.is_none() {
            (self.possible_effect_at, self.possible_effect_zone) = (Some(called_at), self.last_zone);
        }
    }
}

impl WebhookState {
    /// Whether the process that made the delivering call may have ended before it read the answer.
    fn killed_before_reading(&self, restarts: &SenderRestarts) -> bool {
        self.delivered_at.is_some_and(|delivered_at| {
            let sent_after = self.delivering_call_at - CALL_OF_ENDED_PROCESS_SECS;
            restarts.stopped_within(sent_after, delivered_at + UNREAD_ANSWER_SECS)
        })
    }
}

/// The restarts of one sender. Times are seconds since the run began.
#[derive(Default)]
struct SenderRestarts {
    /// Each time at which the sender was stopped, and when it was ready again.
    downtimes: Vec<(f64, Option<f64>)>,
    /// Each time at which its process ended.
    exits: Vec<f64>,
}

impl SenderRestarts {
    /// Whether the sender was stopped and is not ready again.
    fn is_down(&self) -> bool {
        self.downtimes.last().is_some_and(|(_, ready_at)| ready_at.is_none())
    }

    /// When the sender was ready after its last restart.
    fn last_ready_at(&self) -> Option<f64> {
        self.downtimes.last().and_then(|(_, ready_at)| *ready_at)
    }

    /// Whether the sender was stopped, or its process ended, between two times.
    fn stopped_within(&self, from: f64, to: f64) -> bool {
        let stops = self.downtimes.iter().map(|(stopped_at, _)| stopped_at);
        stops.chain(&self.exits).any(|stopped_at| (from..=to).contains(stopped_at))
    }

    /// The time after which an answer that is due at `due_at` counts as overdue. It is later than `due_at` if
    /// the sender was stopped before, and infinite as long as the sender is not ready again.
    fn overdue_after(&self, due_at: f64, grace_secs: f64) -> f64 {
        self.downtimes.iter().fold(due_at, |due_at, (stopped_at, ready_at)| match ready_at {
            _ if *stopped_at > due_at => due_at,
            None => f64::INFINITY,
            Some(ready_at) => due_at.max(ready_at + grace_secs),
        })
    }
}

/// What the judge saw, in numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Webhooks that a sender accepted.
    pub accepted: u64,
    /// Webhooks that a sender refused to accept.
    pub refused: u64,
    /// Webhooks whose client got no answer.
    pub unanswered: u64,
    /// Calls that arrived at receivers.
    pub calls: u64,
    /// Webhooks delivered in time.
    pub delivered: u64,
    /// Webhooks that ended with a notice to the platform.
    pub given_up: u64,
    /// Webhooks that were accepted, have no final answer and are not overdue.
    pub pending: u64,
    /// Breaches of all rules.
    pub breaches: u64,
}

/// The judge. All times are seconds since the run began.
pub struct Judge {
    parameters: RuleParameters,
    webhooks: HashMap<WebhookId, WebhookState>,
    /// The restarts of each sender.
    restarts: HashMap<u16, SenderRestarts>,
    /// By sender and destination: when the last wait was asked for, and until when it lasts.
    waits: HashMap<(u16, u32), (f64, f64)>,
    order_rule: OrderRule,
    return_rule: ReturnRule,
    drain_rule: DrainRule,
    /// Senders whose descriptors idle clients used up, and from when until when.
    connection_floods: Vec<(u16, f64, f64)>,
    unanswered_requests: Vec<UnansweredRequest>,
    kept_breaches: Vec<Breach>,
    breach_count: u64,
}

impl Judge {
    /// A judge that has seen nothing yet.
    pub fn new(parameters: RuleParameters) -> Self {
        let return_rule = ReturnRule::new(parameters.recovery);
        Judge {
            parameters,
            webhooks: HashMap::new(),
            restarts: HashMap::new(),
            waits: HashMap::new(),
            order_rule: OrderRule::default(),
            return_rule,
            drain_rule: DrainRule::default(),
            connection_floods: Vec::new(),
            unanswered_requests: Vec::new(),
            kept_breaches: Vec::new(),
            breach_count: 0,
        }
    }

    fn record_breach(&mut self, rule: Rule, at_secs: f64, id: Option<WebhookId>, mut text: String) {
        let webhook = id.and_then(|id| self.webhooks.get(&id));
        if let Some(copied_at) = webhook.and_then(|webhook| webhook.copied_answer_at) {
            text += &format!("; the copy of an earlier answer came during its call at {copied_at:.3} s");
        }
        self.breach_count += 1;
        if self.kept_breaches.iter().filter(|breach| breach.rule == rule).count() < MAX_BREACHES_KEPT_PER_RULE
        {
            self.kept_breaches.push(Breach { rule, at_secs, id, text });
        }
    }

    /// A client begins to hand a webhook in, which is to be delivered within `ttl_secs`.
    pub fn record_hand_in(&mut self, id: WebhookId, at: f64, ttl_secs: f64) {
        let webhook = WebhookState {
            deadline: at + ttl_secs,
            client_answer: ClientAnswer::Unanswered,
            in_flight_since: None,
            call_count: 0,
            possible_effect_at: None,
            possible_effect_zone: 0,
            last_zone: 0,
            delivered_at: None,
            delivering_call_at: 0.0,
            answer_maybe_missed: false,
            copied_answer_at: None,
            notice_at: None,
        };
        self.webhooks.insert(id, webhook);
    }

    /// The client was answered that the webhook is accepted.
    pub fn record_accepted(&mut self, id: WebhookId) {
        if let Some(webhook) = self.webhooks.get_mut(&id) {
            webhook.client_answer = ClientAnswer::Accepted;
        }
    }

    /// The client was answered that the webhook is refused.
    pub fn record_refused(&mut self, id: WebhookId, at: f64) {
        let Some(webhook) = self.webhooks.get_mut(&id) else { return };
        webhook.client_answer = ClientAnswer::Refused;
        if webhook.call_count > 0 {
            self.record_breach(Rule::Lost, at, Some(id), format!("{id} was refused after it had been sent"));
        }
    }

    /// A complete call arrived at its receiver with these webhooks.
    pub fn record_call_of(&mut self, ids: &[WebhookId], location: EndpointLocation, at: f64) {
        ids.iter().for_each(|id| self.record_webhook_of_call(*id, location, at));
        // A call counts once for the destination, however many webhooks it has.
        let Some(first) = ids.first() else { return };
        if let Some(text) = self.return_rule.check_call(*first, at) {
            self.record_breach(Rule::Returns, at, Some(*first), text);
        }
    }

    /// A complete call with one webhook arrived at its receiver.
    pub fn record_call(&mut self, id: WebhookId, location: EndpointLocation, at: f64) {
        self.record_call_of(&[id], location, at);
    }

    fn record_webhook_of_call(&mut self, id: WebhookId, location: EndpointLocation, at: f64) {
        let repeat_window_secs = self.parameters.repeat_window_secs;
        let Some(webhook) = self.webhooks.get_mut(&id) else {
            return self.record_breach(
                Rule::Lost,
                at,
                Some(id),
                format!("{id} was sent, but no client handed it in"),
            );
        };
        let mut found = Vec::new();
        if webhook.client_answer == ClientAnswer::Refused {
            found.push((Rule::Lost, "was sent after it was refused".to_owned()));
        }
        if webhook.notice_at.is_some_and(|notice_at| at > notice_at + TRANSIT_SECS) {
            found.push((Rule::Lost, "was sent after its final answer".to_owned()));
        }
        let restarts = self.restarts.get(&id.sender);
        let killed_before_reading = restarts.is_some_and(|restarts| webhook.killed_before_reading(restarts));
        if webhook.delivered_at.is_some() && !webhook.answer_maybe_missed && !killed_before_reading {
            found.push((Rule::Lost, "was sent after it was delivered".to_owned()));
        }
        if webhook.in_flight_since.is_some() {
            found.push((Rule::Twice, "was sent while another attempt was in flight".to_owned()));
        }
        match (id.event_type, webhook.possible_effect_at) {
            (EventType::AtMostOnce, Some(_)) => {
                found.push((Rule::Twice, "may have run, and was sent again".to_owned()));
            }
            (EventType::Tokened | EventType::TokenedInZone, Some(effect_at))
                if at > effect_at + repeat_window_secs =>
            {
                let late_secs = at - effect_at - repeat_window_secs;
                found.push((
                    Rule::Twice,
                    format!("was sent again {late_secs:.3} s after its idempotency key had expired"),
                ));
            }
            (EventType::TokenedInZone, Some(_)) if location.zone != webhook.possible_effect_zone => {
                found.push((Rule::Twice, "was sent again to another zone".to_owned()));
            }
            _ => {}
        }
        webhook.in_flight_since = Some(at);
        webhook.last_zone = location.zone;
        webhook.call_count += 1;
        if let Some((asked_at, until)) = self.waits.get(&(id.sender, id.destination))
            && (asked_at + self.parameters.retry_after_grace_secs..*until).contains(&at)
        {
            found.push((
                Rule::Waits,
                format!("was sent {:.3} s before its Retry-After wait was over", until - at),
            ));
        }
        let restarts = self.restarts.get(&id.sender);
        // A new process receives the list as soon as it starts, which is a little before it is ready.
        let is_starting = restarts.is_some_and(SenderRestarts::is_down);
        let ready_at = if is_starting { Some(at) } else { restarts.and_then(SenderRestarts::last_ready_at) };
        if let Some(late_secs) = self.drain_rule.check_call(
            id.sender,
            location.endpoint,
            ready_at,
            at,
            self.parameters.drain_grace_secs,
        ) {
            found
                .push((Rule::Drains, format!("was sent {late_secs:.3} s after the grace period of a drain")));
        }
        if id.event_type == EventType::Ordered {
            found.extend(self.order_rule.check_call(id, at).map(|text| (Rule::Order, text)));
        }
        for (rule, text) in found {
            self.record_breach(rule, at, Some(id), format!("{id} {text}"));
        }
    }

    /// The receiver wrote an answer.
    pub fn record_answer(&mut self, id: WebhookId, at: f64, outcome: CallOutcome) {
        self.order_rule.end_call(id);
        let Some(webhook) = self.webhooks.get_mut(&id) else { return };
        let Some(called_at) = webhook.in_flight_since.take() else { return };
        match outcome {
            CallOutcome::Refused(wait_secs) => {
                self.return_rule.record_failure(id, at);
                if wait_secs > 0.0 {
                    self.waits.insert((id.sender, id.destination), (at, at + wait_secs));
                }
            }
            CallOutcome::Failed => {
                webhook.record_possible_effect(called_at);
                self.return_rule.record_failure(id, at);
            }
            CallOutcome::Delivered | CallOutcome::Uncertain => {
                webhook.answer_maybe_missed |= outcome == CallOutcome::Uncertain;
                webhook.record_possible_effect(called_at);
                if webhook.delivered_at.is_none() {
                    (webhook.delivered_at, webhook.delivering_call_at) = (Some(at), called_at);
                }
            }
        }
    }

    /// A second copy of an answer to an earlier call was written to the connection on which a call of the
    /// webhook is in flight.
    pub fn record_copied_answer(&mut self, id: WebhookId, at: f64) {
        if let Some(webhook) = self.webhooks.get_mut(&id) {
            webhook.copied_answer_at = Some(at);
        }
    }

    /// The connection that carried the webhook's last call ended, before or after the call's answer.
    /// `may_have_stopped` tells whether the sender may have stopped waiting for the answer by then. A sender
    /// cancels calls only of webhooks that must not run twice.
    pub fn record_connection_end(&mut self, id: WebhookId, at: f64, may_have_stopped: bool) {
        self.order_rule.end_call(id);
        let Some(webhook) = self.webhooks.get_mut(&id) else { return };
        let may_cross = may_have_stopped || id.event_type == EventType::AtMostOnce;
        webhook.answer_maybe_missed |= may_cross
            && webhook.delivered_at.is_some_and(|delivered_at| at < delivered_at + ANSWER_CROSSING_SECS);
        if let Some(called_at) = webhook.in_flight_since.take() {
            webhook.record_possible_effect(called_at);
            self.return_rule.record_failure(id, at);
        }
    }

    /// The platform was notified that a webhook was given up.
    pub fn record_notice(&mut self, id: WebhookId, at: f64) {
        let Some(webhook) = self.webhooks.get_mut(&id) else {
            return self.record_breach(
                Rule::Lost,
                at,
                Some(id),
                format!("{id} was given up, but no client handed it in"),
            );
        };
        // A notice is repeated when its acknowledgement did not arrive: only the first counts.
        if webhook.notice_at.is_some() {
            return;
        }
        webhook.notice_at = Some(at);
        let restarts = self.restarts.entry(id.sender).or_default();
        let killed_before_reading = webhook.killed_before_reading(restarts);
        let (deadline, delivered_at, answer_maybe_missed) =
            (webhook.deadline, webhook.delivered_at, webhook.answer_maybe_missed);
        let due_at = restarts.overdue_after(
            deadline + self.parameters.final_answer_grace_secs,
            self.parameters.restart_grace_secs,
        );
        let answer_maybe_missed = answer_maybe_missed || killed_before_reading;
        let in_time =
            delivered_at.is_some_and(|delivered_at| delivered_at < deadline - DEADLINE_TOLERANCE_SECS);
        let was_read = delivered_at.is_some_and(|delivered_at| delivered_at < deadline - ANSWER_READ_SECS);
        if was_read && !answer_maybe_missed {
            self.record_breach(Rule::Lost, at, Some(id), format!("{id} was delivered and given up"));
        } else if at > due_at && !in_time {
            self.record_breach(
                Rule::Lost,
                at,
                Some(id),
                format!("{id} was given up {:.3} s late", at - due_at),
            );
        }
        if id.event_type == EventType::Ordered
            && let Some(text) = self.order_rule.check_notice(id, at)
        {
            self.record_breach(Rule::Order, at, Some(id), format!("{id} {text}"));
        }
    }

    /// From this version on, the list names an endpoint as draining.
    pub fn record_drain_listed(&mut self, endpoint: u32, version: u64) {
        self.drain_rule.record_listed(endpoint, version);
    }

    /// The endpoint no longer drains.
    pub fn record_drain_end(&mut self, endpoint: u32) {
        self.drain_rule.record_end(endpoint);
    }

    /// A version of the list was written to a sender.
    pub fn record_list_sent(&mut self, sender: u16, version: u64, at: f64) {
        self.drain_rule.record_list_sent(sender, version, at);
    }

    /// A client sent a complete request over a new connection, which ended at `ended_at` without an answer.
    pub fn record_unanswered(&mut self, id: WebhookId, sent_at: f64, ended_at: f64) {
        self.unanswered_requests.push(UnansweredRequest { id, sent_at, ended_at });
    }

    /// Judges the requests without an answer. This has to wait until it is known when processes ended.
    fn judge_unanswered(&mut self) {
        for UnansweredRequest { id, sent_at, ended_at } in std::mem::take(&mut self.unanswered_requests) {
            let in_connection_flood = |(sender, from, to): &(u16, f64, f64)| {
                *sender == id.sender && *from < ended_at && sent_at < *to + UNREAD_ANSWER_SECS
            };
            // A process that ended at that time cannot have answered anybody.
            let restarts = self.restarts.get(&id.sender);
            let stopped = restarts.is_some_and(|sender_restarts| {
                sender_restarts.stopped_within(sent_at - UNREAD_ANSWER_SECS, ended_at + ANSWER_CROSSING_SECS)
            });
            if !stopped && !self.connection_floods.iter().any(in_connection_flood) {
                let text = format!("{id} was handed in over a new connection, which ended without an answer");
                self.record_breach(Rule::Lost, ended_at, Some(id), text);
            }
        }
    }

    /// Idle clients use up a sender's descriptors between two times: it may close new connections unread
    /// meanwhile.
    pub fn record_connection_flood(&mut self, sender: u16, from: f64, to: f64) {
        self.connection_floods.push((sender, from, to));
    }

    /// A client that stopped in the middle of a request at `since` has got no error and no end of its
    /// connection.
    pub fn record_stalled_client(&mut self, sender: u16, since: f64, now: f64) {
        let stopped = self
            .restarts
            .get(&sender)
            .is_some_and(|sender_restarts| sender_restarts.stopped_within(since, now));
        let waited_secs = now - since;
        if !stopped && waited_secs > self.parameters.stalled_client_limit_secs {
            let text = format!(
                "a client of sender {sender} that stopped in the middle of a request got no answer in \
                 {waited_secs:.1} s"
            );
            self.record_breach(Rule::Clients, now, None, text);
        }
    }

    /// A sender was asked to terminate, or killed.
    pub fn record_sender_stop(&mut self, sender: u16, at: f64) {
        self.restarts.entry(sender).or_default().downtimes.push((at, None));
    }

    /// The sender's process has ended, at once or some time after it was asked to.
    pub fn record_sender_exit(&mut self, sender: u16, at: f64) {
        self.restarts.entry(sender).or_default().exits.push(at);
        // The folder lasts, so the next process knows what this one was told, but for what it may not have
        // read.
        let read_until = at - UNREAD_ANSWER_SECS;
        let was_read = |asked_at: f64| asked_at < read_until;
        self.waits
            .retain(|(waiting_sender, _), (asked_at, _)| *waiting_sender != sender || was_read(*asked_at));
        self.return_rule.record_sender_exit(sender, read_until);
    }

    /// The sender is ready again.
    pub fn record_sender_ready(&mut self, sender: u16, at: f64) {
        if let Some((_, ready_at)) = self.restarts.entry(sender).or_default().downtimes.last_mut() {
            *ready_at = Some(at);
        }
    }

    /// An outage begins of a destination that takes `calls_per_sec` when it is well.
    pub fn record_outage_start(&mut self, destination: u32, at: f64, calls_per_sec: f64) {
        self.return_rule.record_outage_start(destination, at, calls_per_sec);
    }

    /// The destination is back, and cold.
    pub fn record_outage_end(&mut self, destination: u32, at: f64) {
        self.return_rule.record_outage_end(destination, at);
    }

    /// Webhooks that were accepted and have no final answer.
    pub fn pending_count(&self) -> u64 {
        let is_pending = |webhook: &&WebhookState| {
            webhook.client_answer == ClientAnswer::Accepted
                && webhook.delivered_at.is_none()
                && webhook.notice_at.is_none()
        };
        self.webhooks.values().filter(is_pending).count() as u64
    }

    /// Ends the judgement at `now`: every webhook without a final answer that is overdue counts as lost.
    /// Returns the counts and the breaches that were kept.
    pub fn finish(&mut self, now: f64) -> (RunCounts, Vec<Breach>) {
        self.judge_unanswered();
        let mut counts = RunCounts::default();
        let mut lost = Vec::new();
        for (id, webhook) in &self.webhooks {
            counts.calls += u64::from(webhook.call_count);
            match webhook.client_answer {
                ClientAnswer::Unanswered => counts.unanswered += 1,
                ClientAnswer::Refused => counts.refused += 1,
                ClientAnswer::Accepted => counts.accepted += 1,
            }
            let delivered = webhook
                .delivered_at
                .is_some_and(|delivered_at| delivered_at < webhook.deadline + DEADLINE_TOLERANCE_SECS);
            counts.delivered += u64::from(delivered);
            counts.given_up += u64::from(!delivered && webhook.notice_at.is_some());
            if webhook.client_answer != ClientAnswer::Accepted || delivered || webhook.notice_at.is_some() {
                continue;
            }
            let due_at = webhook.deadline + self.parameters.final_answer_grace_secs;
            let restarts = self.restarts.get(&id.sender);
            let due_at = restarts.map_or(due_at, |sender_restarts| {
                sender_restarts.overdue_after(due_at, self.parameters.restart_grace_secs)
            });
            if now > due_at { lost.push(*id) } else { counts.pending += 1 }
        }
        lost.sort_unstable();
        for id in lost {
            self.record_breach(
                Rule::Lost,
                now,
                Some(id),
                format!("{id} was accepted and has no final answer"),
            );
        }
        counts.breaches = self.breach_count;
        (counts, std::mem::take(&mut self.kept_breaches))
    }
}
