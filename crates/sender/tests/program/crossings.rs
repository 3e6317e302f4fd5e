//! Two events that cross, in the order that is forced on them: held answers, and a program that stands still while both
//! happen, so that it sees them in one turn, or one of them only in the next. docs/crossings.md lists all of them.

mod closing;
mod endpoints;
mod list;
mod restarts;

use crate::helpers::{Crowd, Manual, Platform, Program, address, hand_in_for, host, host_of, list, say};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A program with one endpoint in the test's hands.
fn with_manual(changes: &[(&str, &str)]) -> (Manual, Platform, Program) {
    let at = address();
    let endpoint = Manual::start(at);
    let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), 0);
    let program = Program::start(&platform, &known, changes);
    (endpoint, platform, program)
}

/// The same, and it holds a webhook `once-held` that nobody takes: asked to end, it does not before its time.
fn with_one_held() -> (Manual, Platform, Program) {
    let at = address();
    let endpoint = Manual::start(at);
    let hosts = [host("a", at, "plain", "SERVING"), host_of(2, "b", address(), "plain", "DRAINING")];
    let known = list(1, true, &hosts);
    let platform = Platform::start(known.clone(), 0);
    let program = Program::start(&platform, &known, &[Crowd::ROOM]);
    let held = hand_in_for(2, "once", "once-held", 6000, b"");
    assert_eq!(say(program.listen, &held).unwrap().status(), 202);
    (endpoint, platform, program)
}
