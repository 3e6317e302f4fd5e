//! Between the peers and the decision module: what they tell becomes inputs, what the module asks for becomes
//! records in the journal and actions for the driver. It decides nothing.

use crate::backlog::{Backlog, Resumable};
use crate::clients::{IncomingWebhook, Reply};
use crate::clock;
use crate::config::Config;
use crate::counters::{Counters, Transition};
use crate::endpoints::{self, AttemptResult, Call, CalledWebhook, Load, ResponseHead};
use crate::journal::{End, Journal, Tries, Webhook, key_hash};
use crate::list::{EndpointListUpdate, Health};
use crate::notices::Notices;
use crate::withheld::{RETRY_PAUSE, Withheld};
use scalebarrow::{ActionSink, ListUpdate, ListedEndpoint, Outcome, Sender};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use tracing::{debug, error, info, warn};

/// Ids of webhooks that ended: those of some seconds at hundreds in a second.
const MOST_RECENT: usize = 1024;

/// A 200 that comes when a webhook's time is up delivers nothing, and the platform waits for its final answer. The
/// platform counts from the last byte of what was handed in, this sender from when it was read, a little later: as much
/// earlier as the module gives up what it holds. A notice for one that is over after all does no harm.
const TOO_LATE: f64 = 0.005;

/// Webhooks that go back to the module in one turn after a start, at most.
const RESUMED_AT_ONCE: usize = 100;
/// Before another try where the folder cannot be read.
const READ_PAUSE: f64 = 0.1;

/// What the driver is to do.
#[derive(Debug, PartialEq)]
pub enum Action {
    CancelAttempt(u64),
    CloseIdleConnections(String),
    WakeAfter(f64),
    WatchList(bool),
}

/// What the module asks for while it takes one input.
#[derive(Default)]
struct Asked {
    attempts: Vec<(u64, String, f64)>,
    ends: Vec<(u64, End)>,
    actions: Vec<Action>,
}

impl ActionSink for Asked {
    fn start_attempt(&mut self, webhook: u64, ep: &str, stop_at: f64) {
        self.attempts.push((webhook, ep.to_owned(), stop_at));
    }
    // Never two attempts for a webhook at once: the number alone tells which is meant.
    fn cancel_attempt(&mut self, webhook: u64, _hop: u32) {
        self.actions.push(Action::CancelAttempt(webhook));
    }
    fn reject(&mut self, webhook: u64, come_back: f64) {
        self.ends.push((webhook, End::Rejected(come_back)));
    }
    fn dead_letter(&mut self, webhook: u64) {
        self.ends.push((webhook, End::DeadLettered));
    }
    fn schedule_wake(&mut self, after: f64, _handle: u64) {
        self.actions.push(Action::WakeAfter(after));
    }
    fn watch_list(&mut self, on: bool) {
        self.actions.push(Action::WatchList(on));
    }
    fn close_idle_connections(&mut self, ep: &str) {
        self.actions.push(Action::CloseIdleConnections(ep.to_owned()));
    }
    fn log(&mut self, text: &str) {
        info!(text, "decision module");
    }
}

/// Whether a call may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteDecision {
    Write,
    /// Something came in between that stands against it.
    HoldBack,
    /// It cannot be put down.
    JournalFailed,
}

/// Where an endpoint is reached, and what a call to it may hold.
struct Place {
    dial: SocketAddr,
    zone: String,
    batch: usize,
    /// Its last start as the list told it, on the list's wall clock.
    born_ms: f64,
}

/// The first attempt that may have run, for the log: where and how long ago.
fn told(tries: &Tries, now: f64) -> String {
    let first = tries.ran.as_ref().or(tries.out.as_ref());
    first.map_or_else(|| "none".to_owned(), |(zone, at)| format!("{zone} {:.3} s ago", now - at))
}

/// Logs what a start found: how many webhooks of each kind, and the age of the oldest attempt, by the folder's clock.
fn log_found(journal: &Journal, found: &[Resumable], now: f64) {
    let (mut tried, mut may_have_run, mut oldest) = (0, 0, 0.0_f64);
    for webhook in found {
        let tries = journal.tries(webhook.number);
        tried += usize::from(tries.count > 0);
        if let Some((_, at)) = tries.ran.as_ref().or(tries.out.as_ref()) {
            may_have_run += 1;
            oldest = oldest.max(now - at);
        }
    }
    let over = found.iter().filter(|webhook| webhook.ends_at <= now).count();
    let (open, owed, same_boot) = (found.len(), journal.all_owed().len(), journal.is_same_boot());
    info!(code = "found", open, tried, may_have_run, over, owed, oldest, same_boot, "in the folder");
}

pub struct Bridge {
    sender: Sender,
    asked: Asked,
    journal: Journal,
    pub notices: Notices,
    withheld: Withheld,
    pub counters: Counters,
    places: BTreeMap<String, Place>,
    /// What a start found and the module does not know yet, and until when that rests.
    backlog: Backlog,
    resumes_at: Option<f64>,
    /// When the list was told last.
    listed_at: f64,
    /// The ids of those that ended last.
    recent: BTreeSet<String>,
    recent_order: VecDeque<String>,
    next: u64,
    event_types: BTreeSet<String>,
    reports: bool,
    config: Config,
}

impl Bridge {
    /// The module as the journal left it, but for what is still open: that goes back to it with
    /// [`Bridge::run_maintenance`]. What is owed is due again.
    pub fn open(config: Config, mut journal: Journal, now: f64) -> Self {
        let found = journal.take_resumable();
        log_found(&journal, &found, now);
        let backlog = found.into_iter().collect();
        let mut bridge = Bridge {
            sender: config.create_sender(now),
            asked: Asked::default(),
            notices: Notices::new(),
            withheld: Withheld::default(),
            counters: Counters::new(now),
            places: BTreeMap::new(),
            backlog,
            resumes_at: None,
            listed_at: now,
            recent: BTreeSet::new(),
            recent_order: VecDeque::new(),
            next: journal.next_number(),
            event_types: config.event_types(),
            reports: config.responses_carry_reports(),
            journal,
            config,
        };
        bridge.journal.all_owed().into_iter().for_each(|number| bridge.notices.push(number));
        bridge.journal.take_ended().into_iter().for_each(|id| bridge.remember(id));
        let known = std::mem::take(&mut bridge.config.known_list.endpoints);
        bridge.update_list(
            now,
            &EndpointListUpdate { version: 0, is_complete: true, endpoints: known },
            true,
        );
        bridge
    }

    /// A bounded part of what can be done between turns: the journal is compacted, and what a start found goes back to
    /// the module.
    pub fn run_maintenance(&mut self, now: f64) {
        self.counters.log_due(now, self.journal.open_count(), self.notices.len());
        if let Err(e) = self.journal.step() {
            warn!(code = "journal-write", %e, "the journal cannot be compacted");
        }
        if self.withheld.retry_due(now) {
            self.tell_withheld(now);
        }
        if self.resumes_at.is_some_and(|at| now < at) {
            return;
        }
        self.resumes_at = None;
        for _ in 0..RESUMED_AT_ONCE {
            let Some(next) = self.backlog.next(now) else { break };
            self.resume(now, next);
            if self.resumes_at.is_some() {
                break;
            }
        }
    }

    /// Tells the final answers that waited for their records, where these can be written now.
    fn tell_withheld(&mut self, now: f64) {
        let written = self.journal.write_deferred().is_ok();
        for number in self.withheld.take(now, written) {
            self.notices.push(number);
        }
        if !self.withheld.is_empty() {
            self.asked.actions.push(Action::WakeAfter(RETRY_PAUSE));
        }
    }

    /// A webhook that was taken on by an earlier process, or waited behind one, goes to the module.
    fn resume(&mut self, now: f64, next: Resumable) {
        let number = next.number;
        let webhook = match self.journal.webhook(number) {
            Ok(Some(webhook)) => webhook,
            Ok(None) => return,
            Err(error) if error.kind() == ErrorKind::InvalidData => {
                error!(code = "journal-read", number, %error, "a webhook is damaged and given up");
                return self.close(now, number, End::Over);
            }
            Err(error) => {
                error!(code = "journal-read", number, %error, "a webhook cannot be read yet");
                self.backlog.add(next);
                self.resumes_at = Some(now + READ_PAUSE);
                return self.asked.actions.push(Action::WakeAfter(READ_PAUSE));
            }
        };
        self.counters.count(Transition::Resumed);
        let tries = self.journal.tries(number);
        let (out, first, left) = (tries.out.is_some(), told(&tries, now), webhook.ends_at - now);
        info!(
            code = "resumed",
            id = webhook.id,
            tries = tries.count,
            out,
            first,
            left,
            "back from the folder"
        );
        let ran = tries.ran.as_ref().or(tries.out.as_ref()).map(|(zone, at)| (zone.as_str(), *at));
        let (key, customer) = (webhook.order_key.as_deref(), webhook.customer.as_deref());
        let (event_type, dest, out) = (&webhook.event_type, webhook.dest, &mut self.asked);
        self.sender.resume(now, number, event_type, dest, key, customer, left, tries.count, ran, out);
        self.settle(now);
    }

    /// The configuration was read again. What is held and owed goes on.
    pub fn apply_config(&mut self, config: Config) {
        config.apply_to(&mut self.sender);
        (self.reports, self.event_types) = (config.responses_carry_reports(), config.event_types());
        self.journal.set_most(config.limits.disk_bytes());
        self.config = config;
    }

    pub fn config(&self) -> &Config {
        &self.config
    }

    pub fn event_types(&self) -> &BTreeSet<String> {
        &self.event_types
    }

    pub fn endpoint_address(&self, ep: &str) -> Option<SocketAddr> {
        self.places.get(ep).map(|p| p.dial)
    }

    /// Final answers that the last input brought, other than for a webhook just handed in.
    fn settle(&mut self, now: f64) {
        for (number, end) in std::mem::take(&mut self.asked.ends) {
            self.close(now, number, end);
        }
    }

    /// The id of one that has ended: handed in again, it is not taken on again.
    fn remember(&mut self, id: String) {
        if self.recent.insert(id.clone()) {
            self.recent_order.push_back(id);
        }
        for id in self.recent_order.drain(..self.recent_order.len().saturating_sub(MOST_RECENT)) {
            self.recent.remove(&id);
        }
    }

    fn close(&mut self, now: f64, number: u64, end: End) {
        if !self.journal.is_open(number) {
            return;
        }
        self.backlog.remove(number);
        let (webhook, tries) = (self.journal.open_webhook(number), self.journal.tries(number).count);
        let written = self.journal.end(number, end);
        if let Err(e) = &written {
            error!(code = "journal-write", %e, "a final answer could not be written; it is told once it can be");
        }
        let ends_at = webhook.as_ref().map_or(now, |webhook| webhook.ends_at);
        if let Some(webhook) = webhook {
            if end != End::Over {
                let (id, dest, left) = (&webhook.id, webhook.dest, webhook.ends_at - now);
                let dead = end == End::DeadLettered;
                self.counters.count(if dead { Transition::DeadLettered } else { Transition::Returned });
                info!(code = "given-up", id, dest, ?end, tries, left, "a final answer is owed");
            }
            self.remember(webhook.id.clone());
        }
        match end {
            End::Over => {}
            _ if written.is_ok() || ends_at <= now + TOO_LATE => self.notices.push(number),
            _ => {
                self.counters.count(Transition::Withheld);
                self.withheld.add(now, number, ends_at);
                self.asked.actions.push(Action::WakeAfter(RETRY_PAUSE));
            }
        }
    }

    /// A webhook is handed in. The number is there where it was taken on just now.
    pub fn hand_in(&mut self, now: f64, from: IncomingWebhook, body: Vec<u8>) -> (Reply, Option<u64>) {
        // Handed in once more because its connection closed under it, or by somebody else: it is taken on already, and
        // what was taken on stays as it is, whether it is open or just over.
        if self.recent.contains(&from.id) || self.journal.find(&from.id).is_some() {
            self.counters.count(Transition::Known);
            debug!(code = "known", id = from.id, "handed in again: it is taken on already");
            return (Reply::Accepted, None);
        }
        let (ends_at, left) = (now + from.remaining_secs, from.remaining_secs);
        let IncomingWebhook { id, event_type, dest, order_key, customer, token, .. } = from;
        let webhook = Webhook { id, event_type, dest, order_key, customer, token, ends_at, body };
        // As long as the module does not know all that is held, it cannot judge whether there are too many.
        let too_many = !self.backlog.is_empty() && self.journal.open_count() >= self.config.capacity().1;
        if too_many || !self.journal.has_room(&webhook) {
            self.counters.count(Transition::NoRoom);
            return (Reply::Unavailable, None);
        }
        let number = self.next;
        self.next += 1;
        if let Some(key) = self.waits_behind(&webhook) {
            return self.take_behind(number, webhook, key);
        }
        let (key, customer) = (webhook.order_key.as_deref(), webhook.customer.as_deref());
        self.sender.accept(now, number, &webhook.event_type, dest, key, customer, left, &mut self.asked);
        let at_once = self.asked.ends.iter().find(|e| e.0 == number).map(|e| e.1);
        let id = webhook.id.clone();
        let taken = at_once.is_none().then(|| self.journal.take(number, webhook));
        self.settle(now);
        match (at_once, taken) {
            (Some(End::Rejected(come_back)), _) => {
                self.counters.count(Transition::Rejected);
                (Reply::Rejected(come_back), None)
            }
            (Some(_), _) | (None, None) => (Reply::Status(500), None),
            (None, Some(Ok(()))) => {
                self.counters.count(Transition::Taken);
                debug!(code = "taken", id, number, dest, left, "a webhook is taken on");
                (Reply::Accepted, Some(number))
            }
            (None, Some(Err(e))) => {
                self.counters.count(Transition::NoRoom);
                error!(code = "journal-write", %e, "a webhook could not be taken on");
                self.sender.withdraw(now, number, &mut self.asked);
                self.settle(now);
                (Reply::Unavailable, None)
            }
        }
    }

    /// The hash of a webhook's order key, where others with it are not back in the module yet.
    fn waits_behind(&self, webhook: &Webhook) -> Option<u64> {
        let key = webhook.order_key.as_deref().filter(|_| self.config.is_ordered(&webhook.event_type))?;
        Some(key_hash(key)).filter(|key| self.backlog.has_key(*key))
    }

    /// Takes a webhook on that goes to the module only behind others with its order key.
    fn take_behind(&mut self, number: u64, webhook: Webhook, key: u64) -> (Reply, Option<u64>) {
        let (id, ends_at) = (webhook.id.clone(), webhook.ends_at);
        if let Err(e) = self.journal.take(number, webhook) {
            error!(code = "journal-write", %e, "a webhook could not be taken on");
            return (Reply::Unavailable, None);
        }
        self.counters.count(Transition::Taken);
        debug!(code = "taken", id, number, "a webhook is taken on and waits for others with its key");
        self.backlog.add(Resumable { number, ends_at, key: Some(key) });
        (Reply::Accepted, Some(number))
    }

    /// The client went away before it heard that its webhook is taken on.
    pub fn withdraw(&mut self, now: f64, number: u64) {
        if let Some(webhook) = self.journal.open_webhook(number) {
            let id = &webhook.id;
            self.counters.count(Transition::Withdrawn);
            info!(code = "withdrawn", id, number, "its client went away before it heard that it is taken on");
        }
        self.backlog.remove(number);
        // Its client may hand it in again.
        if let Err(e) = self.journal.withdraw(number) {
            warn!(code = "journal-write", %e, "a withdrawal could not be written; it may come again after a restart");
        }
        self.sender.withdraw(now, number, &mut self.asked);
        self.settle(now);
    }

    pub fn update_list(&mut self, now: f64, news: &EndpointListUpdate, remembered: bool) {
        let mut entries = Vec::new();
        if news.is_complete {
            // Those that left are not called any more; what is on its way has its address already.
            let listed: BTreeSet<&str> = news.endpoints.iter().map(|h| h.name.as_str()).collect();
            let left = self.places.extract_if(.., |host, _| !listed.contains(host.as_str()));
            self.asked.actions.extend(left.map(|(host, _)| Action::CloseIdleConnections(host)));
        }
        for h in &news.endpoints {
            let Some(destination) = h.destination else { continue };
            let ready = h.health == Health::Serving;
            let (endpoint, zone, destination_kind) =
                (h.name.as_str(), h.zone.as_str(), h.destination_kind.as_str());
            let rate_limit = h.rate_limit.filter(|_| self.config.list_has_rates()).unwrap_or(0.0);
            let born_ms = h.started_unix_ms.unwrap_or(0.0);
            let started_at = self.born(now, endpoint, born_ms);
            debug!(code = "endpoint", ep = endpoint, dest = destination, kind = destination_kind, zone, rate = rate_limit, born = started_at, health = ?h.health, "an endpoint is listed");
            entries.push(ListedEndpoint {
                endpoint,
                zone,
                destination_kind,
                destination,
                ready,
                rate_limit,
                started_at,
            });
            if h.health == Health::Deleted {
                self.places.remove(&h.name);
                self.asked.actions.push(Action::CloseIdleConnections(h.name.clone()));
                continue;
            }
            let (dial, zone, batch) = (h.address, h.zone.clone(), self.config.max_batch(&h.destination_kind));
            let old = self.places.insert(h.name.clone(), Place { dial, zone, batch, born_ms });
            if old.is_some_and(|p| p.dial != dial) {
                self.asked.actions.push(Action::CloseIdleConnections(h.name.clone()));
            }
        }
        let mode = match (remembered, news.is_complete) {
            (true, _) => ListUpdate::Remembered,
            (false, true) => ListUpdate::Whole,
            (false, false) => ListUpdate::Changes,
        };
        debug!(code = "listed", seq = news.version, ?mode, "the list is told");
        self.sender.update_list(now, mode, &entries, &mut self.asked);
        self.listed_at = now;
        self.settle(now);
    }

    /// When an endpoint started last, on this process's clock; 0 for long ago. The list tells it on a wall clock, of which
    /// only two things are used: that another time is told than before, which is a start since then, and its age by
    /// the wall clock here, which may be wrong and leads to a slower or quicker ramp at most.
    fn born(&self, now: f64, ep: &str, born_ms: f64) -> f64 {
        if born_ms <= 0.0 {
            return 0.0;
        }
        let born = now - clock::wall_clock_age(born_ms / 1e3);
        match self.places.get(ep) {
            Some(place) if place.born_ms == born_ms => born,
            Some(_) => born.max(self.listed_at),
            None => born,
        }
    }

    /// The list could not be had.
    pub fn list_unavailable(&mut self, now: f64) {
        self.sender.update_list(now, ListUpdate::Refused, &[], &mut self.asked);
        self.settle(now);
    }

    pub fn wake(&mut self, now: f64) {
        self.sender.wake(now, 0, &mut self.asked);
        self.settle(now);
    }

    /// The process will end; what is not back by then may have run.
    pub fn begin_shutdown(&mut self, now: f64, by: f64) {
        self.sender.begin_shutdown(now, by, &mut self.asked);
        self.settle(now);
    }

    /// A call ended, with one ending for each of its webhooks.
    pub fn call_ended(&mut self, now: f64, call: &Call, endings: &[AttemptResult], answer: &ResponseHead) {
        let report = answer.limit_report.filter(|_| self.reports);
        if answer.retry_after > 0.0 {
            debug!(
                code = "wait",
                ep = call.endpoint,
                wait = answer.retry_after,
                status = answer.status,
                "a wait was told"
            );
            self.sender.wait_requested(now, &call.endpoint, answer.retry_after, &mut self.asked);
        }
        for (webhook, ending) in call.webhooks.iter().zip(endings) {
            let CalledWebhook { number, id, attempt } = webhook;
            self.counters.count(ending.outcome.into());
            let before = self.journal.tries(*number);
            let may_run = matches!(
                ending.outcome,
                Outcome::Failed | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
            );
            let late = |w: &Webhook| now > w.ends_at - TOO_LATE && ending.outcome == Outcome::Delivered;
            if ending.is_final {
                let late = self.journal.open_webhook(*number).is_some_and(|webhook| late(&webhook));
                self.close(now, *number, if late { End::DeadLettered } else { End::Over });
            } else if let Some(attempt) = attempt
                && let Err(e) = self.journal.back(*number, *attempt, may_run)
            {
                warn!(code = "journal-write", %e, "an outcome could not be written: it counts as one that may have run");
            }
            let over = !self.journal.is_open(*number);
            let took = now - call.decided_at;
            let (ep, outcome, written) = (&call.endpoint, ending.outcome, call.written);
            debug!(
                code = "back",
                id,
                number,
                ep,
                ?outcome,
                written,
                took,
                over,
                ?report,
                "an attempt is back"
            );
            self.log_if_may_have_run(now, *number, id, call, outcome, &before);
            let out = &mut self.asked;
            self.sender.attempt_ended(now, *number, &call.endpoint, ending.outcome, took, over, report, out);
            self.settle(now);
        }
    }

    /// Logs what an outcome changed in the record of attempts of a webhook that may have run before.
    fn log_if_may_have_run(
        &self, now: f64, number: u64, id: &str, call: &Call, outcome: Outcome, before: &Tries,
    ) {
        if before.ran.is_none() && before.out.is_none() {
            return;
        }
        let after = self.journal.tries(number);
        let (ep, written, open) = (&call.endpoint, call.written, self.journal.is_open(number));
        let (may_have_run_before, may_have_run_after) = (told(before, now), told(&after, now));
        if written {
            debug!(
                code = "attempts",
                id,
                ep,
                ?outcome,
                open,
                may_have_run_before,
                may_have_run_after,
                "what is known of it"
            );
        } else {
            info!(
                code = "not-written",
                id,
                ep,
                ?outcome,
                open,
                may_have_run_before,
                may_have_run_after,
                "an attempt was not written; an earlier one may have run"
            );
        }
    }

    /// The calls that the inputs of one turn led to: what goes to one endpoint travels together, as far as
    /// its kind allows. The second list holds those that cannot be made.
    pub fn take_calls(&mut self, now: f64) -> (Vec<Call>, Vec<Call>) {
        let mut calls: Vec<Call> = Vec::new();
        let mut not_made = Vec::new();
        for (number, endpoint, give_up_at) in std::mem::take(&mut self.asked.attempts) {
            let (request, written) = (Vec::new(), false);
            let id = self.journal.open_webhook(number).map(|w| w.id.clone());
            let (batch, zone) = self.places.get(&endpoint).map_or((1, ""), |p| (p.batch, &p.zone));
            let joins =
                calls.iter_mut().rev().find(|c| c.endpoint == endpoint).filter(|c| c.webhooks.len() < batch);
            match (id, joins) {
                (Some(id), Some(call)) => {
                    call.webhooks.push(CalledWebhook::new(number, id));
                    call.give_up_at = call.give_up_at.min(give_up_at);
                }
                (id, _) => {
                    let list = if id.is_some() { &mut calls } else { &mut not_made };
                    let webhooks = vec![CalledWebhook::new(number, id.unwrap_or_default())];
                    let zone = zone.to_owned();
                    list.push(Call {
                        endpoint,
                        zone,
                        webhooks,
                        decided_at: now,
                        give_up_at,
                        write_deadline: give_up_at,
                        request,
                        written,
                    });
                }
            }
        }
        for mut call in std::mem::take(&mut calls) {
            let numbers = call.webhooks.iter().map(|webhook| webhook.number);
            let webhooks: Vec<_> = numbers.filter_map(|number| self.journal.open_webhook(number)).collect();
            let loads = webhooks.iter().map(|w| Load { id: &w.id, token: w.token.as_deref(), body: &w.body });
            let loads: Vec<Load> = loads.collect();
            let host = self.places.get(&call.endpoint).map(|p| p.dial.to_string()).unwrap_or_default();
            let (endpoint, stop_in) = (&call.endpoint, call.give_up_at - now);
            debug!(code = "decided", ids = ?call.webhooks, ep = endpoint, stop_in, "an attempt is to be made");
            match endpoints::encode(&loads, &host, call.give_up_at - now) {
                Some(request) => calls.push(Call { request, ..call }),
                None if call.webhooks.len() > 1 => {
                    // Together they are too long for a body: the first goes, the others count as not sent.
                    let rest = call.webhooks.split_off(1);
                    let (endpoint, zone, request) = (call.endpoint.clone(), call.zone.clone(), Vec::new());
                    not_made.push(Call { endpoint, zone, webhooks: rest, request, ..call });
                    if let Some(request) = endpoints::encode(&loads[..1], &host, call.give_up_at - now) {
                        calls.push(Call { request, ..call });
                    }
                }
                None => not_made.push(call),
            }
        }
        (calls, not_made)
    }

    /// A call is about to be written, which may be long after it was decided: its connection had to come up.
    pub fn prepare_write(&mut self, now: f64, call: &mut Call) -> WriteDecision {
        let held = now - call.decided_at;
        if now >= call.give_up_at {
            let (ep, count) = (&call.endpoint, call.webhooks.len());
            self.counters.count(Transition::HeldBack);
            info!(code = "not-sent", ep, count, held, "its connection came up when its time was over");
            return WriteDecision::HoldBack;
        }
        for CalledWebhook { number, id, .. } in &call.webhooks {
            if let Some(why) = self.sender.not_sent_reason(now, *number, &call.endpoint) {
                info!(
                    code = "not-sent",
                    id,
                    ep = call.endpoint,
                    held,
                    ?why,
                    "its connection came up too late"
                );
                self.counters.count(Transition::HeldBack);
                return WriteDecision::HoldBack;
            }
        }
        for webhook in &mut call.webhooks {
            let CalledWebhook { number, id, attempt } = webhook;
            debug!(
                code = "out",
                id,
                number,
                ep = call.endpoint,
                zone = call.zone,
                held,
                "an attempt goes out"
            );
            // A repeat is rare, and what on-call looks for first where an effect came twice.
            let tries = self.journal.tries(*number);
            self.counters.count(Transition::Out);
            if tries.ran.is_some() || tries.out.is_some() {
                self.counters.count(Transition::Repeated);
                let (ep, zone, first) = (&call.endpoint, &call.zone, told(&tries, now));
                info!(
                    code = "repeat",
                    id,
                    ep,
                    zone,
                    tries = tries.count,
                    first,
                    "again: an attempt may have run"
                );
            }
            match self.journal.out(*number, &call.zone, now) {
                Ok(recorded) => *attempt = recorded,
                Err(e) => {
                    error!(code = "journal-write", %e, "an attempt could not be written down and is not made");
                    return WriteDecision::JournalFailed;
                }
            }
        }
        let until = call.webhooks.iter().map(|webhook| self.sender.write_deadline(webhook.number));
        call.write_deadline = until.fold(call.give_up_at, f64::min);
        WriteDecision::Write
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.asked.actions)
    }

    pub fn next_notice(&mut self, host: &SocketAddr) -> Vec<u8> {
        let Bridge { notices, journal, .. } = self;
        let mut ids = Vec::new();
        let call = notices.next_request(host, |number| {
            let (id, end) = journal.owed(number)?;
            ids.push(id.clone());
            Some((id, end))
        });
        debug!(code = "notice", ?ids, "final answers are told");
        call
    }

    pub fn notices_acknowledged(&mut self, numbers: &[u64]) {
        debug!(code = "told", count = numbers.len(), "final answers are acknowledged");
        for number in numbers {
            if let Err(e) = self.journal.told(*number) {
                warn!(code = "journal-write", %e, "an acknowledgement could not be written; a notice may repeat");
            }
        }
    }

    /// The module asked for something that was not yet looked at, or a step is to be made.
    pub fn has_work(&self) -> bool {
        let resumes = !self.backlog.is_empty() && self.resumes_at.is_none();
        let asked = !self.asked.actions.is_empty() || !self.asked.attempts.is_empty();
        asked || resumes || self.journal.needs_step()
    }

    /// Nothing is held and nothing is owed.
    pub fn is_idle(&self) -> bool {
        self.journal.open_count() == 0 && self.notices.is_empty() && self.withheld.is_empty()
    }
}
