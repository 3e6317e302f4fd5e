//! A clock that survives restarts of the process: seconds on a timeline that is shared by all processes that
//! use one folder (the state directory) and is not affected by changes of the wall clock. It runs on the
//! system's clock since boot; the folder stores which boot that was and the timeline's offset from it. After
//! a reboot the downtime is unknown, so the timeline continues far later than any time that the folder names:
//! every time span that was running has then ended.

use nix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";
/// The offset of a new timeline. Time spans that reach back before its start stay above 0.
const INITIAL_OFFSET_SECS: f64 = 1e6;
/// Longer than any token lifetime or TTL.
const GAP_AFTER_REBOOT_SECS: f64 = 1e8;
/// Stored times are rounded and may be later than the present by this much.
const ROUNDING_TOLERANCE_SECS: f64 = 1e-3;

/// Identifies one boot of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BootId(u128);

impl BootId {
    /// The current boot; `None` where the system does not name it.
    pub fn read() -> Option<BootId> {
        Self::decode(&std::fs::read_to_string(BOOT_ID_FILE).ok()?)
    }

    /// Parses an id as the system writes it: 32 hexadecimal digits with dashes between them.
    pub fn decode(text: &str) -> Option<BootId> {
        let digits: String = text.trim().chars().filter(|c| *c != '-').collect();
        (digits.len() == 32).then(|| u128::from_str_radix(&digits, 16).ok().map(BootId)).flatten()
    }
}

/// Seconds since the machine's boot, including those while it was suspended.
fn seconds_since_boot() -> f64 {
    // The clock is there on every system that this program is built for.
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .map_or(0.0, |time| time.tv_sec() as f64 + time.tv_nsec() as f64 / 1e9)
}

/// A reading of the clock since boot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BootReading {
    /// The boot, where the system names it.
    pub boot: Option<BootId>,
    /// Seconds since that boot.
    pub uptime_secs: f64,
}

impl BootReading {
    /// The present reading.
    pub fn now() -> BootReading {
        BootReading { boot: BootId::read(), uptime_secs: seconds_since_boot() }
    }
}

/// A timeline: its time is the offset plus the seconds since its boot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timeline {
    boot: Option<BootId>,
    offset_secs: f64,
}

impl Timeline {
    /// The size of an encoded timeline in bytes.
    pub const SIZE: usize = 24;

    /// A new timeline.
    pub fn new(reading: &BootReading) -> Timeline {
        Timeline { boot: reading.boot, offset_secs: INITIAL_OFFSET_SECS }
    }

    /// The timeline after a reboot, or where it is unknown whether there was one. `latest_time` is the latest
    /// time that the folder names.
    pub fn after_reboot(latest_time: f64, reading: &BootReading) -> Timeline {
        let offset_secs =
            (latest_time + GAP_AFTER_REBOOT_SECS - reading.uptime_secs).max(INITIAL_OFFSET_SECS);
        Timeline { boot: reading.boot, offset_secs }
    }

    /// Whether the timeline is still valid at a reading: the boot is the same, and no recorded event is later
    /// than now.
    pub fn is_valid_at(&self, last_event_at: f64, reading: &BootReading) -> bool {
        self.boot.is_some()
            && self.boot == reading.boot
            && last_event_at <= self.time_at(reading) + ROUNDING_TOLERANCE_SECS
    }

    /// The time on this timeline at a reading.
    pub fn time_at(&self, reading: &BootReading) -> f64 {
        self.offset_secs + reading.uptime_secs
    }

    /// The bytes that the folder stores.
    pub fn encode(&self) -> [u8; Self::SIZE] {
        let mut bytes = [0; Self::SIZE];
        bytes[..16].copy_from_slice(&self.boot.map_or(0, |boot| boot.0).to_le_bytes());
        bytes[16..].copy_from_slice(&self.offset_secs.to_le_bytes());
        bytes
    }

    /// Decodes [`Timeline::encode`]'s bytes; `None` where they are not a timeline.
    pub fn decode(bytes: &[u8]) -> Option<Timeline> {
        let (boot, offset_secs) = bytes.split_first_chunk::<16>()?;
        let boot = Some(u128::from_le_bytes(*boot)).filter(|boot| *boot != 0).map(BootId);
        let offset_secs = f64::from_le_bytes(offset_secs.try_into().ok()?);
        offset_secs.is_finite().then_some(Timeline { boot, offset_secs })
    }
}

/// The clock of a process on its folder's timeline.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Timeline);

impl Clock {
    /// A clock on a timeline of the current boot.
    pub fn with_timeline(timeline: Timeline) -> Clock {
        Clock(timeline)
    }

    /// The present time in seconds.
    pub fn now(&self) -> f64 {
        self.0.offset_secs + seconds_since_boot()
    }
}

/// Seconds since a time on the wall clock, as far as the wall clock is right. It may have been changed, so
/// this is only for uses that break no rule when it is wrong.
pub fn wall_clock_age(unix_seconds: f64) -> f64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (now.as_secs_f64() - unix_seconds).max(0.0)
}

#[cfg(test)]
mod tests;
