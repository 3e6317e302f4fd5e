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
    /// With 100 and then 200.
    InterimAnswer,
    /// With 200, in many segments.
    SplitAnswer,
    /// With 200, and more bytes than its length says.
    ExtraBytes,
    /// With 500, and fewer bytes than its length says.
    MissingBytes,
    /// Now with 200 and now with 503, after 10 to 250 ms.
    Mixed,
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
    /// The longest time until the second copy of an answer, if answers come twice.
    copy_lag: Option<Duration>,
    /// Until when calls may arrive long after their senders decided on them.
    connects_late_until: Instant,
}

/// The last call of a connection.
struct LastCall {
    ids: Vec<WebhookId>,
    in_flight: bool,
    address: SocketAddr,
    /// From when on the sender may have stopped waiting for the answer.
    may_stop_at: Instant,
    /// What an answer means that is written later.
    delayed_outcome: CallOutcome,
}

/// How many answers come twice while answers do: one in so many.
const COPIED_ANSWER_INTERVAL: u64 = 2;
/// The lags of successive copies: so many different ones, from none to the longest.
const COPY_LAG_STEPS: u32 = 4;
/// While answers are mixed, one in so many is a refusal.
const MIXED_REFUSAL_INTERVAL: u64 = 3;
/// The delays of mixed answers: so many different ones, each longer than the last by a step.
const MIXED_DELAY_STEPS: u32 = 25;
const MIXED_DELAY_STEP: Duration = Duration::from_millis(10);
/// How long before the time that a call names its sender may stop waiting: it may be held up for 0.15 s, and
/// the call takes a while to arrive.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// An answer that is written this soon is not given up before, unless the call names a shorter time.
const PATIENCE: Duration = Duration::from_millis(400);
/// How long after connections were accepted late calls may still arrive late.
const LATE_CONNECT_AFTERMATH: Duration = Duration::from_secs(3);
/// The pause between two segments of an answer that is split.
const SEGMENT_PAUSE: Duration = Duration::from_millis(2);
/// Bytes in a segment of such an answer.
const SEGMENT_BYTES: usize = 5;

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
        let state = EndpointState {
            location,
            behaviour: None,
            answer_path: AnswerPath::Intact,
            copy_lag: None,
            connects_late_until: Instant::now(),
        };
        self.endpoints.insert(address, state);
    }

    /// Sets whether answers of the endpoint at an address come twice, the second time after up to this long.
    pub fn set_copy_lag(&mut self, address: SocketAddr, copy_lag: Option<Duration>) {
        if let Some(endpoint) = self.endpoints.get_mut(&address) {
            endpoint.copy_lag = copy_lag;
        }
    }

    /// Records that connections to an endpoint are accepted late for a while.
    pub fn record_late_connects(&mut self, address: SocketAddr, duration: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(&address) {
            endpoint.connects_late_until = Instant::now() + duration + LATE_CONNECT_AFTERMATH;
        }
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
        let (ids, address) = (call.ids.clone(), call.address);
        let outcome =
            match self.endpoints.get(&address).map(|endpoint| endpoint.answer_path).unwrap_or_default() {
                AnswerPath::Intact => outcome,
                AnswerPath::Uncertain if outcome == CallOutcome::Delivered => CallOutcome::Uncertain,
                // It had no effect, and the sender may know that.
                AnswerPath::Uncertain if matches!(outcome, CallOutcome::Refused(_)) => {
                    CallOutcome::Refused(0.0)
                }
                AnswerPath::Uncertain | AnswerPath::Broken => CallOutcome::Failed,
            };
        self.judge.with(|judge, now| ids.iter().for_each(|id| judge.record_answer(*id, now, outcome)));
    }

    /// Schedules the second copy of an answer, if answers of the endpoint come twice.
    fn schedule_copy(
        &self, connection: ConnectionId, address: SocketAddr, answer_delay: Duration, bytes: &[u8],
        actions: &mut ServerActions,
    ) {
        let Some(copy_lag) = self.endpoints.get(&address).and_then(|endpoint| endpoint.copy_lag) else {
            return;
        };
        if !self.call_count.is_multiple_of(COPIED_ANSWER_INTERVAL) {
            return;
        }
        let step = (self.call_count / COPIED_ANSWER_INTERVAL) as u32 % COPY_LAG_STEPS;
        let lag = copy_lag * step / (COPY_LAG_STEPS - 1);
        actions.send_copy_at(Instant::now() + answer_delay + lag, connection, bytes.to_vec());
    }
}

/// The webhooks of a call; empty if it is not a call.
fn called_webhooks(request: &Request) -> Vec<WebhookId> {
    let header_id = || request.header("req-id").and_then(|id| id.parse().ok());
    match (request.method.as_str(), request.target.as_str()) {
        ("POST", "/inbox") => header_id().into_iter().collect(),
        ("POST", "/inbox/bulk") => batched_webhooks(&request.body).unwrap_or_default(),
        _ => Vec::new(),
    }
}

/// The webhooks of a batch: of each a line with id, key and length, then its body and a line end.
fn batched_webhooks(mut body: &[u8]) -> Option<Vec<WebhookId>> {
    let mut ids = Vec::new();
    while !body.is_empty() {
        let line_bytes = body.iter().position(|byte| *byte == b'\n')?;
        let mut fields = std::str::from_utf8(&body[..line_bytes]).ok()?.trim_end().split(' ');
        ids.push(fields.next()?.parse().ok()?);
        let length: usize = fields.nth(1)?.parse().ok()?;
        body = body.get(line_bytes + 1 + length + 2..)?;
    }
    Some(ids)
}

/// The response that reports the webhooks of a call as delivered.
fn success_response(request: &Request, ids: &[WebhookId]) -> Vec<u8> {
    if request.target == "/inbox" {
        return response(200, "", "");
    }
    let lines: Vec<String> = ids.iter().map(|id| format!("{id} ok\r\n")).collect();
    response(200, "", &lines.concat())
}

/// How long the sender of a call waits, as the call says.
fn call_timeout(request: &Request) -> Duration {
    let millis = request.header("req-deadline").and_then(|text| text.strip_suffix('m')?.parse().ok());
    Duration::from_millis(millis.unwrap_or(0))
}

impl Service for Receivers {
    fn on_request(
        &mut self, connection: ConnectionId, address: SocketAddr, request: Request,
        actions: &mut ServerActions,
    ) {
        let ids = called_webhooks(&request);
        let Some(destination) = ids.first().map(|id| id.destination) else {
            return actions.send(connection, response(400, "", ""));
        };
        self.call_count += 1;
        *self.call_counts.entry(destination).or_default() += 1;
        let endpoint = self.endpoints.get(&address);
        let (location, endpoint_behaviour) = endpoint
            .map_or((EndpointLocation::default(), None), |endpoint| (endpoint.location, endpoint.behaviour));
        // Where all answers are alike, it shows in no record which one was read.
        let copies_answers = endpoint.is_some_and(|endpoint| endpoint.copy_lag.is_some());
        self.judge.with(|judge, now| judge.record_call_of(&ids, location, now));
        let success = success_response(&request, &ids);
        let may_stop_at = Instant::now() + call_timeout(&request).saturating_sub(STOP_MARGIN).min(PATIENCE);
        let delayed_outcome = CallOutcome::Delivered;
        let call = LastCall { ids, in_flight: true, address, may_stop_at, delayed_outcome };
        self.last_calls.insert(connection, call);
        let (bytes, outcome) = match self
            .destination_behaviours
            .get(&destination)
            .copied()
            .or(endpoint_behaviour)
            .or(copies_answers.then_some(Behaviour::Mixed))
            .unwrap_or(self.default_behaviour)
        {
            Behaviour::Serve(delay) if !delay.is_zero() => {
                self.schedule_copy(connection, address, delay, &success, actions);
                return actions.send_at(Instant::now() + delay, connection, success);
            }
            Behaviour::Mixed => {
                let is_refused = self.call_count.is_multiple_of(MIXED_REFUSAL_INTERVAL);
                let delay = MIXED_DELAY_STEP * (1 + self.call_count as u32 % MIXED_DELAY_STEPS);
                let bytes = if is_refused { response(503, "", "") } else { success };
                if let Some(call) = self.last_calls.get_mut(&connection).filter(|_| is_refused) {
                    call.delayed_outcome = CallOutcome::Refused(0.0);
                }
                self.schedule_copy(connection, address, delay, &bytes, actions);
                return actions.send_at(Instant::now() + delay, connection, bytes);
            }
            Behaviour::Serve(_) => (success, CallOutcome::Delivered),
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
                actions.send(connection, success);
                return actions.close(connection);
            }
            Behaviour::PartialAnswer => {
                self.end_call(connection, CallOutcome::Failed);
                actions.send(connection, b"HTTP/1.1 5".to_vec());
                return actions.close(connection);
            }
            Behaviour::MalformedAnswer => (b"\x00\xffno answer\r\n\r\n".to_vec(), CallOutcome::Failed),
            Behaviour::InterimAnswer => {
                let interim = b"HTTP/1.1 100 Continue\r\n\r\n".as_slice();
                ([interim, success.as_slice()].concat(), CallOutcome::Delivered)
            }
            Behaviour::SplitAnswer => {
                let (mut send_at, segment_count) = (Instant::now(), success.len().div_ceil(SEGMENT_BYTES));
                for (number, segment) in success.chunks(SEGMENT_BYTES).enumerate() {
                    send_at += SEGMENT_PAUSE;
                    // The answer counts once it is whole.
                    if number + 1 < segment_count {
                        actions.send_part_at(send_at, connection, segment.to_vec());
                    } else {
                        actions.send_at(send_at, connection, segment.to_vec());
                    }
                }
                return;
            }
            Behaviour::ExtraBytes => ([success.as_slice(), b"more"].concat(), CallOutcome::Delivered),
            Behaviour::MissingBytes => {
                (b"HTTP/1.1 500 -\r\nContent-Length: 9\r\n\r\nhalf".to_vec(), CallOutcome::Failed)
            }
        };
        self.end_call(connection, outcome);
        self.schedule_copy(connection, address, Duration::ZERO, &bytes, actions);
        actions.send(connection, bytes);
    }

    fn on_copy(&mut self, connection: ConnectionId) {
        let Some(call) = self.last_calls.get(&connection).filter(|call| call.in_flight) else { return };
        self.judge.with(|judge, now| call.ids.iter().for_each(|id| judge.record_copied_answer(*id, now)));
    }

    fn on_delayed_send(&mut self, connection: ConnectionId) {
        let outcome = self.last_calls.get(&connection).map(|call| call.delayed_outcome);
        self.end_call(connection, outcome.unwrap_or(CallOutcome::Delivered));
    }

    fn on_connection_closed(&mut self, connection: ConnectionId) {
        let Some(call) = self.last_calls.remove(&connection) else { return };
        let connects_late_until =
            self.endpoints.get(&call.address).map(|endpoint| endpoint.connects_late_until);
        let now = Instant::now();
        let may_have_stopped =
            now >= call.may_stop_at || connects_late_until.is_some_and(|late_until| now < late_until);
        self.judge.with(|judge, at| {
            call.ids.iter().for_each(|id| judge.record_connection_end(*id, at, may_have_stopped));
        });
    }
}
