//! The clock of the event loop.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never runs backwards.
pub(super) struct Clock(f64, Instant);

impl Clock {
    /// Starts at the system's present time.
    pub(super) fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock(unix.as_secs_f64(), Instant::now())
    }

    /// The present time, in seconds.
    pub(super) fn now(&self) -> f64 {
        self.0 + self.1.elapsed().as_secs_f64()
    }
}
