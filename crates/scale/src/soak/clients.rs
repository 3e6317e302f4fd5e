//! Clients of a sender under test: ones that hand in at a steady rate, ones that rest on their connections, ones that
//! stop in the middle of a request and stay, and crowds that say nothing.

use super::plan::Settings;
use crate::draws::Draws;
use crate::interrupt::Stop;
use crate::standins::clients::{Client, HandInResult};
use crate::standins::id::{EventType, WebhookId};
use crate::standins::receivers::SharedJudge;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const BODY: usize = 300;
/// A client that was refused hands in anew after this.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
/// A client rests for this long at most between two requests; senders end connections that rest for 2 s.
const LONGEST_REST: f64 = 4.5;
/// Clients that rest, for each sender.
const RESTING: u64 = 3;
/// More than a client that stops has to wait.
const STOPPED_PATIENCE: Duration = Duration::from_millis(3400);

/// What a client does until it is told to stop.
pub type Work = Box<dyn FnOnce(&Stop) + Send>;

/// One sender as its clients see it.
#[derive(Clone)]
pub struct Door {
    pub me: u16,
    pub at: SocketAddr,
    pub record: SharedJudge,
    /// No two webhooks of a sender have one number.
    numbers: Arc<AtomicU32>,
    destinations: u32,
    ttl: Duration,
    ordered: bool,
}

impl Door {
    pub fn new(me: u16, at: SocketAddr, record: &SharedJudge, settings: &Settings) -> Door {
        Door {
            me,
            at,
            record: record.clone(),
            numbers: Arc::default(),
            destinations: settings.destinations,
            ttl: Duration::from_secs_f64(settings.ttl),
            ordered: settings.ordered,
        }
    }

    /// A client with a connection of its own.
    pub fn client(&self) -> Client {
        Client::new(self.at, self.record.clone(), BODY)
    }

    /// The id of a new webhook.
    pub fn id(&self, destination: u32, event_type: EventType) -> WebhookId {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        WebhookId { sender: self.me, destination, number, event_type }
    }

    /// An event type without order, as others may hand in for the same key at the same time.
    fn unordered(&self, draws: &mut Draws) -> EventType {
        let all =
            [EventType::Idempotent, EventType::Tokened, EventType::TokenedInZone, EventType::AtMostOnce];
        draws.one_of(&all)
    }

    /// Hands in for one destination at a rate; that client alone hands in what keeps its order there.
    fn steady(&self, dest: u32, rate: f64, mut draws: Draws, stop: &Stop) {
        let (mut client, began) = (self.client(), Instant::now());
        let mut turn = 0;
        while !stop.is_set() {
            stop.sleep_until(began + Duration::from_secs_f64(f64::from(turn) / rate));
            turn += 1;
            let event_type = match self.ordered && draws.happens(0.2) {
                true => EventType::Ordered,
                false => self.unordered(&mut draws),
            };
            let id = self.id(dest, event_type);
            if client.hand_in(id, self.ttl) != HandInResult::Accepted {
                stop.sleep(RETRY_PAUSE);
            }
        }
    }

    /// Rests between two requests, often for about as long as a sender lets a connection rest.
    fn resting(&self, mut draws: Draws, stop: &Stop) {
        let mut client = self.client();
        while !stop.is_set() {
            let dest = draws.below(self.destinations as usize) as u32;
            let id = self.id(dest, self.unordered(&mut draws));
            client.hand_in(id, self.ttl);
            stop.sleep(Duration::from_secs_f64(draws.between(0.0, LONGEST_REST)));
        }
    }

    /// All clients that are there from the begin to the end.
    pub fn usual(&self, rate: f64, seed: u64) -> Vec<Work> {
        let mut all: Vec<Work> = Vec::new();
        for dest in 0..self.destinations {
            let (door, rate) = (self.clone(), rate / f64::from(self.destinations));
            let draws = Draws::new(seed ^ u64::from(dest) << 32);
            all.push(Box::new(move |stop| door.steady(dest, rate, draws, stop)));
        }
        for number in 0..RESTING {
            let (door, draws) = (self.clone(), Draws::new(seed ^ (100 + number) << 32));
            all.push(Box::new(move |stop| door.resting(draws, stop)));
        }
        all
    }

    /// Stops in the middle of a request and stays until the sender ends it.
    pub fn stop_midway(&self) {
        let Ok(mut stream) = TcpStream::connect(self.at) else { return };
        let began = self.record.now();
        let half = b"POST /idem HTTP/1.1\r\nHost: a\r\nReq-Id: half\r\nContent-Le";
        if stream.write_all(half).is_err() || stream.set_read_timeout(Some(STOPPED_PATIENCE)).is_err() {
            return;
        }
        let heard = stream.read(&mut [0; 64]);
        let timed_out = heard.is_err_and(|e| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
        if timed_out {
            let me = self.me;
            self.record.with(|judge, now| judge.record_stalled_client(me, began, now));
        }
    }

    /// Many that connect, say nothing and leave after a while.
    pub fn crowd(&self, count: usize, lasts: Duration, stop: &Stop) {
        let all: Vec<TcpStream> = (0..count).map_while(|_| TcpStream::connect(self.at).ok()).collect();
        stop.sleep(lasts);
        drop(all);
    }
}
