//! Final answers that are not yet reported because their journal record could not be written. Without the
//! record, the next process after a kill would not know of the answer and would make another attempt.

/// Delay before another try to write the missing records.
pub const RETRY_DELAY_SECS: f64 = 0.1;

/// A webhook whose final answer is not yet reported.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    /// The webhook's number in the journal.
    number: u64,
    /// From this time on no process makes another attempt for it.
    expires_at: f64,
}

/// The final answers that wait for their records.
#[derive(Debug, Default)]
pub struct WithheldAnswers {
    entries: Vec<Entry>,
    retry_at: f64,
}

impl WithheldAnswers {
    /// Whether no final answer is withheld.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Withholds the final answer of a webhook whose TTL ends at `expires_at`.
    pub fn add(&mut self, now: f64, number: u64, expires_at: f64) {
        self.entries.push(Entry { number, expires_at });
        self.retry_at = now + RETRY_DELAY_SECS;
    }

    /// Whether the records are to be written again now. If so, the next retry is due after the retry delay.
    pub fn retry_due(&mut self, now: f64) -> bool {
        let due = !self.is_empty() && now >= self.retry_at;
        if due {
            self.retry_at = now + RETRY_DELAY_SECS;
        }
        due
    }

    /// Removes and returns the webhooks whose answers may be reported: all once the records are written, else
    /// those whose TTL has ended.
    pub fn take_reportable(&mut self, now: f64, records_written: bool) -> Vec<u64> {
        let reportable = self.entries.extract_if(.., |entry| records_written || entry.expires_at <= now);
        reportable.map(|entry| entry.number).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn answers_are_reportable_once_recorded_or_expired() {
        let mut withheld = WithheldAnswers::default();
        withheld.add(10.0, 1, 10.5);
        withheld.add(10.0, 2, 12.0);
        assert!(!withheld.retry_due(10.05));
        assert!(withheld.retry_due(10.15) && !withheld.retry_due(10.2));
        assert!(withheld.take_reportable(10.4, false).is_empty());
        assert_eq!(withheld.take_reportable(10.5, false), [1]);
        assert_eq!(withheld.take_reportable(10.6, true), [2]);
        assert!(withheld.is_empty() && !withheld.retry_due(20.0));
    }
}
