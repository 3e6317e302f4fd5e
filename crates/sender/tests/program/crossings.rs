//! Tests races of two events. The order is forced: the test holds responses back, or stops the program
//! until both events have happened, so that it sees them in one iteration of its event loop, or one of them
//! only in the next. docs/crossings.md lists all of them.

mod closing;
mod endpoints;
mod list;
mod restarts;

use crate::helpers::{
    ManualEndpoint, ManyClients, Platform, Program, endpoint_entry, endpoint_entry_for, endpoint_list,
    send_request, unique_address, webhook_request_for,
};
use std::time::Duration;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Starts a sender with one endpoint that the test operates.
fn with_manual_endpoint(changes: &[(&str, &str)]) -> (ManualEndpoint, Platform, Program) {
    let address = unique_address();
    let endpoint = ManualEndpoint::start(address);
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let program = Program::start(&platform, &initial_list, changes);
    (endpoint, platform, program)
}

/// The same with a queued webhook `once-held` that no endpoint takes, so that a shutdown takes as long as
/// it may.
fn with_undeliverable_webhook() -> (ManualEndpoint, Platform, Program) {
    let address = unique_address();
    let endpoint = ManualEndpoint::start(address);
    let entries = [
        endpoint_entry("a", address, "plain", "SERVING"),
        endpoint_entry_for(2, "b", unique_address(), "plain", "DRAINING"),
    ];
    let initial_list = endpoint_list(1, true, &entries);
    let platform = Platform::start(initial_list.clone(), 0);
    let program = Program::start(&platform, &initial_list, &[ManyClients::CONFIG_CHANGE]);
    let undeliverable = webhook_request_for(2, "once", "once-held", 6000, b"");
    assert_eq!(send_request(program.listen_address, &undeliverable).unwrap().status(), 202);
    (endpoint, platform, program)
}
