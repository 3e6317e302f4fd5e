//! Counts what happens to webhooks, and periodically logs the counts in one line.

use scalebarrow::Outcome;
use tracing::info;

/// Time between two log lines with counts.
const LOG_INTERVAL_SECS: f64 = 10.0;

/// What can happen to a webhook, to an attempt for it, or on a connection to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum WebhookEvent {
    /// The webhook was handed in and accepted.
    Accepted,
    /// The webhook was handed in again after it had been accepted.
    Duplicate,
    /// The decision module rejected the webhook when it was handed in.
    Rejected,
    /// The webhook was refused: the sender is at its limits, or the journal cannot be written.
    NoSpace,
    /// The webhook was found in the journal at start and went back to the decision module.
    Resumed,
    /// An attempt is written to its connection.
    AttemptStarted,
    /// The same, while an earlier attempt may have run.
    AttemptRepeated,
    /// An attempt was held back when its connection was open.
    HeldBack,
    /// The attempt ended: the webhook was delivered.
    Delivered,
    /// The attempt ended: the response was an error.
    Failed,
    /// The attempt ended: the endpoint refused the webhook unprocessed.
    Full,
    /// The attempt ended: no response in time.
    TimedOut,
    /// The attempt ended: no connection.
    ConnectFailed,
    /// The attempt ended: the connection was closed.
    Reset,
    /// The attempt ended: it was cancelled.
    Cancelled,
    /// The attempt ended: it was not made, or the destination had nothing to do.
    Moot,
    /// The webhook was given up, and can safely be handed in again.
    Returned,
    /// The webhook was given up, and may have run.
    DeadLettered,
    /// The webhook's record is damaged, and it was given up.
    Damaged,
    /// The client disconnected, and the webhook was withdrawn.
    Withdrawn,
    /// The final answer is not reported until it is recorded.
    Withheld,
    /// A connection to an endpoint is being opened.
    ConnectionOpened,
    /// A response came that may belong to the call in flight or to an earlier one.
    UnconfirmedResponse,
    /// A response came that answers no call in flight.
    UnsolicitedResponse,
}

impl WebhookEvent {
    /// All events with their names in the log, in the order of the variants.
    pub const ALL: [(WebhookEvent, &'static str); 24] = [
        (WebhookEvent::Accepted, "taken"),
        (WebhookEvent::Duplicate, "known"),
        (WebhookEvent::Rejected, "rejected"),
        (WebhookEvent::NoSpace, "no-room"),
        (WebhookEvent::Resumed, "resumed"),
        (WebhookEvent::AttemptStarted, "out"),
        (WebhookEvent::AttemptRepeated, "repeated"),
        (WebhookEvent::HeldBack, "held-back"),
        (WebhookEvent::Delivered, "delivered"),
        (WebhookEvent::Failed, "failed"),
        (WebhookEvent::Full, "full"),
        (WebhookEvent::TimedOut, "timed-out"),
        (WebhookEvent::ConnectFailed, "connect-failed"),
        (WebhookEvent::Reset, "reset"),
        (WebhookEvent::Cancelled, "cancelled"),
        (WebhookEvent::Moot, "moot"),
        (WebhookEvent::Returned, "returned"),
        (WebhookEvent::DeadLettered, "dead-lettered"),
        (WebhookEvent::Damaged, "damaged"),
        (WebhookEvent::Withdrawn, "withdrawn"),
        (WebhookEvent::Withheld, "withheld"),
        (WebhookEvent::ConnectionOpened, "connections-opened"),
        (WebhookEvent::UnconfirmedResponse, "unconfirmed-response"),
        (WebhookEvent::UnsolicitedResponse, "unsolicited-response"),
    ];
}

impl From<Outcome> for WebhookEvent {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Delivered => WebhookEvent::Delivered,
            Outcome::Failed => WebhookEvent::Failed,
            Outcome::Full(_) => WebhookEvent::Full,
            Outcome::TimedOut => WebhookEvent::TimedOut,
            Outcome::ConnectFailed => WebhookEvent::ConnectFailed,
            Outcome::Reset => WebhookEvent::Reset,
            Outcome::Cancelled => WebhookEvent::Cancelled,
            Outcome::Moot(_) => WebhookEvent::Moot,
        }
    }
}

/// How often each event happened since the last log line, and in total.
#[derive(Debug, Default)]
pub struct Counters {
    since_last_line: [u64; WebhookEvent::ALL.len()],
    totals: [u64; WebhookEvent::ALL.len()],
    last_line_at: f64,
}

impl Counters {
    /// Counters at zero; the first log line is due one interval after `now`.
    pub fn new(now: f64) -> Counters {
        Counters { last_line_at: now, ..Counters::default() }
    }

    /// Counts one event.
    pub fn count(&mut self, event: WebhookEvent) {
        self.since_last_line[event as usize] += 1;
        self.totals[event as usize] += 1;
    }

    /// How often an event happened in total.
    pub fn total(&self, event: WebhookEvent) -> u64 {
        self.totals[event as usize]
    }

    /// If a log line is due, the counts above 0 since the last one; `None` if all are 0.
    pub fn take_due_line(&mut self, now: f64) -> Option<String> {
        if now < self.last_line_at + LOG_INTERVAL_SECS {
            return None;
        }
        self.last_line_at = now;
        let counts = std::mem::take(&mut self.since_last_line);
        let named_counts = WebhookEvent::ALL.iter().zip(counts).filter(|(_, count)| *count > 0);
        let texts: Vec<String> = named_counts.map(|((_, name), count)| format!("{name}={count}")).collect();
        (!texts.is_empty()).then(|| texts.join(" "))
    }

    /// Logs the counts if a line is due, with the number of open webhooks and of unacknowledged final
    /// answers.
    pub fn log_if_due(&mut self, now: f64, open_count: usize, unacknowledged_count: usize) {
        if let Some(counts) = self.take_due_line(now) {
            info!(
                code = "counts",
                held = open_count,
                owed = unacknowledged_count,
                counts,
                "counts since the last such line"
            );
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_holds_the_counts_since_the_last_one() {
        let mut counters = Counters::new(100.0);
        counters.count(WebhookEvent::Accepted);
        counters.count(WebhookEvent::Accepted);
        counters.count(WebhookEvent::from(Outcome::Full(0.5)));
        assert_eq!(counters.take_due_line(105.0), None);
        assert_eq!(counters.take_due_line(110.0).as_deref(), Some("taken=2 full=1"));
        counters.count(WebhookEvent::Accepted);
        assert_eq!(counters.take_due_line(120.0).as_deref(), Some("taken=1"));
        assert_eq!(counters.take_due_line(130.0), None);
        assert_eq!(counters.total(WebhookEvent::Accepted), 3);
    }

    #[test]
    fn names_are_in_the_order_of_the_variants() {
        for (index, (event, _)) in WebhookEvent::ALL.iter().enumerate() {
            assert_eq!(*event as usize, index);
        }
    }
}
