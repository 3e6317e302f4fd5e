//! Connects the event loop to the decision module. Events become inputs of the module; what it requests
//! becomes journal records and actions for the event loop (the driver). The bridge itself decides nothing.

mod calls;
mod endpoint_list;

use crate::backlog::{Backlog, PendingWebhook};
use crate::clients::{IncomingWebhook, Reply};
use crate::config::Config;
use crate::counters::{Counters, WebhookEvent};
use crate::endpoints::CallId;
use crate::journal::{AttemptHistory, FinalAnswer, Journal, Webhook, hash_ordering_key};
use crate::list::EndpointListUpdate;
use crate::notices::Notices;
use crate::withheld::{RETRY_DELAY_SECS, WithheldAnswers};
use scalebarrow::{ActionSink, ScopeMemory, Sender};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use tracing::{debug, error, info, warn};

/// The number of recently ended webhooks whose ids are remembered: a few seconds' worth at hundreds per
/// second.
const MAX_RECENTLY_ENDED: usize = 1024;

/// A 200 that is received after the TTL delivers nothing, and the platform waits for a final answer. The
/// platform's TTL starts at the last byte of the client's request, the sender's a little later, when it has
/// read the request. A delivery therefore counts as late from this long before the TTL ends here; the
/// decision module gives up queued webhooks by the same margin. A notice for a webhook that was delivered in
/// time after all does no harm.
const LATE_DELIVERY_MARGIN_SECS: f64 = 0.005;

/// The most webhooks that go from the backlog to the decision module in one iteration of the event loop.
const MAX_RESUMED_PER_ITERATION: usize = 100;
/// Delay before another try when the journal cannot be read.
const READ_RETRY_DELAY_SECS: f64 = 0.1;

/// What the driver has to do.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Stop waiting for the attempt of the webhook with this number.
    CancelAttempt(u64),
    /// Close the idle connections to the endpoint with this name.
    CloseIdleConnections(String),
    /// Call [`Bridge::wake`] after this many seconds.
    WakeAfter(f64),
    /// Start or stop the watch of the endpoint list.
    WatchList(bool),
}

/// What the decision module has requested and the bridge has not yet handled.
#[derive(Default)]
struct Requested {
    /// Attempts to start: webhook number, endpoint, and when to give up.
    attempts: Vec<(u64, String, f64)>,
    /// Final answers by webhook number.
    final_answers: Vec<(u64, FinalAnswer)>,
    actions: Vec<Action>,
    /// What has to be remembered of destinations and endpoints.
    memories: Vec<ScopeMemory>,
}

impl ActionSink for Requested {
    fn start_attempt(&mut self, number: u64, endpoint: &str, give_up_at: f64) {
        self.attempts.push((number, endpoint.to_owned(), give_up_at));
    }
    // A webhook never has two attempts at a time, so its number identifies the attempt.
    fn cancel_attempt(&mut self, number: u64, _attempt_number: u32) {
        self.actions.push(Action::CancelAttempt(number));
    }
    fn reject(&mut self, number: u64, retry_after: f64) {
        self.final_answers.push((number, FinalAnswer::Rejected(retry_after)));
    }
    fn dead_letter(&mut self, number: u64) {
        self.final_answers.push((number, FinalAnswer::DeadLettered));
    }
    fn schedule_wake(&mut self, delay: f64, _handle: u64) {
        self.actions.push(Action::WakeAfter(delay));
    }
    fn watch_list(&mut self, enabled: bool) {
        self.actions.push(Action::WatchList(enabled));
    }
    fn close_idle_connections(&mut self, endpoint: &str) {
        self.actions.push(Action::CloseIdleConnections(endpoint.to_owned()));
    }
    fn store_memory(&mut self, memory: ScopeMemory) {
        self.memories.push(memory);
    }
    fn log(&mut self, text: &str) {
        info!(text, "decision module");
    }
}

/// Whether a call may be written to its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteDecision {
    /// It may.
    Write,
    /// It may not: something changed after the call was decided.
    HoldBack,
    /// It may not: the attempt could not be recorded in the journal.
    JournalFailed,
}

/// What the list says about an endpoint.
struct EndpointInfo {
    address: SocketAddr,
    zone: String,
    /// The most webhooks in one call.
    max_batch: usize,
    /// Its last start by the wall clock of the list; 0 if unknown.
    started_unix_ms: f64,
}

/// Describes the first attempt that may have run, for the log: its zone and how long ago it started.
fn describe_first_attempt(history: &AttemptHistory, now: f64) -> String {
    let first = history.may_have_run.as_ref().or(history.in_flight.as_ref());
    first.map_or_else(
        || "none".to_owned(),
        |(zone, started_at)| format!("{zone} {:.3} s ago", now - started_at),
    )
}

/// Logs what is remembered of a destination or endpoint.
fn log_memory(memory: &ScopeMemory, now: f64, event: &str) {
    let (dest, ep) = (memory.destination, memory.endpoint.as_deref().unwrap_or("all"));
    let wait_left = (memory.wait_until - now).max(0.0);
    if memory.outage.is_some() {
        info!(code = "outage", event, dest, ep, outage = ?memory.outage, wait_left, "an outage may not be over");
    } else {
        debug!(code = "outage", event, dest, ep, wait_left, "no outage is known");
    }
}

/// Logs what the journal held at start: how many webhooks of each kind, and the age of the oldest attempt
/// that may have run.
fn log_journal_contents(journal: &Journal, pending: &[PendingWebhook], now: f64) {
    let (mut attempted_count, mut may_have_run_count, mut oldest_age) = (0, 0, 0.0_f64);
    for webhook in pending {
        let history = journal.attempt_history(webhook.number);
        attempted_count += usize::from(history.count > 0);
        if let Some((_, started_at)) = history.may_have_run.as_ref().or(history.in_flight.as_ref()) {
            may_have_run_count += 1;
            oldest_age = oldest_age.max(now - started_at);
        }
    }
    let expired_count = pending.iter().filter(|webhook| webhook.expires_at <= now).count();
    let (open_count, unacknowledged_count, same_boot) =
        (pending.len(), journal.unacknowledged_numbers().len(), journal.is_same_boot());
    info!(
        code = "found",
        open = open_count,
        tried = attempted_count,
        may_have_run = may_have_run_count,
        over = expired_count,
        owed = unacknowledged_count,
        oldest = oldest_age,
        same_boot,
        "contents of the journal"
    );
}

/// The state of a sender apart from its sockets and timers.
pub struct Bridge {
    sender: Sender,
    requested: Requested,
    journal: Journal,
    /// The notices of final answers to the platform.
    pub notices: Notices,
    withheld: WithheldAnswers,
    /// The counts of what happened to webhooks.
    pub counters: Counters,
    /// By name, the endpoints that may be called.
    endpoints: BTreeMap<String, EndpointInfo>,
    /// Webhooks that the decision module does not know yet: those found at start, and new ones that have to
    /// follow one of them.
    backlog: Backlog,
    /// Until when the backlog is paused after a read error.
    backlog_paused_until: Option<f64>,
    /// When the list was last updated.
    list_updated_at: f64,
    /// The ids of the webhooks that ended last, also in the order in which they did.
    recently_ended: BTreeSet<String>,
    /// Open webhooks that were handed in more than once, each time with the same id.
    accepted_again: BTreeSet<u64>,
    recently_ended_order: VecDeque<String>,
    next_number: u64,
    next_call_id: CallId,
    event_types: BTreeSet<String>,
    /// Whether responses of endpoints carry reports of the destination's limit.
    uses_limit_reports: bool,
    config: Config,
}

impl Bridge {
    /// Restores the state from the journal. Unacknowledged final answers are due for a notice again; open
    /// webhooks go back to the decision module in bounded steps, by [`Bridge::run_maintenance`].
    pub fn open(config: Config, mut journal: Journal, now: f64) -> Self {
        let pending = journal.take_pending();
        log_journal_contents(&journal, &pending, now);
        let backlog = pending.into_iter().collect();
        let mut bridge = Bridge {
            sender: config.create_sender(now),
            requested: Requested::default(),
            notices: Notices::new(),
            withheld: WithheldAnswers::default(),
            counters: Counters::new(now),
            endpoints: BTreeMap::new(),
            backlog,
            backlog_paused_until: None,
            list_updated_at: now,
            recently_ended: BTreeSet::new(),
            accepted_again: BTreeSet::new(),
            recently_ended_order: VecDeque::new(),
            next_number: journal.next_number(),
            next_call_id: CallId::FIRST,
            event_types: config.event_types(),
            uses_limit_reports: config.responses_carry_reports(),
            journal,
            config,
        };
        bridge.journal.unacknowledged_numbers().into_iter().for_each(|number| bridge.notices.push(number));
        bridge.journal.take_ended_ids().into_iter().for_each(|id| bridge.remember_ended(id));
        for memory in bridge.journal.take_memories() {
            log_memory(&memory, now, "found");
            bridge.sender.remember(now, &memory);
        }
        let known = std::mem::take(&mut bridge.config.known_list.endpoints);
        bridge.update_list(
            now,
            &EndpointListUpdate { version: 0, is_complete: true, endpoints: known },
            true,
        );
        bridge
    }

    /// Does a bounded part of the background work: logs the counters, compacts the journal, reports withheld
    /// answers and hands webhooks of the backlog to the decision module.
    pub fn run_maintenance(&mut self, now: f64) {
        self.counters.log_if_due(now, self.journal.open_count(), self.notices.len());
        if let Err(e) = self.journal.run_compaction_step() {
            warn!(code = "journal-write", %e, "the journal could not be compacted");
        }
        for number in self.journal.take_damaged() {
            self.finish_damaged_webhook(now, number);
            self.sender.withdraw(now, number, &mut self.requested);
            self.apply_final_answers(now);
        }
        if self.withheld.retry_due(now) {
            self.report_withheld_answers(now);
        }
        if self.backlog_paused_until.is_some_and(|paused_until| now < paused_until) {
            return;
        }
        self.backlog_paused_until = None;
        for _ in 0..MAX_RESUMED_PER_ITERATION {
            let Some(webhook) = self.backlog.take_next(now) else { break };
            self.resume_webhook(now, webhook);
            if self.backlog_paused_until.is_some() {
                break;
            }
        }
    }

    /// Tries to write the missing records of withheld answers and queues notices for the answers that may be
    /// reported.
    fn report_withheld_answers(&mut self, now: f64) {
        let records_written = self.journal.write_deferred().is_ok();
        for number in self.withheld.take_reportable(now, records_written) {
            self.notices.push(number);
        }
        if !self.withheld.is_empty() {
            self.requested.actions.push(Action::WakeAfter(RETRY_DELAY_SECS));
        }
    }

    /// Hands a webhook of the backlog to the decision module.
    fn resume_webhook(&mut self, now: f64, pending: PendingWebhook) {
        let number = pending.number;
        let webhook = match self.journal.read_webhook(number) {
            Ok(Some(webhook)) => webhook,
            Ok(None) => return,
            Err(error) if error.kind() == ErrorKind::InvalidData => {
                return self.finish_damaged_webhook(now, number);
            }
            Err(error) => {
                error!(
                    code = "journal-read",
                    number,
                    %error,
                    "a webhook cannot be read; it is read again later"
                );
                self.backlog.add(pending);
                self.backlog_paused_until = Some(now + READ_RETRY_DELAY_SECS);
                return self.requested.actions.push(Action::WakeAfter(READ_RETRY_DELAY_SECS));
            }
        };
        self.counters.count(WebhookEvent::Resumed);
        let history = self.journal.attempt_history(number);
        let (was_in_flight, first_attempt, ttl_left) =
            (history.in_flight.is_some(), describe_first_attempt(&history, now), webhook.expires_at - now);
        info!(
            code = "resumed",
            id = webhook.id,
            tries = history.count,
            out = was_in_flight,
            first = first_attempt,
            left = ttl_left,
            "a webhook of the journal goes to the decision module"
        );
        let may_have_run = history
            .may_have_run
            .as_ref()
            .or(history.in_flight.as_ref())
            .map(|(zone, started_at)| (zone.as_str(), *started_at));
        let (ordering_key, customer) = (webhook.ordering_key.as_deref(), webhook.customer.as_deref());
        let (event_type, destination, requested) =
            (&webhook.event_type, webhook.destination, &mut self.requested);
        self.sender.resume(
            now,
            number,
            event_type,
            destination,
            ordering_key,
            customer,
            ttl_left,
            history.count,
            may_have_run,
            requested,
        );
        self.apply_final_answers(now);
    }

    /// Applies a configuration that was read again. Open webhooks and unacknowledged answers are kept.
    pub fn apply_config(&mut self, config: Config) {
        config.apply_to(&mut self.sender);
        (self.uses_limit_reports, self.event_types) =
            (config.responses_carry_reports(), config.event_types());
        self.journal.set_max_bytes(config.limits.disk_bytes());
        self.config = config;
    }

    /// The configuration in use.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The names of the event types.
    pub fn event_types(&self) -> &BTreeSet<String> {
        &self.event_types
    }

    /// The address of an endpoint; `None` if it is not listed.
    pub fn endpoint_address(&self, endpoint: &str) -> Option<SocketAddr> {
        self.endpoints.get(endpoint).map(|info| info.address)
    }

    /// Records what the decision module has just asked to remember.
    fn store_memories(&mut self, now: f64) {
        for memory in std::mem::take(&mut self.requested.memories) {
            log_memory(&memory, now, "changed");
            if let Err(e) = self.journal.record_memory(&memory, now) {
                warn!(code = "journal-write", %e, "an outage or a wait could not be recorded yet");
            }
        }
    }

    /// Records what has to be remembered, then finishes the webhooks for which the decision module has just
    /// requested a final answer. One that was rejected when it was handed in is not in the journal and is
    /// skipped: its answer is the reply to the client.
    fn apply_final_answers(&mut self, now: f64) {
        self.store_memories(now);
        for (number, answer) in std::mem::take(&mut self.requested.final_answers) {
            self.finish_webhook(now, number, answer);
        }
    }

    /// Remembers the id of a webhook that ended, so that it is not accepted again.
    fn remember_ended(&mut self, id: String) {
        if self.recently_ended.insert(id.clone()) {
            self.recently_ended_order.push_back(id);
        }
        for id in self
            .recently_ended_order
            .drain(..self.recently_ended_order.len().saturating_sub(MAX_RECENTLY_ENDED))
        {
            self.recently_ended.remove(&id);
        }
    }

    /// Gives up a webhook if its record is damaged.
    fn finish_damaged_webhook(&mut self, now: f64, number: u64) {
        let Err(error) = self.journal.read_webhook(number) else { return };
        if error.kind() != ErrorKind::InvalidData {
            return;
        }
        self.counters.count(WebhookEvent::Damaged);
        let history = self.journal.attempt_history(number);
        let may_have_run = history.may_have_run.is_some() || history.in_flight.is_some();
        let id = self.journal.webhook_id(number);
        if id.is_some() {
            error!(code = "journal-damaged", id, number, may_have_run, %error, "a damaged webhook is given up");
        } else {
            error!(
                code = "journal-damaged",
                number,
                may_have_run,
                %error,
                "a damaged webhook is given up, and the platform cannot be notified, as its id is damaged as well"
            );
        }
        let answer = if may_have_run { FinalAnswer::DeadLettered } else { FinalAnswer::Rejected(0.0) };
        self.finish_webhook(now, number, answer);
    }

    /// Records a webhook's final answer and queues the notice, unless the platform needs none.
    fn finish_webhook(&mut self, now: f64, number: u64, answer: FinalAnswer) {
        if !self.journal.is_open(number) {
            return;
        }
        self.backlog.remove(number);
        self.accepted_again.remove(&number);
        let (webhook, attempt_count) =
            (self.journal.open_webhook(number), self.journal.attempt_history(number).count);
        let written = self.journal.record_final_answer(number, answer);
        if let Err(e) = &written {
            error!(
                code = "journal-write",
                %e,
                "a final answer could not be recorded; it is reported once it is"
            );
        }
        let expires_at = webhook.as_ref().map_or(now, |webhook| webhook.expires_at);
        if let Some(webhook) = webhook {
            if answer != FinalAnswer::Over {
                let (id, destination, ttl_left) =
                    (&webhook.id, webhook.destination, webhook.expires_at - now);
                let is_dead_letter = answer == FinalAnswer::DeadLettered;
                self.counters.count(if is_dead_letter {
                    WebhookEvent::DeadLettered
                } else {
                    WebhookEvent::Returned
                });
                info!(
                    code = "given-up",
                    id,
                    dest = destination,
                    end = ?answer,
                    tries = attempt_count,
                    left = ttl_left,
                    "a webhook is given up; the platform has to be notified"
                );
            }
            self.remember_ended(webhook.id.clone());
        }
        match answer {
            FinalAnswer::Over => {}
            _ if written.is_ok() || expires_at <= now + LATE_DELIVERY_MARGIN_SECS => {
                self.notices.push(number)
            }
            _ => {
                self.counters.count(WebhookEvent::Withheld);
                self.withheld.add(now, number, expires_at);
                self.requested.actions.push(Action::WakeAfter(RETRY_DELAY_SECS));
            }
        }
    }

    /// A client hands in a webhook. Returns the reply, and the webhook's number if it was accepted just now.
    pub fn hand_in(&mut self, now: f64, incoming: IncomingWebhook, body: Vec<u8>) -> (Reply, Option<u64>) {
        // It is handed in again because the client's connection was closed, or by another client.
        // What was accepted first stays as it is, whether it is still open or has just ended.
        let open_number = self.journal.find_open(&incoming.id);
        if self.recently_ended.contains(&incoming.id) || open_number.is_some() {
            self.accepted_again.extend(open_number);
            self.counters.count(WebhookEvent::Duplicate);
            debug!(code = "known", id = incoming.id, "a webhook with this id was accepted before");
            return (Reply::Accepted, None);
        }
        let (expires_at, ttl_left) = (now + incoming.remaining_secs, incoming.remaining_secs);
        let IncomingWebhook { id, event_type, destination, ordering_key, customer, token, .. } = incoming;
        let webhook =
            Webhook { id, event_type, destination, ordering_key, customer, token, expires_at, body };
        // The decision module cannot judge whether there are too many webhooks while it does not know all of
        // them.
        let too_many = !self.backlog.is_empty() && self.journal.open_count() >= self.config.capacity().1;
        if too_many || !self.journal.has_space_for(&webhook) {
            self.counters.count(WebhookEvent::NoSpace);
            return (Reply::Unavailable, None);
        }
        let number = self.next_number;
        self.next_number += 1;
        if let Some(key_hash) = self.backlog_key(&webhook) {
            return self.accept_into_backlog(number, webhook, key_hash);
        }
        let (ordering_key, customer) = (webhook.ordering_key.as_deref(), webhook.customer.as_deref());
        self.sender.accept(
            now,
            number,
            &webhook.event_type,
            destination,
            ordering_key,
            customer,
            ttl_left,
            &mut self.requested,
        );
        let immediate_answer =
            self.requested.final_answers.iter().find(|entry| entry.0 == number).map(|entry| entry.1);
        let id = webhook.id.clone();
        let recorded = immediate_answer.is_none().then(|| self.journal.record_webhook(number, webhook));
        self.apply_final_answers(now);
        match (immediate_answer, recorded) {
            (Some(FinalAnswer::Rejected(retry_after)), _) => {
                self.counters.count(WebhookEvent::Rejected);
                (Reply::Rejected(retry_after), None)
            }
            (Some(_), _) | (None, None) => (Reply::Status(500), None),
            (None, Some(Ok(()))) => {
                self.counters.count(WebhookEvent::Accepted);
                debug!(
                    code = "taken",
                    id,
                    number,
                    dest = destination,
                    left = ttl_left,
                    "a webhook is accepted"
                );
                (Reply::Accepted, Some(number))
            }
            (None, Some(Err(e))) => {
                self.counters.count(WebhookEvent::NoSpace);
                error!(code = "journal-write", %e, "a webhook could not be recorded and is not accepted");
                self.sender.withdraw(now, number, &mut self.requested);
                self.apply_final_answers(now);
                (Reply::Unavailable, None)
            }
        }
    }

    /// The hash of a webhook's ordering key, if a webhook with this key is still in the backlog.
    fn backlog_key(&self, webhook: &Webhook) -> Option<u64> {
        let ordering_key =
            webhook.ordering_key.as_deref().filter(|_| self.config.is_ordered(&webhook.event_type))?;
        Some(hash_ordering_key(ordering_key)).filter(|key_hash| self.backlog.has_key(*key_hash))
    }

    /// Accepts a webhook that goes to the decision module after others in the backlog with its ordering key.
    fn accept_into_backlog(&mut self, number: u64, webhook: Webhook, key_hash: u64) -> (Reply, Option<u64>) {
        let (id, expires_at) = (webhook.id.clone(), webhook.expires_at);
        if let Err(e) = self.journal.record_webhook(number, webhook) {
            error!(code = "journal-write", %e, "a webhook could not be recorded and is not accepted");
            return (Reply::Unavailable, None);
        }
        self.counters.count(WebhookEvent::Accepted);
        debug!(
            code = "taken",
            id, number, "a webhook is accepted and waits for others with its ordering key"
        );
        self.backlog.add(PendingWebhook { number, expires_at, key_hash: Some(key_hash) });
        (Reply::Accepted, Some(number))
    }

    /// The client disconnected before it received the whole response to its webhook: the webhook is
    /// withdrawn, unless another request for it was accepted.
    pub fn withdraw(&mut self, now: f64, number: u64) {
        if self.accepted_again.contains(&number) {
            return;
        }
        if let Some(webhook) = self.journal.open_webhook(number) {
            let id = &webhook.id;
            self.counters.count(WebhookEvent::Withdrawn);
            info!(code = "withdrawn", id, number, "the client disconnected before it received the response");
        }
        self.backlog.remove(number);
        // The client may hand it in again.
        if let Err(e) = self.journal.record_withdrawal(number) {
            warn!(
                code = "journal-write",
                %e,
                "a withdrawal could not be recorded; the webhook may be open again after a restart"
            );
        }
        self.sender.withdraw(now, number, &mut self.requested);
        self.apply_final_answers(now);
    }

    /// The wake timer that [`Action::WakeAfter`] requested has expired.
    pub fn wake(&mut self, now: f64) {
        self.sender.wake(now, 0, &mut self.requested);
        self.apply_final_answers(now);
    }

    /// The process will exit at `shutdown_at`. Attempts without an outcome by then may have run.
    pub fn begin_shutdown(&mut self, now: f64, shutdown_at: f64) {
        self.sender.begin_shutdown(now, shutdown_at, &mut self.requested);
        self.apply_final_answers(now);
    }

    /// Takes the actions that were requested of the driver.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.requested.actions)
    }

    /// The next notice as a request to the platform at `host`.
    pub fn next_notice(&mut self, host: &SocketAddr) -> Vec<u8> {
        let Bridge { notices, journal, .. } = self;
        let mut ids = Vec::new();
        let request = notices.next_request(host, |number| {
            let (id, answer) = journal.unacknowledged_answer(number)?;
            ids.push(id.clone());
            Some((id, answer))
        });
        debug!(code = "notice", ?ids, "a notice of final answers is sent");
        request
    }

    /// The platform acknowledged the notices of these webhooks' final answers.
    pub fn notices_acknowledged(&mut self, numbers: &[u64]) {
        debug!(code = "told", count = numbers.len(), "a notice of final answers is acknowledged");
        for number in numbers {
            if let Err(e) = self.journal.record_acknowledgement(*number) {
                warn!(
                    code = "journal-write",
                    %e,
                    "an acknowledgement could not be recorded; its notice may be repeated"
                );
            }
        }
    }

    /// Whether there are requests of the decision module to handle, or background work to do, without waiting
    /// for events.
    pub fn has_work(&self) -> bool {
        let backlog_is_due = !self.backlog.is_empty() && self.backlog_paused_until.is_none();
        let has_requests = !self.requested.actions.is_empty() || !self.requested.attempts.is_empty();
        has_requests || backlog_is_due || self.journal.needs_compaction()
    }

    /// Whether no webhook is open and no final answer is unreported or unacknowledged.
    pub fn is_idle(&self) -> bool {
        self.journal.open_count() == 0 && self.notices.is_empty() && self.withheld.is_empty()
    }
}
