//! The receivers of all destinations. They answer each call as the run tells them to, and report what they
//! see to the judge.

use super::id::WebhookId;
use super::judge::{CallOutcome, EndpointLocation, Judge};
use super::message::{Request, response};
use super::server::{ConnectionId, ServerActions, Service};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The judge of a run, as clients, receivers and the list service share it, with the run's clock.
#[derive(Clone)]
pub struct SharedJudge {
    judge: Arc<Mutex<Judge>>,
    started_at: Instant,
}

impl SharedJudge {
    /// Shares a judge and starts the run's clock.
    pub fn new(judge: Judge) -> Self {
        SharedJudge { judge: Arc::new(Mutex::new(judge)), started_at: Instant::now() }
    }

    /// Seconds since the run began.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Runs a task on the judge; the task also gets the seconds since the run began.
    pub fn with<T>(&self, task: impl FnOnce(&mut Judge, f64) -> T) -> T {
        let mut judge = self.judge.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.now();
        task(&mut judge, now)
    }
}

/// How a receiver answers a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behaviour {
    /// With 200, after this time.
    Serve(Duration),
    /// With 503.
    Refuse,
    /// With 429 and a Retry-After of this many seconds.
    RetryAfter(f64),
    /// With 500.
    Fail,
    /// Not at all; the connection stays open.
    Silent,
    /// Not at all; the connection is closed.
    HangUp,
    /// With 200, and then closes the connection, though it was to be kept alive.
    ServeAndClose,
    /// With the first part of the status line of an error, and then closes the connection.
    PartialAnswer,
    /// With bytes that are not an HTTP response.
    MalformedAnswer,
}

/// Whether the answers of an endpoint reach the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AnswerPath {
    /// They do.
    #[default]
    Intact,
    /// It is not known whether they do.
    Uncertain,
    /// They do not.
    Broken,
}

/// What is known of the endpoint at one address.
struct EndpointState {
    location: EndpointLocation,
    /// `None` if it answers as its destination or the default says.
    behaviour: Option<Behaviour>,
    answer_path: AnswerPath,
}

/// The last call of a connection.
struct LastCall {
    id: WebhookId,
    in_flight: bool,
    address: SocketAddr,
}

/// All receivers of a run. The destination of a call is known from the webhook's id.
pub struct Receivers {
    judge: SharedJudge,
    default_behaviour: Behaviour,
    /// By destination; these take precedence over the behaviours of endpoints.
    destination_behaviours: HashMap<u32, Behaviour>,
    endpoints: HashMap<SocketAddr, EndpointState>,
    last_calls: HashMap<ConnectionId, LastCall>,
    call_count: u64,
    /// Calls for each destination.
    call_counts: HashMap<u32, u64>,
}

impl Receivers {
    /// Receivers that all answer in the same way.
    pub fn new(judge: SharedJudge, default_behaviour: Behaviour) -> Self {
        let (destination_behaviours, last_calls, call_counts) =
            (HashMap::new(), HashMap::new(), HashMap::new());
        Receivers {
            judge,
            default_behaviour,
            destination_behaviours,
            endpoints: HashMap::new(),
            last_calls,
            call_count: 0,
            call_counts,
        }
    }

    /// Sets which endpoint is at an address. Addresses that are not set count as one and the same endpoint.
    pub fn set_endpoint(&mut self, address: SocketAddr, location: EndpointLocation) {
        self.endpoints
            .insert(address, EndpointState { location, behaviour: None, answer_path: AnswerPath::Intact });
    }

    /// Sets how the endpoint at an address answers, unless its destination has a behaviour of its own. `None`
    /// returns to the default.
    pub fn set_endpoint_behaviour(&mut self, address: SocketAddr, behaviour: Option<Behaviour>) {
        if let Some(endpoint) = self.endpoints.get_mut(&address) {
            endpoint.behaviour = behaviour;
        }
    }

    /// Sets whether the answers of the endpoint at an address reach the sender.
    pub fn set_answer_path(&mut self, address: SocketAddr, answer_path: AnswerPath) {
        if let Some(endpoint) = self.endpoints.get_mut(&address) {
            endpoint.answer_path = answer_path;
        }
    }

    /// Sets how all receivers answer that have no behaviour of their own.
    pub fn set_default_behaviour(&mut self, behaviour: Behaviour) {
        self.default_behaviour = behaviour;
    }

    /// Sets how all receivers of one destination answer. `None` returns to the behaviours of its endpoints or
    /// the default.
    pub fn set_destination_behaviour(&mut self, destination: u32, behaviour: Option<Behaviour>) {
        match behaviour {
            Some(behaviour) => self.destination_behaviours.insert(destination, behaviour),
            None => self.destination_behaviours.remove(&destination),
        };
    }

    /// Begins an outage, in which the destination answers by this behaviour. It takes `calls_per_sec` when it
    /// is well.
    pub fn begin_outage(&mut self, destination: u32, behaviour: Behaviour, calls_per_sec: f64) {
        self.set_destination_behaviour(destination, Some(behaviour));
        self.judge.with(|judge, now| judge.record_outage_start(destination, now, calls_per_sec));
    }

    /// Ends the outage of a destination.
    pub fn end_outage(&mut self, destination: u32) {
        self.set_destination_behaviour(destination, None);
        self.judge.with(|judge, now| judge.record_outage_end(destination, now));
    }

    /// Calls that arrived, in all.
    pub fn call_count(&self) -> u64 {
        self.call_count
    }

    /// Calls that arrived for one destination.
    pub fn call_count_to(&self, destination: u32) -> u64 {
        self.call_counts.get(&destination).copied().unwrap_or(0)
    }

    /// Reports the outcome of the connection's call to the judge, if it is still in flight.
    fn end_call(&mut self, connection: ConnectionId, outcome: CallOutcome) {
        let Some(call) = self.last_calls.get_mut(&connection).filter(|call| call.in_flight) else { return };
        call.in_flight = false;
        let (id, address) = (call.id, call.address);
        let outcome =
            match self.endpoints.get(&address).map(|endpoint| endpoint.answer_path).unwrap_or_default() {
                AnswerPath::Intact => outcome,
                AnswerPath::Uncertain if outcome == CallOutcome::Delivered => CallOutcome::Uncertain,
                AnswerPath::Uncertain | AnswerPath::Broken => CallOutcome::Failed,
            };
        self.judge.with(|judge, now| judge.record_answer(id, now, outcome));
    }
}

impl Service for Receivers {
    fn on_request(
        &mut self, connection: ConnectionId, address: SocketAddr, request: Request,
        actions: &mut ServerActions,
    ) {
        let id = request.header("req-id").and_then(|id| id.parse::<WebhookId>().ok());
        let Some(id) = id.filter(|_| request.method == "POST" && request.target == "/inbox") else {
            return actions.send(connection, response(400, "", ""));
        };
        self.call_count += 1;
        *self.call_counts.entry(id.destination).or_default() += 1;
        let endpoint = self.endpoints.get(&address);
        let (location, endpoint_behaviour) = endpoint
            .map_or((EndpointLocation::default(), None), |endpoint| (endpoint.location, endpoint.behaviour));
        self.judge.with(|judge, now| judge.record_call(id, location, now));
        self.last_calls.insert(connection, LastCall { id, in_flight: true, address });
        let (bytes, outcome) = match self
            .destination_behaviours
            .get(&id.destination)
            .copied()
            .or(endpoint_behaviour)
            .unwrap_or(self.default_behaviour)
        {
            Behaviour::Serve(delay) if !delay.is_zero() => {
                return actions.send_at(Instant::now() + delay, connection, response(200, "", ""));
            }
            Behaviour::Serve(_) => (response(200, "", ""), CallOutcome::Delivered),
            Behaviour::Refuse => (response(503, "", ""), CallOutcome::Refused(0.0)),
            Behaviour::RetryAfter(wait_secs) => (
                response(429, &format!("Retry-After: {wait_secs:.3}\r\n"), ""),
                CallOutcome::Refused(wait_secs),
            ),
            Behaviour::Fail => (response(500, "", ""), CallOutcome::Failed),
            Behaviour::Silent => return,
            Behaviour::HangUp => return actions.close(connection),
            Behaviour::ServeAndClose => {
                self.end_call(connection, CallOutcome::Delivered);
                actions.send(connection, response(200, "", ""));
                return actions.close(connection);
            }
            Behaviour::PartialAnswer => {
                self.end_call(connection, CallOutcome::Failed);
                actions.send(connection, b"HTTP/1.1 5".to_vec());
                return actions.close(connection);
            }
            Behaviour::MalformedAnswer => (b"\x00\xffno answer\r\n\r\n".to_vec(), CallOutcome::Failed),
        };
        self.end_call(connection, outcome);
        actions.send(connection, bytes);
    }

    fn on_delayed_send(&mut self, connection: ConnectionId) {
        self.end_call(connection, CallOutcome::Delivered);
    }

    fn on_connection_closed(&mut self, connection: ConnectionId) {
        if let Some(call) = self.last_calls.remove(&connection) {
            self.judge.with(|judge, now| judge.record_connection_end(call.id, now));
        }
    }
}
