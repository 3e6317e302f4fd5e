//! Starts and controls the built sender, and provides mock endpoints, a mock platform and clients for it.

mod clients;
mod delivery;
mod messages;
mod platform;
mod program;
mod servers;

pub use clients::{ManyClients, connect_with_small_window, is_closed_cleanly, reset_connection};
pub use delivery::DeliveryChecker;
pub use messages::{
    Action, HttpMessage, NO_CONTENT_RESPONSE, OK_RESPONSE, read_message, send_request, webhook_request,
    webhook_request_for,
};
pub use platform::{Platform, endpoint_entry, endpoint_entry_for, endpoint_list};
pub use program::{Program, config, run_to_exit};
pub use servers::{Endpoint, ManualEndpoint, wait_until_received};

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Timeout for anything a test waits for. It is far longer than any step takes, so reaching it means
/// failure.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Returns a loopback address that no other party uses, so that concurrent tests and test runs do not
/// collide.
pub fn unique_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let (number, pid) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let (last_octet, port) = ((number % 256) as u8, 8081 + (number / 256) as u16);
    SocketAddr::from(([127, 100 + (pid % 100) as u8, (pid / 100 % 250) as u8, last_octet], port))
}
