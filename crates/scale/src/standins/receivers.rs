//! The destinations' receivers: they answer calls as they are told to and tell the judge what they see.

use super::id::WebhookId;
use super::judge::{CallEnd, Judge, Place};
use super::message::{Request, answer};
use super::server::{Connection, Replies, Service};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The judge as clients, receivers and list service share it, with the clock of the run.
#[derive(Clone)]
pub struct Record {
    judge: Arc<Mutex<Judge>>,
    began: Instant,
}

impl Record {
    pub fn new(judge: Judge) -> Self {
        Record { judge: Arc::new(Mutex::new(judge)), began: Instant::now() }
    }

    /// Seconds since the run began.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Tells the judge something that happened now.
    pub fn tell<T>(&self, what: impl FnOnce(&mut Judge, f64) -> T) -> T {
        let mut judge = self.judge.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.now();
        what(&mut judge, now)
    }
}

/// How a destination answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behaviour {
    /// With 200, after so long.
    Serve(Duration),
    /// With 503.
    Refuse,
    /// With 429 and a wait of so many seconds.
    Wait(f64),
    /// With 500.
    Fail,
    /// Not at all.
    Silent,
    /// The connection ends without an answer.
    HangUp,
    /// With 200, and then the connection ends, though it was to be kept.
    ServeAndEnd,
    /// With the first half of an error's first line, and then the connection ends.
    Half,
    /// With what is no answer.
    Noise,
}

/// What becomes of answers on their way to the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Way {
    /// They arrive.
    #[default]
    Open,
    /// They may arrive or not.
    Uncertain,
    /// They do not arrive.
    Lossy,
}

/// What is known of an endpoint by its address.
struct EndpointRole {
    place: Place,
    behaviour: Option<Behaviour>,
    way: Way,
}

/// What a connection carries.
struct Carried {
    id: WebhookId,
    out: bool,
    at: SocketAddr,
}

/// All receivers of a run. A call's destination is known by the webhook's id.
pub struct Receivers {
    record: Record,
    usual: Behaviour,
    apart: HashMap<u32, Behaviour>,
    endpoints: HashMap<SocketAddr, EndpointRole>,
    carried: HashMap<Connection, Carried>,
    calls: u64,
    calls_to: HashMap<u32, u64>,
}

impl Receivers {
    pub fn new(record: Record, usual: Behaviour) -> Self {
        let (apart, carried, calls_to) = (HashMap::new(), HashMap::new(), HashMap::new());
        Receivers { record, usual, apart, endpoints: HashMap::new(), carried, calls: 0, calls_to }
    }

    /// Tells which endpoint is at an address; elsewhere all are one.
    pub fn set_endpoint(&mut self, at: SocketAddr, place: Place) {
        self.endpoints.insert(at, EndpointRole { place, behaviour: None, way: Way::Open });
    }

    /// What the endpoint at an address does while its destination is told nothing; `None` for what all do.
    pub fn set_at(&mut self, at: SocketAddr, behaviour: Option<Behaviour>) {
        if let Some(role) = self.endpoints.get_mut(&at) {
            role.behaviour = behaviour;
        }
    }

    /// What becomes of the answers of the endpoint at an address.
    pub fn set_way(&mut self, at: SocketAddr, way: Way) {
        if let Some(role) = self.endpoints.get_mut(&at) {
            role.way = way;
        }
    }

    /// What all destinations do that are not told otherwise.
    pub fn set_usual(&mut self, behaviour: Behaviour) {
        self.usual = behaviour;
    }

    /// What one destination does; `None` for what all do.
    pub fn set(&mut self, dest: u32, behaviour: Option<Behaviour>) {
        match behaviour {
            Some(behaviour) => self.apart.insert(dest, behaviour),
            None => self.apart.remove(&dest),
        };
    }

    /// A destination that takes `rate` calls a second goes out, and does this from now on.
    pub fn begin_outage(&mut self, dest: u32, behaviour: Behaviour, rate: f64) {
        self.set(dest, Some(behaviour));
        self.record.tell(|judge, now| judge.outage_began(dest, now, rate));
    }

    pub fn end_outage(&mut self, dest: u32) {
        self.set(dest, None);
        self.record.tell(|judge, now| judge.outage_ended(dest, now));
    }

    /// Calls that came, in all.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Calls that came to one destination.
    pub fn calls_to(&self, dest: u32) -> u64 {
        self.calls_to.get(&dest).copied().unwrap_or(0)
    }

    fn end(&mut self, from: Connection, end: CallEnd) {
        let Some(carried) = self.carried.get_mut(&from).filter(|c| c.out) else { return };
        carried.out = false;
        let (id, at) = (carried.id, carried.at);
        let end = match self.endpoints.get(&at).map(|role| role.way).unwrap_or_default() {
            Way::Open => end,
            Way::Uncertain if end == CallEnd::Delivered => CallEnd::Uncertain,
            Way::Uncertain | Way::Lossy => CallEnd::Failed,
        };
        self.record.tell(|judge, now| judge.answered(id, now, end));
    }
}

impl Service for Receivers {
    fn request(&mut self, from: Connection, at: SocketAddr, request: Request, replies: &mut Replies) {
        let id = request.header("req-id").and_then(|id| id.parse::<WebhookId>().ok());
        let Some(id) = id.filter(|_| request.method == "POST" && request.target == "/inbox") else {
            return replies.send(from, answer(400, "", ""));
        };
        self.calls += 1;
        *self.calls_to.entry(id.dest).or_default() += 1;
        let role = self.endpoints.get(&at);
        let (place, own) = role.map_or((Place::default(), None), |role| (role.place, role.behaviour));
        self.record.tell(|judge, now| judge.called(id, place, now));
        self.carried.insert(from, Carried { id, out: true, at });
        let (bytes, end) = match self.apart.get(&id.dest).copied().or(own).unwrap_or(self.usual) {
            Behaviour::Serve(pause) if !pause.is_zero() => {
                return replies.send_at(Instant::now() + pause, from, answer(200, "", ""));
            }
            Behaviour::Serve(_) => (answer(200, "", ""), CallEnd::Delivered),
            Behaviour::Refuse => (answer(503, "", ""), CallEnd::Refused(0.0)),
            Behaviour::Wait(wait) => {
                (answer(429, &format!("Retry-After: {wait:.3}\r\n"), ""), CallEnd::Refused(wait))
            }
            Behaviour::Fail => (answer(500, "", ""), CallEnd::Failed),
            Behaviour::Silent => return,
            Behaviour::HangUp => return replies.end(from),
            Behaviour::ServeAndEnd => {
                self.end(from, CallEnd::Delivered);
                replies.send(from, answer(200, "", ""));
                return replies.end(from);
            }
            Behaviour::Half => {
                self.end(from, CallEnd::Failed);
                replies.send(from, b"HTTP/1.1 5".to_vec());
                return replies.end(from);
            }
            Behaviour::Noise => (b"\x00\xffno answer\r\n\r\n".to_vec(), CallEnd::Failed),
        };
        self.end(from, end);
        replies.send(from, bytes);
    }

    fn answered(&mut self, to: Connection) {
        self.end(to, CallEnd::Delivered);
    }

    fn closed(&mut self, connection: Connection) {
        if let Some(carried) = self.carried.remove(&connection) {
            self.record.tell(|judge, now| judge.connection_ended(carried.id, now));
        }
    }
}
