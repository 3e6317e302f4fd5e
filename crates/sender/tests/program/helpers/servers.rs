//! Mock servers: endpoints that answer each request, and ones that a test steers by hand.

use super::clients::small_window_socket;
use super::messages::{Action, HttpMessage, read_message};
use super::{TEST_TIMEOUT, unique_address};
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Starts a server that calls `handler` for each request and does what it returns. The handler also gets
/// the number of the request, counted from 0 over all connections.
pub(super) fn start_mock_server(
    address: SocketAddr, handler: impl Fn(usize, &HttpMessage) -> Action + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address).unwrap();
    let (handler, count) = (Arc::new(handler), Arc::new(AtomicUsize::new(0)));
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (handler, count) = (handler.clone(), count.clone());
            thread::spawn(move || {
                while let Some(request) = read_message(&mut stream) {
                    let response = match handler(count.fetch_add(1, Ordering::SeqCst), &request) {
                        Action::Respond(text) => text.to_owned(),
                        Action::RespondOwned(text) => text,
                        Action::Close => return,
                        Action::RespondAndClose(text) => {
                            let _ = stream.write_all(text.as_bytes());
                            return;
                        }
                        Action::NoResponse => continue,
                    };
                    if stream.write_all(response.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// A mock endpoint that handles each connection on a thread of its own.
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// The calls in the order in which they were received.
    pub calls: Receiver<HttpMessage>,
}

impl Endpoint {
    /// Starts an endpoint at a new address.
    pub fn start(handler: impl Fn(usize, &HttpMessage) -> Action + Send + Sync + 'static) -> Self {
        Self::start_at(unique_address(), handler)
    }

    /// Starts an endpoint at this address.
    pub fn start_at(
        address: SocketAddr, handler: impl Fn(usize, &HttpMessage) -> Action + Send + Sync + 'static,
    ) -> Self {
        let (call_sender, calls) = channel();
        let call_sender = Mutex::new(call_sender);
        start_mock_server(address, move |number, call| {
            let _ = call_sender.lock().unwrap().send(call.clone());
            handler(number, call)
        });
        Endpoint { address, calls }
    }

    /// Waits for the next call.
    pub fn next_call(&self) -> HttpMessage {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("no call was received")
    }
}

/// An endpoint that the test operates itself: it accepts, reads and responds only when the test does so.
pub struct ManualEndpoint(TcpListener);

impl ManualEndpoint {
    /// Starts an endpoint at this address.
    pub fn start(address: SocketAddr) -> Self {
        ManualEndpoint(TcpListener::bind(address).unwrap())
    }

    /// Starts an endpoint whose accept queue holds one connection. A connect beyond that is retried by TCP
    /// after a second.
    pub fn start_with_short_accept_queue(address: SocketAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&address.into()).unwrap();
        socket.listen(0).unwrap();
        ManualEndpoint(socket.into())
    }

    /// Starts an endpoint that takes in a few KB at a time, so that the sender cannot write a long call at
    /// once.
    pub fn start_with_small_window(address: SocketAddr) -> Self {
        let socket = small_window_socket();
        socket.bind(&address.into()).unwrap();
        socket.listen(8).unwrap();
        ManualEndpoint(socket.into())
    }

    /// Whether no connection is waiting to be accepted.
    pub fn has_no_pending_connection(&self) -> bool {
        self.0.set_nonblocking(true).unwrap();
        self.0.accept().is_err()
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> TcpStream {
        self.0.set_nonblocking(true).unwrap();
        let started_at = Instant::now();
        let stream = loop {
            match self.0.accept() {
                Ok((stream, _)) => break stream,
                Err(e) => assert!(started_at.elapsed() < TEST_TIMEOUT, "no connection was opened: {e}"),
            }
            thread::sleep(Duration::from_millis(1));
        };
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
    }
}

/// Waits until the last bytes sent by an endpoint, or the close of its connection, have reached the sender.
/// On a busy machine this may take longer than the call that sends. The endpoint must have only one
/// connection.
pub fn wait_until_received(endpoint: SocketAddr) {
    let SocketAddr::V4(ipv4) = endpoint else { panic!("{endpoint} is not an IPv4 address") };
    let remote = format!("{:08X}:{:04X}", u32::from_le_bytes(ipv4.ip().octets()), ipv4.port());
    let is_idle = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // State ESTABLISHED with an empty receive queue.
        fields.get(2) == Some(&remote.as_str()) && fields[3] == "01" && fields[4].ends_with(":00000000")
    };
    let started_at = Instant::now();
    while std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(is_idle) {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "nothing was received from {endpoint}");
        thread::sleep(Duration::from_millis(1));
    }
}
