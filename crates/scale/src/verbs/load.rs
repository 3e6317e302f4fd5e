//! Load on senders from clients in threads: a backlog filled as fast as it is taken on, or a steady rate.

use crate::error::Error;
use crate::interrupt::Stop;
use crate::standins::clients::{AnswerStats, Client, HandInResult};
use crate::standins::id::{EventType, WebhookId};
use crate::standins::receivers::SharedJudge;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Bytes of a webhook's body.
pub const BODY: usize = 212;
/// A client that is turned away, or hears nothing, rests so long.
const PAUSE: Duration = Duration::from_millis(20);

/// What one client does.
#[derive(Debug, Clone)]
pub struct Task {
    pub to: SocketAddr,
    pub sender: u16,
    /// The destinations that it hands webhooks in for, in turn. No other client of that sender has the same.
    pub destinations: Vec<u32>,
    /// Event types, in turn.
    pub event_types: Vec<EventType>,
    pub ttl: Duration,
    /// The number of its first webhook.
    pub first: u32,
    /// Webhooks taken on after which it ends.
    pub count: u64,
    /// A second; without bound it goes as fast as it is answered.
    pub rate: f64,
}

/// Clients at work, each in a thread of its own.
pub struct Load {
    clients: Vec<JoinHandle<AnswerStats>>,
    stop: Stop,
}

impl Load {
    /// Starts clients. They end by themselves, at `finish`, or at the run's stop.
    pub fn start(tasks: Vec<Task>, record: &SharedJudge, run: &Stop) -> Result<Load, Error> {
        let stop = Stop::default();
        let mut clients = Vec::new();
        for task in tasks {
            let client = Client::new(task.to, record.clone(), BODY);
            let stops = [stop.clone(), run.clone()];
            let thread = std::thread::Builder::new().name("client".into());
            clients.push(thread.spawn(move || work(&task, client, &stops))?);
        }
        Ok(Load { clients, stop })
    }

    /// Waits until all have done their count.
    pub fn join(self) -> Result<AnswerStats, Error> {
        let mut all = AnswerStats::default();
        for client in self.clients {
            let answers = client.join().map_err(|_| Error::Failed("a client failed".into()))?;
            all.merge(&answers);
        }
        Ok(all)
    }

    /// Ends all and returns what they heard.
    pub fn finish(self) -> Result<AnswerStats, Error> {
        self.stop.set();
        self.join()
    }
}

fn work(task: &Task, mut client: Client, stops: &[Stop; 2]) -> AnswerStats {
    let began = Instant::now();
    let mut number = task.first;
    let mut turn = 0;
    while client.answers.accepted < task.count && !stops.iter().any(Stop::is_set) {
        if task.rate.is_finite() {
            let due = began + Duration::from_secs_f64(turn as f64 / task.rate);
            stops[0].sleep_until(due);
        }
        let destination = task.destinations[turn % task.destinations.len()];
        // Each destination gets all event types.
        let event_type = task.event_types[(turn / task.destinations.len()) % task.event_types.len()];
        let id = WebhookId { sender: task.sender, destination, number, event_type };
        number += 1;
        turn += 1;
        if client.hand_in(id, task.ttl) != HandInResult::Accepted {
            stops[0].sleep(PAUSE);
        }
    }
    client.answers
}

/// Clients for a sender, so many side by side, that share `rate` webhooks a second and all destinations between them.
pub fn steady(
    to: SocketAddr, sender: u16, destinations: u32, clients: u32, rate: f64, ttl: Duration,
) -> Vec<Task> {
    let share = |own: u32| (0..destinations).filter(|dest| dest % clients == own).collect();
    let task = |own: u32| Task {
        to,
        sender,
        destinations: share(own),
        event_types: EventType::ALL.to_vec(),
        ttl,
        first: 0,
        count: u64::MAX,
        rate: rate / f64::from(clients),
    };
    (0..clients.min(destinations)).map(task).collect()
}
