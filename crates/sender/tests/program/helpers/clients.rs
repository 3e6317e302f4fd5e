//! Clients with connections of special kinds.

use super::TEST_TIMEOUT;
use super::program::Program;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// A socket to which the peer can send only tens of KB before this side reads: it has a small segment size
/// and a small receive window.
pub(super) fn small_window_socket() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(1024).unwrap();
    socket.set_tcp_mss(88).unwrap();
    socket
}

/// A client to which only a few responses can be sent before it reads them.
pub fn connect_with_small_window(listen_address: SocketAddr) -> TcpStream {
    let socket = small_window_socket();
    socket.connect(&listen_address.into()).unwrap();
    socket.into()
}

/// More clients than the program handles in one iteration of its event loop. Events behind their requests
/// are ready, but handled only in a later iteration.
pub struct ManyClients(Vec<TcpStream>);

impl ManyClients {
    /// The change of the configuration that allows so many clients.
    pub const CONFIG_CHANGE: (&str, &str) = ("\"sockets\":256", "\"sockets\":1000");
    const COUNT: usize = 300;

    /// Connects the clients without sending anything.
    pub fn connect(program: &Program) -> Self {
        let (initial_descriptors, started_at) = (program.descriptor_count(), Instant::now());
        let mut clients = Vec::new();
        while clients.len() < Self::COUNT {
            // Fewer than the listener's accept queue holds: a connect beyond that is retried by TCP only
            // after a second.
            clients.extend((0..50).map(|_| program.connect()));
            // Other connections may be closed meanwhile, hence the margin.
            while program.descriptor_count() < initial_descriptors + clients.len() - 20 {
                assert!(started_at.elapsed() < TEST_TIMEOUT, "the clients are not accepted");
                thread::sleep(Duration::from_millis(1));
            }
        }
        // Lets the program handle the first event of each connection, which only reports that it is
        // writable.
        thread::sleep(Duration::from_millis(20));
        ManyClients(clients)
    }

    /// Sends one request from each client.
    pub fn send_requests(&mut self) {
        for client in &mut self.0 {
            client.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        }
    }
}

/// Whether the connection ends with an orderly close: no further data and no reset.
pub fn is_closed_cleanly(mut stream: TcpStream) -> bool {
    matches!(stream.read(&mut [0; 64]), Ok(0))
}

/// Closes the connection with a reset, which may discard what the peer sent last.
pub fn reset_connection(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}
