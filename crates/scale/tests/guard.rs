//! The limits that a run keeps by itself.

use scalebarrow_scale::guard::{Guard, Limits, Usage};
use scalebarrow_scale::interrupt::Stop;
use std::process::Command;
use std::time::{Duration, Instant};

#[test]
fn limits_admit_what_fits() {
    let limits = Limits { memory: 1000, processes: 3 };
    for (memory, processes, added, fits) in [
        (0, 1, 0, true),
        (900, 2, 100, true),
        (900, 2, 101, false),
        (1001, 2, 0, false),
        (0, 3, 0, false),
        (u64::MAX, 1, 1, false),
    ] {
        let now = Usage { memory, processes };
        let admitted = limits.admit(now, Usage { memory: added, processes: 1 });
        assert_eq!(admitted.is_ok(), fits, "{now:?} and {added}");
    }
    assert_eq!(Limits::default(), Limits { memory: 12 << 30, processes: 200 });
}

/// A run that passes its memory is told to stop, and why.
#[test]
fn a_run_over_its_memory_is_stopped() {
    let stop = Stop::default();
    let guard = Guard::start(Limits { memory: 4096, processes: 3 }, &stop).unwrap();
    let began = Instant::now();
    while !stop.is_set() {
        assert!(began.elapsed() < Duration::from_secs(10), "it is not stopped");
        std::thread::sleep(Duration::from_millis(5));
    }
    let why = guard.check().unwrap_err().to_string();
    assert!(why.starts_with("memory: "), "{why}");
    assert!(guard.admit(0).is_err());
}

#[test]
fn children_count_until_they_are_waited_for() {
    let guard = Guard::start(Limits { memory: 1 << 34, processes: 3 }, &Stop::default()).unwrap();
    let mut children: Vec<_> = (0..2).map(|_| Command::new("sleep").arg("30").spawn().unwrap()).collect();
    for child in &children {
        guard.admit(0).unwrap();
        guard.add(child.id());
    }
    let why = guard.admit(0).unwrap_err().to_string();
    assert_eq!(why, "processes: 4 of 3 allowed");
    for child in &mut children {
        child.kill().unwrap();
        child.wait().unwrap();
        guard.remove(child.id());
    }
    guard.admit(0).unwrap();
    guard.check().unwrap();
}
