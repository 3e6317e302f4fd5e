//! The wall clock is stepped between two lives of the program, or in one; spans of real time stay as they are.

use crate::helpers::{Deed, Endpoint, Manual, OK, Platform, Program, address, hear, host, list};
use std::io::Write;
use std::thread::sleep;
use std::time::{Duration, Instant};

const HOUR: f64 = 3600.0;
/// Either way, a little and a lot.
const STEPS: [f64; 4] = [2.0, HOUR, -2.0, -HOUR];
/// A final answer may come so long after its time.
const GRACE: Duration = Duration::from_millis(350);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// When the wall clock is stepped.
#[derive(Clone, Copy, Debug)]
enum Moment {
    InLife,
    BetweenLives,
}

const MOMENTS: [Moment; 2] = [Moment::InLife, Moment::BetweenLives];

/// Kills the program and starts it again after a pause, with the wall clock stepped before or meanwhile.
fn restart_stepped(program: &mut Program, step: f64, moment: Moment, pause: Duration) {
    if matches!(moment, Moment::InLife) {
        program.step_wall_clock(step);
        sleep(ms(100));
    }
    program.kill();
    if matches!(moment, Moment::BetweenLives) {
        program.step_wall_clock(step);
    }
    sleep(pause);
    program.relaunch();
}

/// Guards against a repeat outside its window: the age of an attempt was told by the wall clock.
#[test]
fn a_window_is_over_after_its_span_of_real_time_whatever_the_wall_clock_says() {
    for (step, moment) in STEPS.into_iter().flat_map(|step| MOMENTS.map(|moment| (step, moment))) {
        println!("step {step}, {moment:?}");
        let endpoint = Endpoint::start(|_, _| Deed::Silence);
        let known = list(1, true, &[host("a", endpoint.at, "plain", "SERVING")]);
        let platform = Platform::start(known.clone(), 0);
        let window = ("\"repeat-window-ms\":8000.0", "\"repeat-window-ms\":1000.0");
        let mut program = Program::start_with_shim(&platform, &known, &[window]);
        assert_eq!(program.hand_in("token", "x", 8000, b""), 202);
        let first = endpoint.call();
        restart_stepped(&mut program, step, moment, ms(1200));
        platform.notice();
        for again in endpoint.calls.try_iter() {
            let age = again.at - first.at;
            assert!(age < ms(1050), "sent again after {age:?}");
        }
    }
}

/// Guards against final answers that come late, or too early: the end of a webhook's time was told by the wall clock.
#[test]
fn a_webhook_ends_in_its_span_of_real_time_whatever_the_wall_clock_says() {
    for (step, moment) in STEPS.into_iter().flat_map(|step| MOMENTS.map(|moment| (step, moment))) {
        println!("step {step}, {moment:?}");
        let known = list(1, true, &[host("a", address(), "plain", "DRAINING")]);
        let platform = Platform::start(known.clone(), 0);
        let mut program = Program::start_with_shim(&platform, &known, &[]);
        let since = Instant::now();
        assert_eq!(program.hand_in("once", "x", 1500, b""), 202);
        restart_stepped(&mut program, step, moment, ms(100));
        platform.notice();
        let took = since.elapsed();
        assert!(took > ms(1350) && took < ms(1500) + GRACE, "{took:?}");
    }
}

#[test]
fn what_was_not_tried_is_delivered_after_a_restart_whatever_the_wall_clock_says() {
    for (step, moment) in STEPS.into_iter().flat_map(|step| MOMENTS.map(|moment| (step, moment))) {
        println!("step {step}, {moment:?}");
        let at = address();
        let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
        let platform = Platform::start(known.clone(), 0);
        let mut program = Program::start_with_shim(&platform, &known, &[]);
        assert_eq!(program.hand_in("once", "x", 8000, b""), 202);
        program.logged("outcome=ConnectFailed", 1);
        let endpoint = Endpoint::start_at(at, |_, _| Deed::Say(OK));
        restart_stepped(&mut program, step, moment, ms(0));
        let left: u64 = endpoint.call().field("Req-Deadline").unwrap().trim_end_matches('m').parse().unwrap();
        assert!(left < 8000, "{left} ms");
    }
}

/// Guards against a cold endpoint that is taken for a warm one, or the other way round, by a wall clock that was stepped:
/// that an endpoint restarted shows in the list alone.
#[test]
fn a_step_of_the_wall_clock_stops_no_delivery() {
    for step in STEPS {
        println!("step {step}");
        let at = address();
        let endpoint = Manual::start(at);
        let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
        let platform = Platform::start(known.clone(), 0);
        let program = Program::start_with_shim(&platform, &known, &[]);
        program.step_wall_clock(step);
        assert_eq!(program.hand_in("once", "x", 8000, b""), 202);
        endpoint.accept();
    }
}

/// Guards against a wait that ends early: it was counted from the turn's reading of the clock, behind which the program
/// had been held up until after the answer was written.
#[test]
fn a_wait_is_counted_from_when_its_answer_had_come() {
    const WAIT: Duration = Duration::from_millis(300);
    let at = address();
    let endpoint = Manual::start(at);
    let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), 0);
    let program = Program::start_with_shim(&platform, &known, &[]);
    for number in 0..10 {
        assert_eq!(program.hand_in("idem", &format!("x{number}"), 8000, b""), 202);
        let mut line = endpoint.accept();
        hear(&mut line).unwrap();
        // The first half wakes the program up, and the rest comes while it is held up.
        program.hold_up(ms(150));
        line.write_all(b"HTTP/1.1 429 -\r\n").unwrap();
        sleep(ms(40));
        program.hold_up(ms(0));
        line.write_all(b"Retry-After: 0.3\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").unwrap();
        let told = Instant::now();
        let mut line = endpoint.accept();
        hear(&mut line).unwrap();
        assert!(told.elapsed() >= WAIT, "{number}: sent {:?} after it was told to wait", told.elapsed());
        line.write_all(b"HTTP/1.1 200 -\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").unwrap();
    }
}
