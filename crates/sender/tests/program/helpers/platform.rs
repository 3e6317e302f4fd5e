//! The mock platform, and the endpoint lists that it serves.

use super::messages::{Action, NO_CONTENT_RESPONSE};
use super::servers::start_mock_server;
use super::{TEST_TIMEOUT, unique_address};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// An entry of the endpoint list for an endpoint of destination 1.
pub fn endpoint_entry(name: &str, address: SocketAddr, destination_kind: &str, health: &str) -> String {
    endpoint_entry_for(1, name, address, destination_kind, health)
}

/// An entry of the endpoint list.
pub fn endpoint_entry_for(
    destination: u64, name: &str, address: SocketAddr, destination_kind: &str, health: &str,
) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{address}","site":"z","class":"{destination_kind}","block":{destination},"health":"{health}","share":50.0,"born_ms":0}}"#
    )
}

/// An endpoint list, or the changes since another version of it.
pub fn endpoint_list(version: u64, is_complete: bool, entries: &[String]) -> String {
    format!(r#"{{"seq":{version},"whole":{is_complete},"hosts":[{}]}}"#, entries.join(","))
}

/// A mock platform. It serves the endpoint list, holds each watch until there is a change or its wait is
/// over, and receives notices.
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    /// The bodies of the notices in the order in which they were received.
    pub notices: Receiver<String>,
    /// Responses to the next watches.
    watch_bodies: Arc<(Mutex<Vec<String>>, Condvar)>,
}

impl Platform {
    /// Serves `full_list`. The first `rejected_notices` notices are answered with an error.
    pub fn start(full_list: String, rejected_notices: usize) -> Self {
        let (address, (notice_sender, notices)) = (unique_address(), channel::<String>());
        let watch_bodies = Arc::new((Mutex::new(Vec::<String>::new()), Condvar::new()));
        let (shared, notice_sender): (_, Mutex<Sender<String>>) =
            (watch_bodies.clone(), Mutex::new(notice_sender));
        let notice_count = AtomicUsize::new(0);
        start_mock_server(address, move |_, request| {
            if request.head.starts_with("POST /v1/outcomes ") {
                let _ = notice_sender.lock().unwrap().send(String::from_utf8(request.body.clone()).unwrap());
                let rejected = notice_count.fetch_add(1, Ordering::SeqCst) < rejected_notices;
                return Action::Respond(if rejected {
                    "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n"
                } else {
                    NO_CONTENT_RESPONSE
                });
            }
            let mut body = full_list.clone();
            if let Some(watch) = request.head.strip_prefix("GET /v1/endpoints?since=") {
                let number = |text: &str| text.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse();
                let since_version: u64 = number(watch).unwrap();
                let wait_ms: u64 = number(watch.split_once("timeout_ms=").unwrap().1).unwrap();
                let (queued, wait) = (shared.0.lock().unwrap(), Duration::from_millis(wait_ms));
                let mut queued =
                    shared.1.wait_timeout_while(queued, wait, |bodies| bodies.is_empty()).unwrap().0;
                // A watch without changes is answered when its wait is over.
                body = if queued.is_empty() {
                    endpoint_list(since_version, false, &[])
                } else {
                    queued.remove(0)
                };
            }
            Action::RespondOwned(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
        });
        Platform { address, notices, watch_bodies }
    }

    /// Answers the open watch, or the next one, with this body.
    pub fn answer_watch(&self, body: String) {
        self.watch_bodies.0.lock().unwrap().push(body);
        self.watch_bodies.1.notify_all();
    }

    /// Waits for the next notice.
    pub fn next_notice(&self) -> String {
        self.notices.recv_timeout(TEST_TIMEOUT).expect("no notice was received")
    }
}
