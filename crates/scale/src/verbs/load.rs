//! Clients that put load on senders, each in a thread of its own: as fast as the sender answers, or at a
//! steady rate.

use crate::error::Error;
use crate::interrupt::StopFlag;
use crate::standins::clients::{AnswerStats, Client, HandInResult};
use crate::standins::id::{EventType, WebhookId};
use crate::standins::receivers::SharedJudge;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The size of a webhook's body.
pub const BODY_BYTES: usize = 212;
/// The pause of a client whose webhook was not accepted.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What one client does.
#[derive(Debug, Clone)]
pub struct ClientTask {
    /// Where the sender listens.
    pub sender_address: SocketAddr,
    /// The number of the sender.
    pub sender: u16,
    /// The destinations that it hands webhooks in for, in turn. No other client of that sender has the same.
    pub destinations: Vec<u32>,
    /// The event types of its webhooks, in turn.
    pub event_types: Vec<EventType>,
    /// The TTL of its webhooks.
    pub ttl: Duration,
    /// The number of its first webhook.
    pub first_number: u32,
    /// The client ends when this many webhooks were accepted.
    pub max_accepted: u64,
    /// The rate at which it hands webhooks in. If infinite, the next one follows as soon as the last is
    /// answered.
    pub webhooks_per_sec: f64,
}

/// Running clients, each in a thread of its own.
pub struct Load {
    clients: Vec<JoinHandle<AnswerStats>>,
    stop: StopFlag,
}

impl Load {
    /// Starts clients. They end when their task is done, at `finish`, or when `run_stop` is set.
    pub fn start(tasks: Vec<ClientTask>, judge: &SharedJudge, run_stop: &StopFlag) -> Result<Load, Error> {
        let stop = StopFlag::default();
        let mut clients = Vec::new();
        for task in tasks {
            let client = Client::new(task.sender_address, judge.clone(), BODY_BYTES);
            let stops = [stop.clone(), run_stop.clone()];
            let thread = std::thread::Builder::new().name("client".into());
            clients.push(thread.spawn(move || run_client(&task, client, &stops))?);
        }
        Ok(Load { clients, stop })
    }

    /// Waits until all clients have done their tasks. Returns the answers that they got.
    pub fn join(self) -> Result<AnswerStats, Error> {
        let mut total = AnswerStats::default();
        for client in self.clients {
            let answers = client.join().map_err(|_| Error::Failed("a client panicked".into()))?;
            total.merge(&answers);
        }
        Ok(total)
    }

    /// Stops all clients. Returns the answers that they got.
    pub fn finish(self) -> Result<AnswerStats, Error> {
        self.stop.set();
        self.join()
    }
}

/// Runs one client until its task is done or one of the flags is set.
fn run_client(task: &ClientTask, mut client: Client, stops: &[StopFlag; 2]) -> AnswerStats {
    let began_at = Instant::now();
    let mut number = task.first_number;
    let mut index = 0;
    while client.answers.accepted < task.max_accepted && !stops.iter().any(StopFlag::is_set) {
        if task.webhooks_per_sec.is_finite() {
            let due_at = began_at + Duration::from_secs_f64(index as f64 / task.webhooks_per_sec);
            stops[0].sleep_until(due_at);
        }
        let destination = task.destinations[index % task.destinations.len()];
        // All destinations get one event type before the next event type follows.
        let event_type = task.event_types[(index / task.destinations.len()) % task.event_types.len()];
        let id = WebhookId { sender: task.sender, destination, number, event_type };
        number += 1;
        index += 1;
        if client.hand_in(id, task.ttl) != HandInResult::Accepted {
            stops[0].sleep(RETRY_PAUSE);
        }
    }
    client.answers
}

/// Tasks for clients of one sender that share the rate and the destinations among them.
pub fn steady_tasks(
    sender_address: SocketAddr, sender: u16, destination_count: u32, client_count: u32,
    webhooks_per_sec: f64, ttl: Duration,
) -> Vec<ClientTask> {
    let destinations_of = |client: u32| {
        (0..destination_count).filter(|destination| destination % client_count == client).collect()
    };
    let task = |client: u32| ClientTask {
        sender_address,
        sender,
        destinations: destinations_of(client),
        event_types: EventType::ALL.to_vec(),
        ttl,
        first_number: 0,
        max_accepted: u64::MAX,
        webhooks_per_sec: webhooks_per_sec / f64::from(client_count),
    };
    (0..client_count.min(destination_count)).map(task).collect()
}
