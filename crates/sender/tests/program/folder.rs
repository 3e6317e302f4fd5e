//! The folder that lasts fails for a while, also while the program starts.

use crate::helpers::{Deed, Endpoint, OK, Platform, Program, address, host, list};
use scalebarrow_fault_control::FolderFault;
use std::time::Duration;

/// Guards against a start that is refused: the unfinished record that a kill left behind could not be cut off.
#[test]
fn a_start_on_a_torn_journal_needs_no_write() {
    for fault in [FolderFault::NoSpace, FolderFault::IoError] {
        println!("{fault:?}");
        let at = address();
        let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
        let platform = Platform::start(known.clone(), 0);
        let mut program = Program::start_with_shim(&platform, &known, &[]);
        assert_eq!(program.hand_in("once", "x", 8000, b""), 202);
        program.logged("outcome=ConnectFailed", 1);
        program.kill();
        program.tear_journal();
        let endpoint = Endpoint::start_at(at, |_, _| Deed::Say(OK));
        program.fail_folder(fault);
        program.relaunch();
        // No attempt can be recorded, so none is made.
        assert_eq!(program.hand_in("once", "y", 8000, b""), 503);
        assert!(endpoint.calls.recv_timeout(Duration::from_millis(300)).is_err());
        program.fail_folder(FolderFault::None);
        assert_eq!(endpoint.call().id(), "x");
        assert_eq!(program.hand_in("once", "z", 8000, b""), 202);
        assert_eq!(endpoint.call().id(), "z");
    }
}

/// Guards against an attempt after a final answer: the answer was told while its record could not be written, and the
/// process after a kill went on with a webhook that its client had been told to hand in again.
#[test]
fn what_was_given_up_while_the_folder_failed_is_not_sent_after_a_kill() {
    for fault in FolderFault::FAULTS {
        println!("{fault:?}");
        let at = address();
        let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
        let platform = Platform::start(known.clone(), 0);
        // Four may be held: one more makes room by giving up the one with the least to win.
        let mut program =
            Program::start_with_shim(&platform, &known, &[("\"open-cap\":300", "\"open-cap\":4")]);
        for number in 0..4 {
            program.hand_in("once", &format!("x{number}"), 8000, b"");
        }
        program.fail_folder(fault);
        program.hand_in("once", "y", 8000, b"");
        let next = || platform.notices.recv_timeout(Duration::from_millis(700)).ok();
        let told: Vec<String> = std::iter::from_fn(next).collect();
        program.kill();
        program.fail_folder(FolderFault::None);
        let endpoint = Endpoint::start_at(at, |_, _| Deed::Say(OK));
        program.relaunch();
        while let Ok(call) = endpoint.calls.recv_timeout(Duration::from_millis(1000)) {
            let id = format!("\"{}\"", call.id());
            assert!(!told.iter().any(|notice| notice.contains(&id)), "{id} was given up and sent");
        }
    }
}
