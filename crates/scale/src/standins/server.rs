//! A server on loopback in a thread of its own: it reads requests, hands them to a service and writes its answers.

use super::message::{Request, answer};
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

const WAKE: Token = Token(0);
const READ_STEP: usize = 64 * 1024;
/// Listeners take the tokens below this number, connections those from it on.
const FIRST_CONNECTION: usize = 10_000;

/// A connection, by a number that is not used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Connection(usize);

/// What a service does with requests. It runs in the server's thread and must not wait.
pub trait Service: Send + 'static {
    /// A request has come whole, over a connection to the address `at`.
    fn request(&mut self, from: Connection, at: SocketAddr, request: Request, actions: &mut ServerActions);
    /// A connection has ended, by either side.
    fn closed(&mut self, _connection: Connection) {}
    /// The time that an earlier `actions.wake_at` named has come.
    fn woken(&mut self, _replies: &mut ServerActions) {}
    /// An answer that was due later goes out now.
    fn answered(&mut self, _to: Connection) {}
}

/// What a service asks its server to do.
#[derive(Default)]
pub struct ServerActions {
    now: Vec<(Connection, Vec<u8>)>,
    later: Vec<(Instant, Connection, Vec<u8>)>,
    wakes: Vec<Instant>,
    ends: Vec<Connection>,
    opens: Vec<SocketAddr>,
    shuts: Vec<SocketAddr>,
}

impl ServerActions {
    /// Writes bytes at once.
    pub fn send(&mut self, to: Connection, bytes: Vec<u8>) {
        self.now.push((to, bytes));
    }

    /// Writes bytes at a time, and tells the service so.
    pub fn send_at(&mut self, at: Instant, to: Connection, bytes: Vec<u8>) {
        self.later.push((at, to, bytes));
    }

    /// Calls `woken` at a time.
    pub fn wake_at(&mut self, at: Instant) {
        self.wakes.push(at);
    }

    /// Ends a connection.
    pub fn end(&mut self, connection: Connection) {
        self.ends.push(connection);
    }

    /// Listens at an address again.
    pub fn open_listener(&mut self, at: SocketAddr) {
        self.opens.push(at);
    }

    /// Ends the listener at an address with all its connections: from now on connecting there is refused.
    pub fn close_listener(&mut self, at: SocketAddr) {
        self.shuts.push(at);
    }
}

type Task<S> = Box<dyn FnOnce(&mut S, &mut ServerActions) + Send>;

enum Command<S> {
    Run(Task<S>),
    End,
}

/// A running server. It ends when this is dropped.
pub struct Server<S: Service> {
    commands: Sender<Command<S>>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
}

impl<S: Service> Server<S> {
    /// Listens at the addresses and serves there.
    pub fn start(addresses: &[SocketAddr], service: S) -> io::Result<Self> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let (commands, taken) = channel();
        let mut work = Loop {
            poll,
            service,
            commands: taken,
            listeners: HashMap::new(),
            links: HashMap::new(),
            next_listener: 1,
            next_link: FIRST_CONNECTION,
            timers: BinaryHeap::new(),
            due: HashMap::new(),
            next_timer: 0,
        };
        for address in addresses {
            work.listen(*address)?;
        }
        let thread = std::thread::Builder::new().name("stand-in".into()).spawn(move || work.run())?;
        Ok(Server { commands, waker, thread: Some(thread) })
    }

    /// Runs a task on the service in the server's thread and waits for what it returns.
    pub fn with_service<T: Send + 'static>(
        &self, task: impl FnOnce(&mut S, &mut ServerActions) -> T + Send + 'static,
    ) -> Option<T> {
        let (tell, told) = channel();
        let task: Task<S> = Box::new(move |service, actions| {
            // Nobody waits any more where the caller has gone.
            let _ = tell.send(task(service, actions));
        });
        self.commands.send(Command::Run(task)).ok()?;
        self.waker.wake().ok()?;
        told.recv().ok()
    }
}

impl<S: Service> Drop for Server<S> {
    fn drop(&mut self) {
        // A thread that has ended already takes nothing.
        let _ = self.commands.send(Command::End);
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Link {
    stream: TcpStream,
    listener: usize,
    at: SocketAddr,
    read: Vec<u8>,
    write: VecDeque<u8>,
}

enum Timer {
    Send(Connection, Vec<u8>),
    Wake,
}

struct Loop<S> {
    poll: Poll,
    service: S,
    commands: Receiver<Command<S>>,
    listeners: HashMap<usize, (SocketAddr, TcpListener)>,
    links: HashMap<usize, Link>,
    next_listener: usize,
    next_link: usize,
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    due: HashMap<u64, Timer>,
    next_timer: u64,
}

impl<S: Service> Loop<S> {
    fn run(&mut self) {
        let mut events = Events::with_capacity(1024);
        let mut scratch = vec![0; READ_STEP];
        loop {
            let next =
                self.timers.peek().map(|Reverse((at, _))| at.saturating_duration_since(Instant::now()));
            // Rounded up to whole milliseconds by the system call; a little too late is near enough here.
            match self.poll.poll(&mut events, next.map(|wait| wait + Duration::from_micros(1))) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return,
                _ => {}
            }
            for event in &events {
                self.event(event, &mut scratch);
            }
            let mut actions = ServerActions::default();
            while let Ok(command) = self.commands.try_recv() {
                match command {
                    Command::Run(task) => task(&mut self.service, &mut actions),
                    Command::End => return,
                }
            }
            self.timers_due(&mut actions);
            self.apply(actions);
        }
    }

    fn event(&mut self, event: &Event, scratch: &mut [u8]) {
        match event.token() {
            WAKE => {}
            Token(number) if number < FIRST_CONNECTION => self.accept(number),
            Token(number) => {
                if event.is_writable() {
                    self.flush(number);
                }
                if event.is_readable() {
                    self.read(number, scratch);
                }
            }
        }
    }

    fn listen(&mut self, at: SocketAddr) -> io::Result<()> {
        let mut listener = TcpListener::bind(at)?;
        let number = self.next_listener;
        self.next_listener += 1;
        self.poll.registry().register(&mut listener, Token(number), Interest::READABLE)?;
        self.listeners.insert(number, (at, listener));
        Ok(())
    }

    fn shut(&mut self, at: SocketAddr) {
        let Some(number) = self.listeners.iter().find(|(_, l)| l.0 == at).map(|(number, _)| *number) else {
            return;
        };
        self.listeners.remove(&number);
        let own: Vec<usize> =
            self.links.iter().filter(|(_, l)| l.listener == number).map(|(link, _)| *link).collect();
        for link in own {
            self.close(link);
        }
    }

    fn accept(&mut self, listener: usize) {
        while let Some((at, from)) = self.listeners.get(&listener)
            && let Ok((mut stream, _)) = from.accept()
        {
            let (at, number) = (*at, self.next_link);
            self.next_link += 1;
            let interest = Interest::READABLE | Interest::WRITABLE;
            // Small answers must not be held back.
            let ready = stream
                .set_nodelay(true)
                .and_then(|()| self.poll.registry().register(&mut stream, Token(number), interest));
            if ready.is_ok() {
                self.links
                    .insert(number, Link { stream, listener, at, read: Vec::new(), write: VecDeque::new() });
            }
        }
    }

    fn read(&mut self, number: usize, scratch: &mut [u8]) {
        loop {
            let Some(link) = self.links.get_mut(&number) else { return };
            match link.stream.read(scratch) {
                Ok(0) => return self.close(number),
                Ok(count) => link.read.extend_from_slice(&scratch[..count]),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.close(number),
            }
            if !self.serve(number) {
                return self.close(number);
            }
        }
    }

    /// Hands on what has come whole; false where it is no request.
    fn serve(&mut self, number: usize) -> bool {
        while let Some(link) = self.links.get_mut(&number) {
            let at = link.at;
            match Request::take(&mut link.read) {
                Ok(Some(request)) => {
                    let mut actions = ServerActions::default();
                    self.service.request(Connection(number), at, request, &mut actions);
                    self.apply(actions);
                }
                Ok(None) => return true,
                Err(_) => {
                    link.write.extend(answer(400, "", ""));
                    self.flush(number);
                    return false;
                }
            }
        }
        true
    }

    fn apply(&mut self, actions: ServerActions) {
        for (Connection(number), bytes) in actions.now {
            if let Some(link) = self.links.get_mut(&number) {
                link.write.extend(bytes);
                self.flush(number);
            }
        }
        let sends = actions.later.into_iter().map(|(at, to, bytes)| (at, Timer::Send(to, bytes)));
        let wakes = actions.wakes.into_iter().map(|at| (at, Timer::Wake));
        for (at, timer) in sends.chain(wakes) {
            self.timers.push(Reverse((at, self.next_timer)));
            self.due.insert(self.next_timer, timer);
            self.next_timer += 1;
        }
        for Connection(number) in actions.ends {
            self.close(number);
        }
        for at in actions.shuts {
            self.shut(at);
        }
        for at in actions.opens {
            if let Err(e) = self.listen(at) {
                tracing::error!(%at, %e, "a stand-in cannot listen again");
            }
        }
    }

    fn timers_due(&mut self, actions: &mut ServerActions) {
        let now = Instant::now();
        while let Some(Reverse((at, timer))) = self.timers.peek().copied()
            && at <= now
        {
            self.timers.pop();
            match self.due.remove(&timer) {
                Some(Timer::Send(to, bytes)) if self.links.contains_key(&to.0) => {
                    self.service.answered(to);
                    actions.send(to, bytes);
                }
                Some(Timer::Wake) => self.service.woken(actions),
                _ => {}
            }
        }
    }

    fn flush(&mut self, number: usize) {
        let Some(link) = self.links.get_mut(&number) else { return };
        while !link.write.is_empty() {
            match link.stream.write(link.write.as_slices().0) {
                Ok(0) => return self.close(number),
                Ok(count) => drop(link.write.drain(..count)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.close(number),
            }
        }
    }

    fn close(&mut self, number: usize) {
        if self.links.remove(&number).is_some() {
            self.service.closed(Connection(number));
        }
    }
}
