//! The destinations' receivers: they answer calls as they are told to and tell the judge what they see.

use super::id::WebhookId;
use super::judge::{CallEnd, Judge};
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
}

/// What a connection carries.
struct Carried {
    id: WebhookId,
    out: bool,
}

/// All receivers of a run. A call's destination is known by the webhook's id.
pub struct Receivers {
    record: Record,
    usual: Behaviour,
    apart: HashMap<u32, Behaviour>,
    carried: HashMap<Connection, Carried>,
    calls: u64,
    calls_to: HashMap<u32, u64>,
}

impl Receivers {
    pub fn new(record: Record, usual: Behaviour) -> Self {
        let (apart, carried, calls_to) = (HashMap::new(), HashMap::new(), HashMap::new());
        Receivers { record, usual, apart, carried, calls: 0, calls_to }
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
        let id = carried.id;
        self.record.tell(|judge, now| judge.answered(id, now, end));
    }
}

impl Service for Receivers {
    fn request(&mut self, from: Connection, _at: SocketAddr, request: Request, replies: &mut Replies) {
        let id = request.header("req-id").and_then(|id| id.parse::<WebhookId>().ok());
        let Some(id) = id.filter(|_| request.method == "POST" && request.target == "/inbox") else {
            return replies.send(from, answer(400, "", ""));
        };
        self.calls += 1;
        *self.calls_to.entry(id.dest).or_default() += 1;
        self.record.tell(|judge, now| judge.called(id, now));
        self.carried.insert(from, Carried { id, out: true });
        let (bytes, end) = match self.apart.get(&id.dest).copied().unwrap_or(self.usual) {
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
