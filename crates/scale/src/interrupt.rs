//! The sign to end a run early: Ctrl-C, SIGTERM, or a limit that was passed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Between two looks at the sign while waiting.
const LOOK: Duration = Duration::from_millis(20);

/// A sign that can be set once, and seen by all who hold a copy.
#[derive(Debug, Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    /// Sleeps until a time, or until the sign is set.
    pub fn sleep_until(&self, until: Instant) {
        while !self.is_set() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left.min(LOOK));
        }
    }

    pub fn sleep(&self, wait: Duration) {
        self.sleep_until(Instant::now() + wait);
    }
}

/// The sign that Ctrl-C and SIGTERM set from here on. Once in a process.
pub fn on_signals() -> Result<Stop, ctrlc::Error> {
    let stop = Stop::default();
    let set = stop.clone();
    ctrlc::set_handler(move || set.set())?;
    Ok(stop)
}
