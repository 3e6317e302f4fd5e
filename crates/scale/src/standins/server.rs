//! A server on loopback that runs in a thread of its own: it reads HTTP requests, passes them to a service,
//! and carries out what the service asks for.

use super::message::{Request, response};
use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The poll token of the waker.
const WAKER_TOKEN: Token = Token(0);
/// Bytes that one read takes from a connection at most.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Listeners have poll tokens below this number, connections have tokens from it on.
const FIRST_CONNECTION_TOKEN: usize = 10_000;

/// The id of a connection. It is not used again for another connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(usize);

/// What a server does with requests. All methods run in the server's thread and must not block.
pub trait Service: Send + 'static {
    /// A complete request has arrived over a connection that was opened to `address`.
    fn on_request(
        &mut self, connection: ConnectionId, address: SocketAddr, request: Request,
        actions: &mut ServerActions,
    );
    /// A connection was closed, by either side.
    fn on_connection_closed(&mut self, _connection: ConnectionId) {}
    /// A time that the service set with `wake_at` has come.
    fn on_wake(&mut self, _actions: &mut ServerActions) {}
    /// Bytes that the service scheduled with `send_at` are about to be written.
    fn on_delayed_send(&mut self, _connection: ConnectionId) {}
    /// A copy that the service scheduled with `send_copy_at` is about to be written.
    fn on_copy(&mut self, _connection: ConnectionId) {}
}

/// What a service asks its server to do.
#[derive(Default)]
pub struct ServerActions {
    immediate_sends: Vec<(ConnectionId, Vec<u8>)>,
    delayed_sends: Vec<(Instant, ConnectionId, Vec<u8>)>,
    delayed_parts: Vec<(Instant, ConnectionId, Vec<u8>)>,
    copies: Vec<(Instant, ConnectionId, Vec<u8>)>,
    wake_times: Vec<Instant>,
    connections_to_close: Vec<ConnectionId>,
    listeners_to_open: Vec<SocketAddr>,
    listeners_to_close: Vec<SocketAddr>,
}

impl ServerActions {
    /// Writes bytes to a connection at once.
    pub fn send(&mut self, connection: ConnectionId, bytes: Vec<u8>) {
        self.immediate_sends.push((connection, bytes));
    }

    /// Writes bytes to a connection at a later time, when `on_delayed_send` is called as well.
    pub fn send_at(&mut self, send_at: Instant, connection: ConnectionId, bytes: Vec<u8>) {
        self.delayed_sends.push((send_at, connection, bytes));
    }

    /// Writes a part of a response to a connection at a later time.
    pub fn send_part_at(&mut self, send_at: Instant, connection: ConnectionId, bytes: Vec<u8>) {
        self.delayed_parts.push((send_at, connection, bytes));
    }

    /// Writes a second copy of a response to a connection at a later time, when `on_copy` is called as well.
    pub fn send_copy_at(&mut self, send_at: Instant, connection: ConnectionId, bytes: Vec<u8>) {
        self.copies.push((send_at, connection, bytes));
    }

    /// Calls `on_wake` at a later time.
    pub fn wake_at(&mut self, wake_at: Instant) {
        self.wake_times.push(wake_at);
    }

    /// Closes a connection.
    pub fn close(&mut self, connection: ConnectionId) {
        self.connections_to_close.push(connection);
    }

    /// Listens at an address again.
    pub fn open_listener(&mut self, address: SocketAddr) {
        self.listeners_to_open.push(address);
    }

    /// Closes the listener at an address with all its connections: from now on connections to it are refused.
    pub fn close_listener(&mut self, address: SocketAddr) {
        self.listeners_to_close.push(address);
    }
}

type Task<S> = Box<dyn FnOnce(&mut S, &mut ServerActions) + Send>;

enum Command<S> {
    Run(Task<S>),
    Stop,
}

/// A running server. It stops when this is dropped.
pub struct Server<S: Service> {
    commands: Sender<Command<S>>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
}

impl<S: Service> Server<S> {
    /// Starts a server that listens at these addresses.
    pub fn start(addresses: &[SocketAddr], service: S) -> io::Result<Self> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER_TOKEN)?);
        let (commands, command_receiver) = channel();
        let mut event_loop = EventLoop {
            poll,
            service,
            commands: command_receiver,
            listeners: HashMap::new(),
            connections: HashMap::new(),
            next_listener_token: 1,
            next_connection_token: FIRST_CONNECTION_TOKEN,
            timer_queue: BinaryHeap::new(),
            timers: HashMap::new(),
            next_timer_id: 0,
        };
        for address in addresses {
            event_loop.listen(*address)?;
        }
        let thread = std::thread::Builder::new().name("stand-in".into()).spawn(move || event_loop.run())?;
        Ok(Server { commands, waker, thread: Some(thread) })
    }

    /// Runs a task on the service in the server's thread and waits for its result. `None` if the server has
    /// stopped.
    pub fn with_service<T: Send + 'static>(
        &self, task: impl FnOnce(&mut S, &mut ServerActions) -> T + Send + 'static,
    ) -> Option<T> {
        let (result_sender, result_receiver) = channel();
        let task: Task<S> = Box::new(move |service, actions| {
            // If the caller is gone, nobody waits for the result.
            let _ = result_sender.send(task(service, actions));
        });
        self.commands.send(Command::Run(task)).ok()?;
        self.waker.wake().ok()?;
        result_receiver.recv().ok()
    }
}

impl<S: Service> Drop for Server<S> {
    fn drop(&mut self) {
        // If the thread has stopped already, nobody receives the command.
        let _ = self.commands.send(Command::Stop);
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Connection {
    stream: TcpStream,
    /// The token of the listener that accepted it.
    listener: usize,
    /// The address of that listener.
    address: SocketAddr,
    /// Bytes read that are not a complete request yet.
    read_buffer: Vec<u8>,
    /// Bytes that are still to be written.
    write_buffer: VecDeque<u8>,
}

enum Timer {
    Send(ConnectionId, Vec<u8>),
    SendPart(ConnectionId, Vec<u8>),
    SendCopy(ConnectionId, Vec<u8>),
    Wake,
}

struct EventLoop<S> {
    poll: Poll,
    service: S,
    commands: Receiver<Command<S>>,
    /// By poll token.
    listeners: HashMap<usize, (SocketAddr, TcpListener)>,
    /// By poll token, which is the connection's id.
    connections: HashMap<usize, Connection>,
    next_listener_token: usize,
    next_connection_token: usize,
    /// The timers' times and ids, the next one first.
    timer_queue: BinaryHeap<Reverse<(Instant, u64)>>,
    /// What to do, by timer id.
    timers: HashMap<u64, Timer>,
    next_timer_id: u64,
}

impl<S: Service> EventLoop<S> {
    fn run(&mut self) {
        let mut events = Events::with_capacity(1024);
        let mut chunk = vec![0; MAX_READ_BYTES];
        loop {
            let timeout = self
                .timer_queue
                .peek()
                .map(|Reverse((timer_at, _))| timer_at.saturating_duration_since(Instant::now()));
            // The system call rounds the timeout up to whole milliseconds; being a little late is accurate
            // enough here.
            match self.poll.poll(&mut events, timeout.map(|timeout| timeout + Duration::from_micros(1))) {
                Err(error) if error.kind() != ErrorKind::Interrupted => return,
                _ => {}
            }
            for event in &events {
                self.handle_event(event, &mut chunk);
            }
            let mut actions = ServerActions::default();
            while let Ok(command) = self.commands.try_recv() {
                match command {
                    Command::Run(task) => task(&mut self.service, &mut actions),
                    Command::Stop => return,
                }
            }
            self.run_due_timers(&mut actions);
            self.apply(actions);
        }
    }

    fn handle_event(&mut self, event: &Event, chunk: &mut [u8]) {
        match event.token() {
            WAKER_TOKEN => {}
            Token(token) if token < FIRST_CONNECTION_TOKEN => self.accept(token),
            Token(token) => {
                if event.is_writable() {
                    self.flush(token);
                }
                if event.is_readable() {
                    self.read(token, chunk);
                }
            }
        }
    }

    fn listen(&mut self, address: SocketAddr) -> io::Result<()> {
        let mut listener = TcpListener::bind(address)?;
        let token = self.next_listener_token;
        self.next_listener_token += 1;
        self.poll.registry().register(&mut listener, Token(token), Interest::READABLE)?;
        self.listeners.insert(token, (address, listener));
        Ok(())
    }

    fn close_listener(&mut self, address: SocketAddr) {
        let Some(listener_token) =
            self.listeners.iter().find(|(_, listener)| listener.0 == address).map(|(token, _)| *token)
        else {
            return;
        };
        self.listeners.remove(&listener_token);
        let accepted: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.listener == listener_token)
            .map(|(token, _)| *token)
            .collect();
        for token in accepted {
            self.close(token);
        }
    }

    fn accept(&mut self, listener: usize) {
        while let Some((address, tcp_listener)) = self.listeners.get(&listener)
            && let Ok((mut stream, _)) = tcp_listener.accept()
        {
            let (address, token) = (*address, self.next_connection_token);
            self.next_connection_token += 1;
            let interest = Interest::READABLE | Interest::WRITABLE;
            // Without this, small answers would be delayed.
            let ready = stream
                .set_nodelay(true)
                .and_then(|()| self.poll.registry().register(&mut stream, Token(token), interest));
            if ready.is_ok() {
                self.connections.insert(
                    token,
                    Connection {
                        stream,
                        listener,
                        address,
                        read_buffer: Vec::new(),
                        write_buffer: VecDeque::new(),
                    },
                );
            }
        }
    }

    fn read(&mut self, token: usize, chunk: &mut [u8]) {
        loop {
            let Some(connection) = self.connections.get_mut(&token) else { return };
            match connection.stream.read(chunk) {
                Ok(0) => return self.close(token),
                Ok(count) => connection.read_buffer.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.close(token),
            }
            if !self.serve(token) {
                return self.close(token);
            }
        }
    }

    /// Passes all complete requests of a connection to the service; false if its bytes are not a request.
    fn serve(&mut self, token: usize) -> bool {
        while let Some(connection) = self.connections.get_mut(&token) {
            let address = connection.address;
            match Request::take(&mut connection.read_buffer) {
                Ok(Some(request)) => {
                    let mut actions = ServerActions::default();
                    self.service.on_request(ConnectionId(token), address, request, &mut actions);
                    self.apply(actions);
                }
                Ok(None) => return true,
                Err(_) => {
                    connection.write_buffer.extend(response(400, "", ""));
                    self.flush(token);
                    return false;
                }
            }
        }
        true
    }

    fn apply(&mut self, actions: ServerActions) {
        for (ConnectionId(token), bytes) in actions.immediate_sends {
            if let Some(connection) = self.connections.get_mut(&token) {
                connection.write_buffer.extend(bytes);
                self.flush(token);
            }
        }
        let sends = actions
            .delayed_sends
            .into_iter()
            .map(|(send_at, connection, bytes)| (send_at, Timer::Send(connection, bytes)));
        let copies = actions
            .copies
            .into_iter()
            .map(|(send_at, connection, bytes)| (send_at, Timer::SendCopy(connection, bytes)));
        let parts = actions
            .delayed_parts
            .into_iter()
            .map(|(send_at, connection, bytes)| (send_at, Timer::SendPart(connection, bytes)));
        let wakes = actions.wake_times.into_iter().map(|wake_at| (wake_at, Timer::Wake));
        for (timer_at, timer) in sends.chain(copies).chain(parts).chain(wakes) {
            self.timer_queue.push(Reverse((timer_at, self.next_timer_id)));
            self.timers.insert(self.next_timer_id, timer);
            self.next_timer_id += 1;
        }
        for ConnectionId(token) in actions.connections_to_close {
            self.close(token);
        }
        for address in actions.listeners_to_close {
            self.close_listener(address);
        }
        for address in actions.listeners_to_open {
            if let Err(error) = self.listen(address) {
                tracing::error!(at = %address, e = %error, "a stand-in cannot listen at its address again");
            }
        }
    }

    fn run_due_timers(&mut self, actions: &mut ServerActions) {
        let now = Instant::now();
        while let Some(Reverse((timer_at, timer_id))) = self.timer_queue.peek().copied()
            && timer_at <= now
        {
            self.timer_queue.pop();
            match self.timers.remove(&timer_id) {
                Some(Timer::Send(connection, bytes)) if self.connections.contains_key(&connection.0) => {
                    self.service.on_delayed_send(connection);
                    actions.send(connection, bytes);
                }
                Some(Timer::SendPart(connection, bytes)) => actions.send(connection, bytes),
                Some(Timer::SendCopy(connection, bytes)) if self.connections.contains_key(&connection.0) => {
                    self.service.on_copy(connection);
                    actions.send(connection, bytes);
                }
                Some(Timer::Wake) => self.service.on_wake(actions),
                _ => {}
            }
        }
    }

    fn flush(&mut self, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        while !connection.write_buffer.is_empty() {
            match connection.stream.write(connection.write_buffer.as_slices().0) {
                Ok(0) => return self.close(token),
                Ok(count) => drop(connection.write_buffer.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.close(token),
            }
        }
    }

    fn close(&mut self, token: usize) {
        if self.connections.remove(&token).is_some() {
            self.service.on_connection_closed(ConnectionId(token));
        }
    }
}
