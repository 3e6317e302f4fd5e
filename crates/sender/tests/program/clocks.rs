//! Tests that steps of the wall clock, while the program runs or between two processes, do not change
//! durations.

use crate::helpers::{
    Action, Endpoint, ManualEndpoint, OK_RESPONSE, Platform, Program, endpoint_entry, endpoint_list,
    read_message, unique_address,
};
use std::io::Write;
use std::thread::sleep;
use std::time::{Duration, Instant};

const HOUR_SECS: f64 = 3600.0;
/// Steps of the wall clock in seconds: forward and back, small and large.
const WALL_CLOCK_STEPS_SECS: [f64; 4] = [2.0, HOUR_SECS, -2.0, -HOUR_SECS];
/// A final answer may come this long after the TTL is over.
const FINAL_ANSWER_GRACE: Duration = Duration::from_millis(350);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// When the wall clock is stepped.
#[derive(Clone, Copy, Debug)]
enum StepTime {
    /// Before the kill, while the program runs.
    WhileRunning,
    /// After the kill, before the next start.
    BetweenProcesses,
}

/// All step times.
const STEP_TIMES: [StepTime; 2] = [StepTime::WhileRunning, StepTime::BetweenProcesses];

/// Kills the program and starts it again after a pause, with a step of the wall clock before or after the
/// kill.
fn restart_with_wall_clock_step(program: &mut Program, step_secs: f64, step_time: StepTime, pause: Duration) {
    if matches!(step_time, StepTime::WhileRunning) {
        program.step_wall_clock(step_secs);
        sleep(millis(100));
    }
    program.kill();
    if matches!(step_time, StepTime::BetweenProcesses) {
        program.step_wall_clock(step_secs);
    }
    sleep(pause);
    program.start_again();
}

/// Guards against a retry after its repeat window: the age of an attempt was computed from the wall clock.
#[test]
fn a_repeat_window_ends_on_time_despite_wall_clock_steps() {
    for (step_secs, step_time) in WALL_CLOCK_STEPS_SECS
        .into_iter()
        .flat_map(|step_secs| STEP_TIMES.map(|step_time| (step_secs, step_time)))
    {
        println!("step {step_secs}, {step_time:?}");
        let endpoint = Endpoint::start(|_, _| Action::NoResponse);
        let initial_list =
            endpoint_list(1, true, &[endpoint_entry("a", endpoint.address, "plain", "SERVING")]);
        let platform = Platform::start(initial_list.clone(), 0);
        let window = ("\"repeat-window-ms\":8000.0", "\"repeat-window-ms\":1000.0");
        let mut program = Program::start_with_shim(&platform, &initial_list, &[window]);
        assert_eq!(program.submit_webhook("token", "x", 8000, b""), 202);
        let first = endpoint.next_call();
        restart_with_wall_clock_step(&mut program, step_secs, step_time, millis(1200));
        platform.next_notice();
        for retry in endpoint.calls.try_iter() {
            let age = retry.received_at - first.received_at;
            assert!(age < millis(1050), "retried after {age:?}");
        }
    }
}

/// Guards against final answers that come too late or too early: the end of the TTL was computed from the
/// wall clock.
#[test]
fn a_ttl_ends_on_time_despite_wall_clock_steps() {
    for (step_secs, step_time) in WALL_CLOCK_STEPS_SECS
        .into_iter()
        .flat_map(|step_secs| STEP_TIMES.map(|step_time| (step_secs, step_time)))
    {
        println!("step {step_secs}, {step_time:?}");
        let initial_list =
            endpoint_list(1, true, &[endpoint_entry("a", unique_address(), "plain", "DRAINING")]);
        let platform = Platform::start(initial_list.clone(), 0);
        let mut program = Program::start_with_shim(&platform, &initial_list, &[]);
        let started_at = Instant::now();
        assert_eq!(program.submit_webhook("once", "x", 1500, b""), 202);
        restart_with_wall_clock_step(&mut program, step_secs, step_time, millis(100));
        platform.next_notice();
        let elapsed = started_at.elapsed();
        assert!(elapsed > millis(1350) && elapsed < millis(1500) + FINAL_ANSWER_GRACE, "{elapsed:?}");
    }
}

#[test]
fn an_unsent_webhook_is_delivered_after_a_restart_despite_wall_clock_steps() {
    for (step_secs, step_time) in WALL_CLOCK_STEPS_SECS
        .into_iter()
        .flat_map(|step_secs| STEP_TIMES.map(|step_time| (step_secs, step_time)))
    {
        println!("step {step_secs}, {step_time:?}");
        let address = unique_address();
        let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
        let platform = Platform::start(initial_list.clone(), 0);
        let mut program = Program::start_with_shim(&platform, &initial_list, &[]);
        assert_eq!(program.submit_webhook("once", "x", 8000, b""), 202);
        program.wait_for_log("outcome=ConnectFailed", 1);
        let endpoint = Endpoint::start_at(address, |_, _| Action::Respond(OK_RESPONSE));
        restart_with_wall_clock_step(&mut program, step_secs, step_time, millis(0));
        let ttl_ms: u64 =
            endpoint.next_call().header("Req-Deadline").unwrap().trim_end_matches('m').parse().unwrap();
        assert!(ttl_ms < 8000, "{ttl_ms} ms");
    }
}

/// Guards against an endpoint that is taken for cold, or no longer cold, after a step of the wall clock.
/// Only the endpoint list may tell that an endpoint was restarted.
#[test]
fn a_wall_clock_step_does_not_stop_deliveries() {
    for step_secs in WALL_CLOCK_STEPS_SECS {
        println!("step {step_secs}");
        let address = unique_address();
        let endpoint = ManualEndpoint::start(address);
        let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
        let platform = Platform::start(initial_list.clone(), 0);
        let program = Program::start_with_shim(&platform, &initial_list, &[]);
        program.step_wall_clock(step_secs);
        assert_eq!(program.submit_webhook("once", "x", 8000, b""), 202);
        endpoint.accept();
    }
}

/// Guards against a wait (`Retry-After`) that ends too early: it was counted from the clock reading at the
/// start of the loop iteration, although the program had been delayed after it and the response was written
/// only then.
#[test]
fn a_wait_is_counted_from_the_receipt_of_its_response() {
    const WAIT: Duration = Duration::from_millis(300);
    let address = unique_address();
    let endpoint = ManualEndpoint::start(address);
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let program = Program::start_with_shim(&platform, &initial_list, &[]);
    for number in 0..10 {
        assert_eq!(program.submit_webhook("idem", &format!("x{number}"), 8000, b""), 202);
        let mut connection = endpoint.accept();
        read_message(&mut connection).unwrap();
        // The first part wakes the program up, and the rest comes while it is delayed.
        program.delay_clock_reads(millis(150));
        connection.write_all(b"HTTP/1.1 429 -\r\n").unwrap();
        sleep(millis(40));
        program.delay_clock_reads(millis(0));
        connection.write_all(b"Retry-After: 0.3\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").unwrap();
        let announced_at = Instant::now();
        let mut connection = endpoint.accept();
        read_message(&mut connection).unwrap();
        assert!(
            announced_at.elapsed() >= WAIT,
            "{number}: sent {:?} after the wait was announced",
            announced_at.elapsed()
        );
        connection.write_all(b"HTTP/1.1 200 -\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").unwrap();
    }
}
