//! Faults of the clocks: the wall clock can be stepped, and a thread can be paused after it read the
//! monotonic clock.

use crate::control;
use crate::random::{happens, next_random};
use crate::real::real;
use libc::{c_int, clockid_t, timespec};
use scalebarrow_fault_control::ControlWord;

const NANOS_PER_SEC: i64 = 1_000_000_000;

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function: `time` must be valid for a write.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let result = real!(clock_gettime(clock, time) as ClockGettime);
    if result != 0 {
        return result;
    }
    match clock {
        libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE => {
            // SAFETY: `time` is valid, as the call above has just written to it.
            unsafe { step_wall_clock(&mut *time) }
        }
        libc::CLOCK_MONOTONIC | libc::CLOCK_BOOTTIME => maybe_pause(),
        _ => {}
    }
    result
}

/// Adds the step of the wall clock to a time.
fn step_wall_clock(time: &mut timespec) {
    let step_nanos = control::get(ControlWord::WallStepNanos).cast_signed();
    let nanos = time.tv_nsec + step_nanos % NANOS_PER_SEC;
    time.tv_sec += step_nanos / NANOS_PER_SEC + nanos.div_euclid(NANOS_PER_SEC);
    time.tv_nsec = nanos.rem_euclid(NANOS_PER_SEC);
}

/// Pauses the caller at the rate that the control file says, so that the time it has read is old when it goes
/// on.
fn maybe_pause() {
    let max_micros = control::get(ControlWord::HoldUpMicros);
    if max_micros == 0 || !happens(ControlWord::HoldUpRate) {
        return;
    }
    control::increment(ControlWord::HoldUps);
    let nanos = (next_random() % (max_micros + 1)).saturating_mul(1000);
    let pause = timespec { tv_sec: 0, tv_nsec: (nanos as i64).min(NANOS_PER_SEC - 1) };
    // SAFETY: `pause` is a valid time, and the null pointer means that the rest of an interrupted pause is
    // not returned.
    unsafe { libc::nanosleep(&pause, std::ptr::null_mut()) };
}
