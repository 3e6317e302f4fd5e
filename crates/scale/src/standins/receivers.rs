//! The destinations' receivers: they answer calls as they are told to and tell the judge what they see.

use super::id::WebhookId;
use super::judge::{CallOutcome, EndpointLocation, Judge};
use super::message::{Request, answer};
use super::server::{Connection, ServerActions, Service};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The judge as clients, receivers and list service share it, with the clock of the run.
#[derive(Clone)]
pub struct SharedJudge {
    judge: Arc<Mutex<Judge>>,
    began: Instant,
}

impl SharedJudge {
    pub fn new(judge: Judge) -> Self {
        SharedJudge { judge: Arc::new(Mutex::new(judge)), began: Instant::now() }
    }

    /// Seconds since the run began.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Tells the judge something that happened now.
    pub fn with<T>(&self, what: impl FnOnce(&mut Judge, f64) -> T) -> T {
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
    RetryAfter(f64),
    /// With 500.
    Fail,
    /// Not at all.
    Silent,
    /// The connection ends without an answer.
    HangUp,
    /// With 200, and then the connection ends, though it was to be kept.
    ServeAndClose,
    /// With the first half of an error's first line, and then the connection ends.
    PartialAnswer,
    /// With what is no answer.
    MalformedAnswer,
}

/// What becomes of answers on their way to the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AnswerPath {
    /// They arrive.
    #[default]
    Intact,
    /// They may arrive or not.
    Uncertain,
    /// They do not arrive.
    Broken,
}

/// What is known of an endpoint by its address.
struct EndpointRole {
    place: EndpointLocation,
    behaviour: Option<Behaviour>,
    way: AnswerPath,
}

/// What a connection carries.
struct Carried {
    id: WebhookId,
    out: bool,
    at: SocketAddr,
}

/// All receivers of a run. A call's destination is known by the webhook's id.
pub struct Receivers {
    record: SharedJudge,
    usual: Behaviour,
    apart: HashMap<u32, Behaviour>,
    endpoints: HashMap<SocketAddr, EndpointRole>,
    carried: HashMap<Connection, Carried>,
    calls: u64,
    calls_to: HashMap<u32, u64>,
}

impl Receivers {
    pub fn new(record: SharedJudge, usual: Behaviour) -> Self {
        let (apart, carried, calls_to) = (HashMap::new(), HashMap::new(), HashMap::new());
        Receivers { record, usual, apart, endpoints: HashMap::new(), carried, calls: 0, calls_to }
    }

    /// Tells which endpoint is at an address; elsewhere all are one.
    pub fn set_endpoint(&mut self, at: SocketAddr, place: EndpointLocation) {
        self.endpoints.insert(at, EndpointRole { place, behaviour: None, way: AnswerPath::Intact });
    }

    /// What the endpoint at an address does while its destination is told nothing; `None` for what all do.
    pub fn set_endpoint_behaviour(&mut self, at: SocketAddr, behaviour: Option<Behaviour>) {
        if let Some(role) = self.endpoints.get_mut(&at) {
            role.behaviour = behaviour;
        }
    }

    /// What becomes of the answers of the endpoint at an address.
    pub fn set_answer_path(&mut self, at: SocketAddr, way: AnswerPath) {
        if let Some(role) = self.endpoints.get_mut(&at) {
            role.way = way;
        }
    }

    /// What all destinations do that are not told otherwise.
    pub fn set_default_behaviour(&mut self, behaviour: Behaviour) {
        self.usual = behaviour;
    }

    /// What one destination does; `None` for what all do.
    pub fn set_destination_behaviour(&mut self, dest: u32, behaviour: Option<Behaviour>) {
        match behaviour {
            Some(behaviour) => self.apart.insert(dest, behaviour),
            None => self.apart.remove(&dest),
        };
    }

    /// A destination that takes `rate` calls a second goes out, and does this from now on.
    pub fn begin_outage(&mut self, dest: u32, behaviour: Behaviour, rate: f64) {
        self.set_destination_behaviour(dest, Some(behaviour));
        self.record.with(|judge, now| judge.record_outage_start(dest, now, rate));
    }

    pub fn end_outage(&mut self, dest: u32) {
        self.set_destination_behaviour(dest, None);
        self.record.with(|judge, now| judge.record_outage_end(dest, now));
    }

    /// Calls that came, in all.
    pub fn call_count(&self) -> u64 {
        self.calls
    }

    /// Calls that came to one destination.
    pub fn call_count_to(&self, dest: u32) -> u64 {
        self.calls_to.get(&dest).copied().unwrap_or(0)
    }

    fn end(&mut self, from: Connection, end: CallOutcome) {
        let Some(carried) = self.carried.get_mut(&from).filter(|c| c.out) else { return };
        carried.out = false;
        let (id, at) = (carried.id, carried.at);
        let end = match self.endpoints.get(&at).map(|role| role.way).unwrap_or_default() {
            AnswerPath::Intact => end,
            AnswerPath::Uncertain if end == CallOutcome::Delivered => CallOutcome::Uncertain,
            AnswerPath::Uncertain | AnswerPath::Broken => CallOutcome::Failed,
        };
        self.record.with(|judge, now| judge.record_answer(id, now, end));
    }
}

impl Service for Receivers {
    fn request(&mut self, from: Connection, at: SocketAddr, request: Request, actions: &mut ServerActions) {
        let id = request.header("req-id").and_then(|id| id.parse::<WebhookId>().ok());
        let Some(id) = id.filter(|_| request.method == "POST" && request.target == "/inbox") else {
            return actions.send(from, answer(400, "", ""));
        };
        self.calls += 1;
        *self.calls_to.entry(id.destination).or_default() += 1;
        let role = self.endpoints.get(&at);
        let (place, own) =
            role.map_or((EndpointLocation::default(), None), |role| (role.place, role.behaviour));
        self.record.with(|judge, now| judge.record_call(id, place, now));
        self.carried.insert(from, Carried { id, out: true, at });
        let (bytes, end) = match self.apart.get(&id.destination).copied().or(own).unwrap_or(self.usual) {
            Behaviour::Serve(pause) if !pause.is_zero() => {
                return actions.send_at(Instant::now() + pause, from, answer(200, "", ""));
            }
            Behaviour::Serve(_) => (answer(200, "", ""), CallOutcome::Delivered),
            Behaviour::Refuse => (answer(503, "", ""), CallOutcome::Refused(0.0)),
            Behaviour::RetryAfter(wait) => {
                (answer(429, &format!("Retry-After: {wait:.3}\r\n"), ""), CallOutcome::Refused(wait))
            }
            Behaviour::Fail => (answer(500, "", ""), CallOutcome::Failed),
            Behaviour::Silent => return,
            Behaviour::HangUp => return actions.end(from),
            Behaviour::ServeAndClose => {
                self.end(from, CallOutcome::Delivered);
                actions.send(from, answer(200, "", ""));
                return actions.end(from);
            }
            Behaviour::PartialAnswer => {
                self.end(from, CallOutcome::Failed);
                actions.send(from, b"HTTP/1.1 5".to_vec());
                return actions.end(from);
            }
            Behaviour::MalformedAnswer => (b"\x00\xffno answer\r\n\r\n".to_vec(), CallOutcome::Failed),
        };
        self.end(from, end);
        actions.send(from, bytes);
    }

    fn answered(&mut self, to: Connection) {
        self.end(to, CallOutcome::Delivered);
    }

    fn closed(&mut self, connection: Connection) {
        if let Some(carried) = self.carried.remove(&connection) {
            self.record.with(|judge, now| judge.record_connection_end(carried.id, now));
        }
    }
}
