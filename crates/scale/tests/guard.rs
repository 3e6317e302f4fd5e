//! The limits on the memory and the processes of a run.

use scalebarrow_scale::guard::{Guard, Limits, Usage};
use scalebarrow_scale::interrupt::StopFlag;
use std::process::Command;
use std::time::{Duration, Instant};

#[test]
fn limits_admit_only_what_keeps_them() {
    let limits = Limits { memory_bytes: 1000, processes: 3 };
    for (memory_bytes, processes, added_bytes, keeps_limits) in [
        (0, 1, 0, true),
        (900, 2, 100, true),
        (900, 2, 101, false),
        (1001, 2, 0, false),
        (0, 3, 0, false),
        (u64::MAX, 1, 1, false),
    ] {
        let current = Usage { memory_bytes, processes };
        let admitted = limits.admit(current, Usage { memory_bytes: added_bytes, processes: 1 });
        assert_eq!(admitted.is_ok(), keeps_limits, "{current:?} and {added_bytes}");
    }
    assert_eq!(Limits::default(), Limits { memory_bytes: 12 << 30, processes: 200 });
}

#[test]
fn a_run_that_exceeds_its_memory_is_stopped_and_the_reason_named() {
    let stop = StopFlag::default();
    let guard = Guard::start(Limits { memory_bytes: 4096, processes: 3 }, &stop).unwrap();
    let began_at = Instant::now();
    while !stop.is_set() {
        assert!(began_at.elapsed() < Duration::from_secs(10), "the run was not stopped");
        std::thread::sleep(Duration::from_millis(5));
    }
    let reason = guard.check().unwrap_err().to_string();
    assert!(reason.starts_with("memory: "), "{reason}");
    assert!(guard.admit(0).is_err());
}

#[test]
fn child_processes_count_until_they_are_waited_for() {
    let guard = Guard::start(Limits { memory_bytes: 1 << 34, processes: 3 }, &StopFlag::default()).unwrap();
    let mut children: Vec<_> = (0..2).map(|_| Command::new("sleep").arg("30").spawn().unwrap()).collect();
    for child in &children {
        guard.admit(0).unwrap();
        guard.add_child(child.id());
    }
    let reason = guard.admit(0).unwrap_err().to_string();
    assert_eq!(reason, "processes: 4 of 3 allowed");
    for child in &mut children {
        child.kill().unwrap();
        child.wait().unwrap();
        guard.remove_child(child.id());
    }
    guard.admit(0).unwrap();
    guard.check().unwrap();
}
