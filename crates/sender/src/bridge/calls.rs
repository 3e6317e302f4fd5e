//! The calls to endpoints: grouping the attempts that the decision module requests, the checks before a call
//! is written, and the results when it ends.

use super::{Bridge, LATE_DELIVERY_MARGIN_SECS, WriteDecision, describe_first_attempt};
use crate::counters::WebhookEvent;
use crate::endpoints::{self, AttemptResult, Call, CallForm, CalledWebhook, OutgoingWebhook, ResponseHead};
use crate::journal::{AttemptHistory, FinalAnswer, Webhook};
use scalebarrow::Outcome;
use tracing::{debug, error, info, warn};

/// A webhook as a request carries it.
fn outgoing(webhook: &Webhook) -> OutgoingWebhook<'_> {
    OutgoingWebhook { id: &webhook.id, token: webhook.token.as_deref(), body: &webhook.body }
}

impl Bridge {
    /// A call ended, with one result for each of its webhooks.
    pub fn call_ended(&mut self, now: f64, call: &Call, results: &[AttemptResult], response: &ResponseHead) {
        let limit_report = response.limit_report.filter(|_| self.uses_limit_reports);
        if response.retry_after > 0.0 {
            debug!(
                code = "wait",
                call = %call.id,
                ep = call.endpoint,
                wait = response.retry_after,
                status = response.status,
                "the response asks for a delay"
            );
            self.sender.wait_requested(now, &call.endpoint, response.retry_after, &mut self.requested);
            self.apply_final_answers(now);
        }
        for (webhook, result) in call.webhooks.iter().zip(results) {
            let CalledWebhook { number, id, attempt } = webhook;
            self.counters.count(result.outcome.into());
            let history_before = self.journal.attempt_history(*number);
            let may_have_run = matches!(
                result.outcome,
                Outcome::Failed | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
            );
            let late = |webhook: &Webhook| {
                now > webhook.expires_at - LATE_DELIVERY_MARGIN_SECS && result.outcome == Outcome::Delivered
            };
            if result.is_final {
                let late = self.journal.open_webhook(*number).is_some_and(|webhook| late(&webhook));
                self.finish_webhook(
                    now,
                    *number,
                    if late { FinalAnswer::DeadLettered } else { FinalAnswer::Over },
                );
            } else if let Some(attempt) = attempt
                && let Err(e) = self.journal.record_attempt_end(*number, *attempt, may_have_run)
            {
                warn!(
                    code = "journal-write",
                    %e,
                    "an outcome could not be recorded; the attempt may have run"
                );
            }
            let is_final = !self.journal.is_open(*number);
            let duration = now - call.decided_at;
            let (endpoint, outcome, written) = (&call.endpoint, result.outcome, call.written);
            debug!(
                code = "back",
                id,
                call = %call.id,
                number,
                ep = endpoint,
                ?outcome,
                written,
                took = duration,
                over = is_final,
                report = ?limit_report,
                "an attempt ended"
            );
            self.log_if_may_have_run(now, *number, id, call, outcome, &history_before);
            let requested = &mut self.requested;
            self.sender.attempt_ended(
                now,
                *number,
                &call.endpoint,
                result.outcome,
                duration,
                is_final,
                limit_report,
                requested,
            );
            self.apply_final_answers(now);
        }
    }

    /// If an earlier attempt for a webhook may have run, logs how an outcome changed its attempt history.
    fn log_if_may_have_run(
        &self, now: f64, number: u64, id: &str, call: &Call, outcome: Outcome,
        history_before: &AttemptHistory,
    ) {
        if history_before.may_have_run.is_none() && history_before.in_flight.is_none() {
            return;
        }
        let history_after = self.journal.attempt_history(number);
        let (endpoint, written, open) = (&call.endpoint, call.written, self.journal.is_open(number));
        let (may_have_run_before, may_have_run_after) =
            (describe_first_attempt(history_before, now), describe_first_attempt(&history_after, now));
        if written {
            debug!(
                code = "attempts",
                id,
                call = %call.id,
                ep = endpoint,
                ?outcome,
                open,
                may_have_run_before,
                may_have_run_after,
                "the first attempt that may have run, before and after this one"
            );
        } else {
            info!(
                code = "not-written",
                id,
                call = %call.id,
                ep = endpoint,
                ?outcome,
                open,
                may_have_run_before,
                may_have_run_after,
                "an attempt was not written; an earlier one may have run"
            );
        }
    }

    /// Takes the calls that the decision module has requested. Webhooks for the same endpoint share a call as
    /// far as the destination's kind allows. The second list holds calls that cannot be made.
    pub fn take_calls(&mut self, now: f64) -> (Vec<Call>, Vec<Call>) {
        let (grouped, mut not_made) = self.group_requested_attempts(now);
        let mut calls = Vec::new();
        for call in grouped {
            self.encode_call(now, call, &mut calls, &mut not_made);
        }
        (calls, not_made)
    }

    /// Groups the requested attempts into calls that are not encoded yet. The second list holds the attempts
    /// for webhooks that are not open any more.
    fn group_requested_attempts(&mut self, now: f64) -> (Vec<Call>, Vec<Call>) {
        let (mut calls, mut not_made): (Vec<Call>, Vec<Call>) = (Vec::new(), Vec::new());
        for (number, endpoint, give_up_at) in std::mem::take(&mut self.requested.attempts) {
            let Some(webhook) = self.journal.open_webhook(number) else {
                self.finish_damaged_webhook(now, number);
                let webhooks = vec![CalledWebhook::new(number, String::new())];
                not_made.push(self.new_call(now, endpoint, CallForm::Single, webhooks, give_up_at));
                continue;
            };
            let max_batch = self.endpoints.get(&endpoint).map_or(1, |info| info.max_batch);
            let is_batched = max_batch > 1 && outgoing(&webhook).fits_batch();
            let form = if is_batched { CallForm::Batch } else { CallForm::Single };
            let called = CalledWebhook::new(number, webhook.id.clone());
            let last_call =
                calls.iter_mut().rev().find(|call| call.endpoint == endpoint && call.form == form);
            let has_room = |call: &&mut Call| form == CallForm::Batch && call.webhooks.len() < max_batch;
            match last_call.filter(has_room) {
                Some(call) => {
                    call.webhooks.push(called);
                    call.give_up_at = call.give_up_at.min(give_up_at);
                }
                None => calls.push(self.new_call(now, endpoint, form, vec![called], give_up_at)),
            }
        }
        (calls, not_made)
    }

    /// A call with an id of its own that is not encoded yet.
    fn new_call(
        &mut self, now: f64, endpoint: String, form: CallForm, webhooks: Vec<CalledWebhook>, give_up_at: f64,
    ) -> Call {
        let id = self.next_call_id;
        self.next_call_id = id.next();
        let zone = self.endpoints.get(&endpoint).map(|info| info.zone.clone()).unwrap_or_default();
        Call {
            id,
            endpoint,
            zone,
            form,
            webhooks,
            decided_at: now,
            give_up_at,
            write_deadline: give_up_at,
            request: Vec::new(),
            written: false,
        }
    }

    /// Encodes a call. Of several webhooks that together exceed the limit of a body, only the first is sent;
    /// the others count as not sent.
    fn encode_call(&mut self, now: f64, mut call: Call, calls: &mut Vec<Call>, not_made: &mut Vec<Call>) {
        let stop_in = call.give_up_at - now;
        debug!(
            code = "decided",
            call = %call.id,
            ids = ?call.webhooks,
            ep = call.endpoint,
            stop_in,
            "an attempt is to be made"
        );
        let mut request = self.encode_request_for(&call, stop_in);
        if request.is_none() && call.webhooks.len() > 1 {
            let rest = call.webhooks.split_off(1);
            not_made.push(self.new_call(now, call.endpoint.clone(), call.form, rest, call.give_up_at));
            request = self.encode_request_for(&call, stop_in);
        }
        match request {
            Some(request) => calls.push(Call { request, ..call }),
            None => not_made.push(call),
        }
    }

    /// The request of a call; `None` if its webhooks do not fit in one body.
    fn encode_request_for(&mut self, call: &Call, timeout_secs: f64) -> Option<Vec<u8>> {
        let numbers = call.webhooks.iter().map(|webhook| webhook.number);
        let webhooks: Vec<_> = numbers.filter_map(|number| self.journal.open_webhook(number)).collect();
        let outgoing: Vec<OutgoingWebhook> = webhooks.iter().map(|webhook| outgoing(webhook)).collect();
        let host = self.endpoints.get(&call.endpoint).map(|info| info.address.to_string());
        endpoints::encode_request(&outgoing, call.form, &host.unwrap_or_default(), timeout_secs)
    }

    /// A call is about to be written, possibly long after it was decided, as its connection had to be opened
    /// first. Checks whether it may still be sent, records its attempts and sets its write deadline.
    pub fn prepare_write(&mut self, now: f64, call: &mut Call) -> WriteDecision {
        let delay = now - call.decided_at;
        if now >= call.give_up_at {
            let (endpoint, count) = (&call.endpoint, call.webhooks.len());
            self.counters.count(WebhookEvent::HeldBack);
            info!(
                code = "not-sent",
                call = %call.id,
                ep = endpoint,
                count,
                held = delay,
                "the call timed out before its connection was open"
            );
            return WriteDecision::HoldBack;
        }
        for CalledWebhook { number, id, .. } in &call.webhooks {
            if let Some(reason) = self.sender.not_sent_reason(now, *number, &call.endpoint) {
                info!(
                    code = "not-sent",
                    id,
                    call = %call.id,
                    ep = call.endpoint,
                    held = delay,
                    why = ?reason,
                    "an attempt may no longer be sent"
                );
                self.counters.count(WebhookEvent::HeldBack);
                return WriteDecision::HoldBack;
            }
        }
        for webhook in &mut call.webhooks {
            let CalledWebhook { number, id, attempt } = webhook;
            debug!(
                code = "out",
                id,
                call = %call.id,
                number,
                ep = call.endpoint,
                zone = call.zone,
                held = delay,
                "an attempt goes out"
            );
            // Repeats are rare, and the first thing to look for when a webhook took effect twice.
            let history = self.journal.attempt_history(*number);
            self.counters.count(WebhookEvent::AttemptStarted);
            if history.may_have_run.is_some() || history.in_flight.is_some() {
                self.counters.count(WebhookEvent::AttemptRepeated);
                let (endpoint, zone, first_attempt) =
                    (&call.endpoint, &call.zone, describe_first_attempt(&history, now));
                info!(
                    code = "repeat",
                    id,
                    call = %call.id,
                    ep = endpoint,
                    zone,
                    tries = history.count,
                    first = first_attempt,
                    "an attempt is repeated; an earlier one may have run"
                );
            }
            match self.journal.record_attempt_start(*number, &call.zone, now) {
                Ok(recorded) => *attempt = recorded,
                Err(e) => {
                    error!(code = "journal-write", %e, "an attempt could not be recorded and is not made");
                    return WriteDecision::JournalFailed;
                }
            }
        }
        let write_deadlines = call.webhooks.iter().map(|webhook| self.sender.write_deadline(webhook.number));
        call.write_deadline = write_deadlines.fold(call.give_up_at, f64::min);
        WriteDecision::Write
    }
}
