//! Checks that each webhook gets exactly one final answer.

use super::TEST_TIMEOUT;
use super::messages::{HttpMessage, OK_RESPONSE, read_message};
use super::platform::Platform;
use super::program::Program;
use super::servers::ManualEndpoint;
use std::io::Write;
use std::net::TcpStream;

/// Checks the delivery guarantees: each accepted webhook gets one final answer, by delivery or by a notice,
/// and an at-most-once webhook is not sent again once it may have run.
#[derive(Default)]
pub struct DeliveryChecker {
    /// Ids of the webhooks that were answered with 202.
    accepted: Vec<String>,
    /// The webhook id of each call that was received in full, so that the webhook may have run.
    called: Vec<String>,
    /// Ids of the webhooks that an endpoint reported as delivered before their TTL was over.
    delivered: Vec<String>,
}

impl DeliveryChecker {
    /// Submits a webhook, which must be accepted.
    pub fn submit(&mut self, program: &Program, event_type: &str, id: &str, ttl_ms: u64) {
        assert_eq!(program.submit_webhook(event_type, id, ttl_ms, b""), 202, "{id}");
        self.accepted.push(id.to_owned());
    }

    /// Records a webhook that the test submitted itself and that was answered with 202.
    pub fn add_accepted(&mut self, id: &str) {
        self.accepted.push(id.to_owned());
    }

    /// Reads one call, whose webhook may have run from then on.
    pub fn read_call(&mut self, stream: &mut TcpStream) -> HttpMessage {
        let call = read_message(stream).expect("no call was received");
        self.called.push(call.id());
        call
    }

    /// Records a webhook that was reported as delivered before its TTL was over.
    pub fn add_delivered(&mut self, id: &str) {
        self.delivered.push(id.to_owned());
    }

    /// Accepts a connection, reads the call for this webhook and reports it as delivered.
    pub fn deliver_next(&mut self, endpoint: &ManualEndpoint, id: &str) -> TcpStream {
        let mut connection = endpoint.accept();
        assert_eq!(self.read_call(&mut connection).id(), id);
        connection.write_all(OK_RESPONSE.as_bytes()).unwrap();
        self.add_delivered(id);
        connection
    }

    /// Waits until each accepted webhook has its final answer, then checks the guarantees. Ids of
    /// at-most-once webhooks begin with `once`.
    pub fn check_final_answers(self, platform: &Platform) {
        let mut notified: Vec<String> = Vec::new();
        while self.accepted.iter().any(|id| !notified.contains(id) && !self.delivered.contains(id)) {
            let notice = platform.notices.recv_timeout(TEST_TIMEOUT);
            let notice = notice
                .unwrap_or_else(|_| panic!("no final answer: {:?}, notified {notified:?}", self.accepted));
            notified.extend(notice.lines().filter_map(|line| line.split('"').nth(3)).map(str::to_owned));
        }
        assert!(
            !self.delivered.iter().any(|id| notified.contains(id)),
            "delivered and given up: {notified:?}"
        );
        assert!(notified.iter().all(|id| self.accepted.contains(id)), "{notified:?} of {:?}", self.accepted);
        for id in self.called.iter().filter(|id| id.starts_with("once")) {
            assert_eq!(self.called.iter().filter(|called| *called == id).count(), 1, "{id} was sent twice");
        }
    }
}
