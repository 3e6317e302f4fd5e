//! Counts what happens to webhooks, and logs the counts in one line from time to time.

use scalebarrow::Outcome;
use tracing::info;

/// Between two lines with counts, in seconds.
const LOG_PAUSE: f64 = 10.0;

/// A move of a webhook from one state to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum Transition {
    /// Handed in and taken on.
    Taken,
    /// Handed in again: it is taken on already.
    Known,
    /// Turned away by the decision module.
    Rejected,
    /// Turned away as there is no room, or the folder fails.
    NoRoom,
    /// Found by a start, and back with the decision module.
    Resumed,
    /// An attempt went out.
    Out,
    /// One of these while an earlier attempt may have run.
    Repeated,
    /// An attempt was held back as its connection came up.
    HeldBack,
    /// An attempt came back: delivered.
    Delivered,
    /// Answered with an error.
    Failed,
    /// Turned away.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// The connection ended.
    Reset,
    /// Called off.
    Cancelled,
    /// Not made, or over.
    Moot,
    /// Given up, harmless to hand in again.
    Returned,
    /// Given up, with no promise.
    DeadLettered,
    /// Its client went away.
    Withdrawn,
    /// Its final answer waits for its record.
    Withheld,
}

impl Transition {
    /// All of them with their names in the log.
    pub const ALL: [(Transition, &'static str); 20] = [
        (Transition::Taken, "taken"),
        (Transition::Known, "known"),
        (Transition::Rejected, "rejected"),
        (Transition::NoRoom, "no-room"),
        (Transition::Resumed, "resumed"),
        (Transition::Out, "out"),
        (Transition::Repeated, "repeated"),
        (Transition::HeldBack, "held-back"),
        (Transition::Delivered, "delivered"),
        (Transition::Failed, "failed"),
        (Transition::Full, "full"),
        (Transition::TimedOut, "timed-out"),
        (Transition::ConnectFailed, "connect-failed"),
        (Transition::Reset, "reset"),
        (Transition::Cancelled, "cancelled"),
        (Transition::Moot, "moot"),
        (Transition::Returned, "returned"),
        (Transition::DeadLettered, "dead-lettered"),
        (Transition::Withdrawn, "withdrawn"),
        (Transition::Withheld, "withheld"),
    ];
}

impl From<Outcome> for Transition {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Delivered => Transition::Delivered,
            Outcome::Failed => Transition::Failed,
            Outcome::Full(_) => Transition::Full,
            Outcome::TimedOut => Transition::TimedOut,
            Outcome::ConnectFailed => Transition::ConnectFailed,
            Outcome::Reset => Transition::Reset,
            Outcome::Cancelled => Transition::Cancelled,
            Outcome::Moot(_) => Transition::Moot,
        }
    }
}

/// How often each happened since the last line, and in all.
#[derive(Debug, Default)]
pub struct Counters {
    since_line: [u64; Transition::ALL.len()],
    in_all: [u64; Transition::ALL.len()],
    logged_at: f64,
}

impl Counters {
    /// Counters that start now.
    pub fn new(now: f64) -> Counters {
        Counters { logged_at: now, ..Counters::default() }
    }

    /// Counts one.
    pub fn count(&mut self, transition: Transition) {
        self.since_line[transition as usize] += 1;
        self.in_all[transition as usize] += 1;
    }

    /// How often it happened in all.
    pub fn total(&self, transition: Transition) -> u64 {
        self.in_all[transition as usize]
    }

    /// The counts since the last line that are not 0, where a line is due and there is one.
    pub fn due_line(&mut self, now: f64) -> Option<String> {
        if now < self.logged_at + LOG_PAUSE {
            return None;
        }
        self.logged_at = now;
        let counts = std::mem::take(&mut self.since_line);
        let named = Transition::ALL.iter().zip(counts).filter(|(_, count)| *count > 0);
        let texts: Vec<String> = named.map(|((_, name), count)| format!("{name}={count}")).collect();
        (!texts.is_empty()).then(|| texts.join(" "))
    }

    /// Logs the counts where a line is due. `held` webhooks have no final answer, `owed` final answers are not acknowledged.
    pub fn log_due(&mut self, now: f64, held: usize, owed: usize) {
        if let Some(counts) = self.due_line(now) {
            info!(code = "counts", held, owed, counts, "since the last such line");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_tells_what_happened_since_the_last_one() {
        let mut counters = Counters::new(100.0);
        counters.count(Transition::Taken);
        counters.count(Transition::Taken);
        counters.count(Transition::from(Outcome::Full(0.5)));
        assert_eq!(counters.due_line(105.0), None);
        assert_eq!(counters.due_line(110.0).as_deref(), Some("taken=2 full=1"));
        counters.count(Transition::Taken);
        assert_eq!(counters.due_line(120.0).as_deref(), Some("taken=1"));
        assert_eq!(counters.due_line(130.0), None);
        assert_eq!(counters.total(Transition::Taken), 3);
    }

    #[test]
    fn names_stand_in_the_order_of_the_counts() {
        for (place, (transition, _)) in Transition::ALL.iter().enumerate() {
            assert_eq!(*transition as usize, place);
        }
    }
}
