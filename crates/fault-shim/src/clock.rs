//! The clocks: the wall clock can be stepped, and a reader of the monotonic clock can be held up behind its reading.

use crate::chance::{draw, happens};
use crate::control;
use crate::real::real;
use libc::{c_int, clockid_t, timespec};
use scalebarrow_fault_control::ControlWord;

const NANOS: i64 = 1_000_000_000;

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function: `time` has to be valid for a write.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let result = real!(clock_gettime(clock, time) as ClockGettime);
    if result != 0 {
        return result;
    }
    match clock {
        libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE => {
            // SAFETY: the call above has just written there.
            unsafe { step(&mut *time) }
        }
        libc::CLOCK_MONOTONIC | libc::CLOCK_BOOTTIME => hold_up(),
        _ => {}
    }
    result
}

fn step(time: &mut timespec) {
    let step = control::get(ControlWord::WallStepNanos).cast_signed();
    let nanos = time.tv_nsec + step % NANOS;
    time.tv_sec += step / NANOS + nanos.div_euclid(NANOS);
    time.tv_nsec = nanos.rem_euclid(NANOS);
}

/// Where chance has it, the caller goes on only after a while, with a reading that is old by then.
fn hold_up() {
    let most = control::get(ControlWord::HoldUpMicros);
    if most == 0 || !happens(ControlWord::HoldUpRate) {
        return;
    }
    control::count(ControlWord::HoldUps);
    let nanos = (draw() % (most + 1)).saturating_mul(1000);
    let pause = timespec { tv_sec: 0, tv_nsec: (nanos as i64).min(NANOS - 1) };
    // SAFETY: the pause is valid, and the rest of an interrupted one is not asked for.
    unsafe { libc::nanosleep(&pause, std::ptr::null_mut()) };
}
