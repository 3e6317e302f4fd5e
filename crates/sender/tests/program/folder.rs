//! Tests the sender when writes to its state folder fail for a while, also during start.

use crate::helpers::{
    Action, Endpoint, OK_RESPONSE, Platform, Program, endpoint_entry, endpoint_list, unique_address,
};
use scalebarrow_fault_control::FolderFault;
use std::time::Duration;

/// Guards against a start that fails because the partial record left by a kill cannot be truncated.
#[test]
fn a_start_after_a_partial_journal_record_needs_no_write() {
    for fault in [FolderFault::NoSpace, FolderFault::IoError] {
        println!("{fault:?}");
        let address = unique_address();
        let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
        let platform = Platform::start(initial_list.clone(), 0);
        let mut program = Program::start_with_shim(&platform, &initial_list, &[]);
        assert_eq!(program.submit_webhook("once", "x", 8000, b""), 202);
        program.wait_for_log("outcome=ConnectFailed", 1);
        program.kill();
        program.append_partial_record();
        let endpoint = Endpoint::start_at(address, |_, _| Action::Respond(OK_RESPONSE));
        program.inject_folder_fault(fault);
        program.start_again();
        // An attempt that cannot be recorded is not made.
        assert_eq!(program.submit_webhook("once", "y", 8000, b""), 503);
        assert!(endpoint.calls.recv_timeout(Duration::from_millis(300)).is_err());
        program.inject_folder_fault(FolderFault::None);
        assert_eq!(endpoint.next_call().id(), "x");
        assert_eq!(program.submit_webhook("once", "z", 8000, b""), 202);
        assert_eq!(endpoint.next_call().id(), "z");
    }
}

/// Guards against an attempt after a final answer: the answer was reported although its record could not be
/// written, and after a kill the next process sent a webhook that its client had been told to submit again.
#[test]
fn a_webhook_reported_as_given_up_during_write_errors_is_not_sent_after_a_kill() {
    for fault in FolderFault::FAULTS {
        println!("{fault:?}");
        let address = unique_address();
        let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
        let platform = Platform::start(initial_list.clone(), 0);
        // At most four webhooks may be pending: a fifth one displaces the one of the lowest value.
        let mut program =
            Program::start_with_shim(&platform, &initial_list, &[("\"open-cap\":300", "\"open-cap\":4")]);
        for number in 0..4 {
            program.submit_webhook("once", &format!("x{number}"), 8000, b"");
        }
        program.inject_folder_fault(fault);
        program.submit_webhook("once", "y", 8000, b"");
        let next_notice = || platform.notices.recv_timeout(Duration::from_millis(700)).ok();
        let reported: Vec<String> = std::iter::from_fn(next_notice).collect();
        program.kill();
        program.inject_folder_fault(FolderFault::None);
        let endpoint = Endpoint::start_at(address, |_, _| Action::Respond(OK_RESPONSE));
        program.start_again();
        while let Ok(call) = endpoint.calls.recv_timeout(Duration::from_millis(1000)) {
            let id = format!("\"{}\"", call.id());
            assert!(
                !reported.iter().any(|notice| notice.contains(&id)),
                "{id} was sent after it was given up"
            );
        }
    }
}
