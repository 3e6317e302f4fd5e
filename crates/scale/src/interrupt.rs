//! A flag that ends a run early: after Ctrl-C, after SIGTERM, or when a limit was exceeded.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How often a sleeping thread checks the flag.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A flag that can be set once. All clones share its state.
#[derive(Debug, Clone, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Sets the flag in all clones.
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    /// Whether the flag was set in any clone.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    /// Sleeps until a point in time, or until the flag is set.
    pub fn sleep_until(&self, wake_at: Instant) {
        while !self.is_set() {
            let left = wake_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left.min(POLL_INTERVAL));
        }
    }

    /// Sleeps for a time, or until the flag is set.
    pub fn sleep(&self, duration: Duration) {
        self.sleep_until(Instant::now() + duration);
    }
}

/// Installs the handler for Ctrl-C and SIGTERM and returns the flag that it sets. A process can do this once.
pub fn stop_on_signals() -> Result<StopFlag, ctrlc::Error> {
    let stop = StopFlag::default();
    let handler_stop = stop.clone();
    ctrlc::set_handler(move || handler_stop.set())?;
    Ok(stop)
}
