//! Time that outlives the process: seconds on a timeline that goes on from one process to the next on the same folder and
//! that no step of the wall clock moves. It runs with the system's clock since its boot; the folder holds which boot that
//! was and where the timeline stood at it. After another boot the timeline goes on far behind all that it had reached:
//! how long the machine was down cannot be told, so every span that was running is over.

use nix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// Where a new timeline begins: spans that reach back before its begin stay above 0.
const FIRST_OFFSET: f64 = 1e6;
/// Longer than any window or time to live, in seconds.
const GAP_AFTER_BOOT: f64 = 1e8;
/// Times that were written may be ahead of the present by so much, as they are rounded.
const TOLERANCE: f64 = 1e-3;

/// Tells one boot of the machine from another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BootId(u128);

impl BootId {
    /// The present boot; nothing where the system does not tell it.
    pub fn read() -> Option<BootId> {
        Self::decode(&std::fs::read_to_string(BOOT_ID_FILE).ok()?)
    }

    /// An id as the system writes it: 32 hex digits, and dashes between.
    pub fn decode(text: &str) -> Option<BootId> {
        let digits: String = text.trim().chars().filter(|c| *c != '-').collect();
        (digits.len() == 32).then(|| u128::from_str_radix(&digits, 16).ok().map(BootId)).flatten()
    }
}

/// Seconds since the machine's boot, also those in which it slept.
fn since_boot() -> f64 {
    // The clock is there on every system that this program is built for.
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .map_or(0.0, |time| time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9)
}

/// A reading of the clock since boot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BootReading {
    /// The boot, where it can be told.
    pub boot: Option<BootId>,
    /// Seconds since then.
    pub elapsed: f64,
}

impl BootReading {
    /// The present reading.
    pub fn now() -> BootReading {
        BootReading { boot: BootId::read(), elapsed: since_boot() }
    }
}

/// Where the timeline stands: time is `offset` and the seconds since that boot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timeline {
    boot: Option<BootId>,
    offset: f64,
}

impl Timeline {
    /// Bytes of a written timeline.
    pub const SIZE: usize = 24;

    /// A new timeline.
    pub fn begin(reading: &BootReading) -> Timeline {
        Timeline { boot: reading.boot, offset: FIRST_OFFSET }
    }

    /// The timeline after another boot, or one that cannot be told; `reached` is the latest time that anything names.
    pub fn begin_behind(reached: f64, reading: &BootReading) -> Timeline {
        let offset = (reached + GAP_AFTER_BOOT - reading.elapsed).max(FIRST_OFFSET);
        Timeline { boot: reading.boot, offset }
    }

    /// Whether it goes on at a reading: the boot is the same, and nothing has happened later than now.
    pub fn goes_on(&self, last_event: f64, reading: &BootReading) -> bool {
        self.boot.is_some() && self.boot == reading.boot && last_event <= self.at(reading) + TOLERANCE
    }

    /// The time of a reading.
    pub fn at(&self, reading: &BootReading) -> f64 {
        self.offset + reading.elapsed
    }

    /// As it is written to the folder.
    pub fn encode(&self) -> [u8; Self::SIZE] {
        let mut bytes = [0; Self::SIZE];
        bytes[..16].copy_from_slice(&self.boot.map_or(0, |boot| boot.0).to_le_bytes());
        bytes[16..].copy_from_slice(&self.offset.to_le_bytes());
        bytes
    }

    /// As it was written; nothing where that is no timeline.
    pub fn decode(bytes: &[u8]) -> Option<Timeline> {
        let (boot, offset) = bytes.split_first_chunk::<16>()?;
        let boot = Some(u128::from_le_bytes(*boot)).filter(|boot| *boot != 0).map(BootId);
        let offset = f64::from_le_bytes(offset.try_into().ok()?);
        offset.is_finite().then_some(Timeline { boot, offset })
    }
}

/// The clock of a process on its folder's timeline.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Timeline);

impl Clock {
    /// The clock on a timeline that goes on now.
    pub fn with_timeline(timeline: Timeline) -> Clock {
        Clock(timeline)
    }

    /// The present time, in seconds.
    pub fn now(&self) -> f64 {
        self.0.offset + since_boot()
    }
}

/// How long ago a time on the wall clock was, as far as the wall clock is right. It may have been stepped: only for what
/// breaks no rule where it is wrong.
pub fn wall_clock_age(unix_seconds: f64) -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (now.as_secs_f64() - unix_seconds).max(0.0)
}

#[cfg(test)]
mod tests;
