//! The folder that lasts fails for a while, also while the program starts.

use crate::helpers::{Deed, Endpoint, OK, Platform, Program, address, host, list};
use scalebarrow_fault_control::FolderFault;
use std::time::Duration;

/// Guards against a start that is refused: the unfinished record that a kill left behind could not be cut off.
#[test]
fn a_start_on_a_torn_journal_needs_no_write() {
    for fault in [FolderFault::Full, FolderFault::Broken] {
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
