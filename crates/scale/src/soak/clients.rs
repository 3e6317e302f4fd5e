//! Clients of a sender under test: some hand in webhooks at a steady rate, some wait between their requests,
//! some stall in the middle of a request, and some connect in large numbers and send nothing.

use super::plan::RunSettings;
use crate::interrupt::StopFlag;
use crate::random::SeededRng;
use crate::standins::clients::{Client, HandInResult, RequestForm, SharedRequestForm};
use crate::standins::id::{EventType, WebhookId};
use crate::standins::receivers::SharedJudge;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The size of a webhook's body.
const BODY_BYTES: usize = 300;
/// The pause of a client whose webhook was not accepted.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
/// The longest pause of an intermittent client. Senders close connections that are idle for 2 s.
const MAX_IDLE_SECS: f64 = 4.5;
/// Intermittent clients of each sender.
const INTERMITTENT_CLIENTS: u64 = 3;
/// How long a stalled client waits for the sender: longer than the delivery rules allow.
const STALLED_CLIENT_TIMEOUT: Duration = Duration::from_millis(3400);

/// What the thread of a client runs, until the flag is set.
pub type ClientTask = Box<dyn FnOnce(&StopFlag) + Send>;

/// Creates the clients of one sender, and the ids of their webhooks.
#[derive(Clone)]
pub struct ClientFactory {
    /// The number of the sender.
    pub sender: u16,
    /// Where the sender listens.
    pub address: SocketAddr,
    /// The judge that records what the clients see.
    pub judge: SharedJudge,
    /// The number of the next webhook. All clients of the sender share it, so that numbers are unique.
    next_number: Arc<AtomicU32>,
    destination_count: u32,
    ttl: Duration,
    ordered: bool,
    request_form: SharedRequestForm,
}

impl ClientFactory {
    /// A factory for the clients of a sender.
    pub fn new(
        sender: u16, address: SocketAddr, judge: &SharedJudge, settings: &RunSettings,
    ) -> ClientFactory {
        ClientFactory {
            sender,
            address,
            judge: judge.clone(),
            next_number: Arc::default(),
            destination_count: settings.destination_count,
            ttl: Duration::from_secs_f64(settings.ttl_secs),
            ordered: settings.ordered,
            request_form: SharedRequestForm::default(),
        }
    }

    /// A client with a connection of its own.
    pub fn client(&self) -> Client {
        let mut client = Client::new(self.address, self.judge.clone(), BODY_BYTES);
        client.request_form = self.request_form.clone();
        client
    }

    /// Sets how the clients write their requests from now on.
    pub fn set_request_form(&self, form: RequestForm) {
        self.request_form.set(form);
    }

    /// The id of a new webhook.
    pub fn new_id(&self, destination: u32, event_type: EventType) -> WebhookId {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        WebhookId { sender: self.sender, destination, number, event_type }
    }

    /// An event type without ordering key. Ordered webhooks for one key must come from one client alone, as
    /// the order of those that several clients hand in at the same time is not known.
    fn choose_unordered_type(&self, rng: &mut SeededRng) -> EventType {
        let unordered =
            [EventType::Idempotent, EventType::Tokened, EventType::TokenedInZone, EventType::AtMostOnce];
        rng.choose(&unordered)
    }

    /// Hands in webhooks for one destination at a steady rate. Only this client hands in ordered webhooks for
    /// it.
    fn run_steady_client(
        &self, destination: u32, webhooks_per_sec: f64, mut rng: SeededRng, stop: &StopFlag,
    ) {
        let (mut client, began_at) = (self.client(), Instant::now());
        let mut handed_in = 0;
        while !stop.is_set() {
            stop.sleep_until(began_at + Duration::from_secs_f64(f64::from(handed_in) / webhooks_per_sec));
            handed_in += 1;
            let event_type = match self.ordered && rng.happens(0.2) {
                true => EventType::Ordered,
                false => self.choose_unordered_type(&mut rng),
            };
            let id = self.new_id(destination, event_type);
            if client.hand_in(id, self.ttl) != HandInResult::Accepted {
                stop.sleep(RETRY_PAUSE);
            }
        }
    }

    /// Pauses between two requests, often for about as long as a sender keeps an idle connection open.
    fn run_intermittent_client(&self, mut rng: SeededRng, stop: &StopFlag) {
        let mut client = self.client();
        while !stop.is_set() {
            let destination = rng.below(self.destination_count as usize) as u32;
            let id = self.new_id(destination, self.choose_unordered_type(&mut rng));
            client.hand_in(id, self.ttl);
            stop.sleep(Duration::from_secs_f64(rng.between(0.0, MAX_IDLE_SECS)));
        }
    }

    /// The clients that run during the whole load: one steady client for each destination, and the
    /// intermittent ones.
    pub fn permanent_clients(&self, webhooks_per_sec: f64, seed: u64) -> Vec<ClientTask> {
        let mut tasks: Vec<ClientTask> = Vec::new();
        for destination in 0..self.destination_count {
            let (factory, webhooks_per_sec) =
                (self.clone(), webhooks_per_sec / f64::from(self.destination_count));
            let rng = SeededRng::new(seed ^ u64::from(destination) << 32);
            tasks.push(Box::new(move |stop| {
                factory.run_steady_client(destination, webhooks_per_sec, rng, stop)
            }));
        }
        for number in 0..INTERMITTENT_CLIENTS {
            let (factory, rng) = (self.clone(), SeededRng::new(seed ^ (100 + number) << 32));
            tasks.push(Box::new(move |stop| factory.run_intermittent_client(rng, stop)));
        }
        tasks
    }

    /// Stops in the middle of a request and waits until the sender answers or closes the connection.
    pub fn run_stalled_client(&self) {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return };
        let began_at_secs = self.judge.now();
        let partial_request = b"POST /idem HTTP/1.1\r\nHost: a\r\nReq-Id: half\r\nContent-Le";
        if stream.write_all(partial_request).is_err()
            || stream.set_read_timeout(Some(STALLED_CLIENT_TIMEOUT)).is_err()
        {
            return;
        }
        let result = stream.read(&mut [0; 64]);
        let timed_out =
            result.is_err_and(|error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
        if timed_out {
            let sender = self.sender;
            self.judge.with(|judge, now| judge.record_stalled_client(sender, began_at_secs, now));
        }
    }

    /// Opens many connections, sends nothing over them, and closes them after a while.
    pub fn open_idle_connections(&self, count: usize, duration: Duration, stop: &StopFlag) {
        let connections: Vec<TcpStream> =
            (0..count).map_while(|_| TcpStream::connect(self.address).ok()).collect();
        stop.sleep(duration);
        drop(connections);
    }
}
