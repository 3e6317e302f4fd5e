//! Final answers that wait for their record: as long as the folder fails, a process after a kill would not know of them and
//! make another attempt.

/// Between two tries to write what could not be written, in seconds.
pub const RETRY_PAUSE: f64 = 0.1;

/// A webhook whose final answer is not told yet.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    number: u64,
    /// When no process can make another attempt for it any more.
    ends_at: f64,
}

/// The final answers that wait.
#[derive(Debug, Default)]
pub struct Withheld {
    entries: Vec<Entry>,
    retry_at: f64,
}

impl Withheld {
    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A final answer waits; its webhook's time ends at `ends_at`.
    pub fn add(&mut self, now: f64, number: u64, ends_at: f64) {
        self.entries.push(Entry { number, ends_at });
        self.retry_at = now + RETRY_PAUSE;
    }

    /// Whether it is time to try to write the records again. The next time is a pause later.
    pub fn retry_due(&mut self, now: f64) -> bool {
        let due = !self.is_empty() && now >= self.retry_at;
        if due {
            self.retry_at = now + RETRY_PAUSE;
        }
        due
    }

    /// Takes out those that may be told: all where the records are written, else those whose time is over.
    pub fn take(&mut self, now: f64, written: bool) -> Vec<u64> {
        let told = self.entries.extract_if(.., |entry| written || entry.ends_at <= now);
        told.map(|entry| entry.number).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_waits_is_told_once_it_is_written_or_its_time_is_over() {
        let mut withheld = Withheld::default();
        withheld.add(10.0, 1, 10.5);
        withheld.add(10.0, 2, 12.0);
        assert!(!withheld.retry_due(10.05));
        assert!(withheld.retry_due(10.15) && !withheld.retry_due(10.2));
        assert!(withheld.take(10.4, false).is_empty());
        assert_eq!(withheld.take(10.5, false), [1]);
        assert_eq!(withheld.take(10.6, true), [2]);
        assert!(withheld.is_empty() && !withheld.retry_due(20.0));
    }
}
