//! A day, played event by event.

mod calls;
mod clients;
mod endpoint_list;
mod faults;
mod senders;

use crate::events::{Digest, Final, LogEntry, LogEvent, Told};
use crate::faults::Faults;
use crate::fleet::{Fleet, Listed, work};
use crate::host::{Act, Batch, Desk, Host};
use crate::measure::{Counts, Little, Measures, Window};
use crate::policy::{Policy, PolicyFactory, SenderStart};
use crate::queue::{Nanos, Queue, mix, nanos, seconds};
use crate::random::{Generator, Weighted, generator};
use crate::rules::{Judge, Violation};
use crate::spec::{Curve, Effect, FaultKind, World, WorldError};
use hdrhistogram::Histogram;
use rand::RngExt;
use scalebarrow::{ListUpdate, ListedEndpoint, Outcome};

/// Why the event of a call is no longer its own: places of calls are used again.
type Place = (u32, u32);

enum Event {
    /// A webhook may be handed in for the first time.
    Arrival,
    Clumped {
        dest: u32,
    },
    HandIn {
        message: u64,
        sender: u32,
    },
    Withdraw {
        message: u64,
    },
    Flush {
        sender: u32,
    },
    Wake {
        sender: u32,
        life: u32,
        handle: u64,
    },
    Moot {
        sender: u32,
        life: u32,
        webhook: u64,
        ep: u32,
        no_slot: bool,
    },
    /// A new connection is up.
    Up {
        call: Place,
    },
    Reached {
        call: Place,
    },
    Served {
        call: Place,
    },
    Answer {
        call: Place,
        told: Told,
        wait: Nanos,
        report: Option<(f64, f64)>,
    },
    Stop {
        call: Place,
    },
    CalledOff {
        call: Place,
    },
    News {
        sender: u32,
        life: u32,
        mode: ListUpdate,
        items: Vec<(u32, Listed)>,
    },
    Begin {
        trouble: usize,
    },
    Finish {
        trouble: usize,
    },
    Die {
        sender: u32,
        life: u32,
    },
    Recover {
        ep: u32,
    },
    Sample {
        window: usize,
    },
}

/// What a client wants delivered; it keeps its name however often it is handed in.
struct Message {
    event_type: u16,
    dest: u32,
    key: u64,
    customer: Option<u16>,
    first_at: Nanos,
    ttl_at: Nanos,
    again: u32,
    /// The webhook that it is now, or was last; 0 before.
    webhook: u64,
    over: bool,
}

/// What a sender has taken on.
struct Hook {
    message: u64,
    sender: u32,
    taken_at: Nanos,
    tries: u32,
    /// First attempt that may have run: zone and time of sending.
    ran: Option<(u16, Nanos)>,
    call: Option<Place>,
    ended: bool,
}

#[derive(Default)]
struct Call {
    turn: u32,
    sender: u32,
    ep: u32,
    hooks: Vec<u64>,
    sent_at: Nanos,
    /// When it came to its endpoint, while it is there.
    there: Option<Nanos>,
    connected: bool,
    /// It will be reset before it runs (1) or after (2).
    reset: u8,
    /// How its endpoint will answer, and whether it runs; which webhooks its endpoint knows as repeats.
    fails: bool,
    runs: bool,
    known: Vec<bool>,
    /// Nobody waits for it at the sender; nothing of it is left on the way or at the endpoint.
    left: bool,
    gone: bool,
}

/// The result of a day. All figures are of simulated clients, senders and destinations.
#[derive(Clone, Debug)]
pub struct Report {
    pub seed: u64,
    /// The same for the same day, whatever played it.
    pub hash: u64,
    /// Value delivered as a share of value asked, over the day and in its worst span.
    pub value: f64,
    pub worst_window: f64,
    pub counts: Counts,
    pub windows: Vec<Window>,
    pub latency: Histogram<u64>,
    pub at_endpoints: Little,
    pub waited: Little,
    pub at_senders: Little,
    pub violations: Vec<Violation>,
    /// First lines that policies wrote.
    pub policy_messages: Vec<String>,
    pub ended_at_s: f64,
}

impl Report {
    /// Little's law at the endpoints, at their queues, and at the senders.
    pub fn little_holds(&self) -> bool {
        self.at_endpoints.holds() && self.waited.holds() && self.at_senders.holds()
    }
}

struct Chances {
    arrivals: Generator,
    clients: Generator,
    front: Generator,
    net: Generator,
    service: Generator,
    list: Generator,
}

struct Run<'a> {
    world: &'a World,
    seed: u64,
    maker: &'a PolicyFactory<'a>,
    watch: &'a mut dyn FnMut(&LogEntry),
    queue: Queue<Event>,
    fleet: Fleet,
    faults: Faults,
    hosts: Vec<Host>,
    /// When clients know that a sender is dead.
    noticed_at: Vec<Nanos>,
    messages: Vec<Message>,
    hooks: Vec<Hook>,
    calls: Vec<Call>,
    free: Vec<u32>,
    /// Endpoints in an outage.
    out: Vec<bool>,
    chance: Chances,
    event_types_drawn: Weighted,
    customers: Weighted,
    top_rate: f64,
    length: Nanos,
    living: u64,
    measures: Measures,
    judge: Judge,
    digest: Digest,
    desk: Desk,
    policy_messages: Vec<String>,
}

/// Plays a day to its end. `watch` sees each line of the event log as it is written.
pub fn run(
    world: &World, seed: u64, maker: &PolicyFactory, watch: &mut dyn FnMut(&LogEntry),
) -> Result<Report, WorldError> {
    world.check()?;
    let fleet = Fleet::new(world, seed);
    let faults = Faults::new(world, &fleet, seed);
    let known: Vec<Listed> = fleet.endpoints.iter().map(|e| e.listed).collect();
    let hosts: Vec<Host> =
        (0..world.senders.count).map(|s| Host::new((s % world.net.zones) as u16, known.clone())).collect();
    let length = nanos(world.day.length_s);
    let curve_top = match world.clients.curve {
        Curve::Steady => 1.0,
        Curve::Wave => 1.0 + world.clients.swing,
        Curve::Points => world.clients.points.iter().map(|p| p.1).fold(0.0, f64::max),
    };
    let surges = world.faults.iter().filter(|t| t.kind == FaultKind::Surge).map(|t| t.size.max(1.0));
    let clump = 1.0 - world.clients.clump_share * (1.0 - 1.0 / world.clients.clump_size.max(1) as f64);
    let judge = Judge::new(world, &fleet);
    let mut run = Run {
        world,
        seed,
        maker,
        watch,
        queue: Queue::new(world.day.shuffle_seed, world.day.tick_us * 1_000),
        out: vec![false; fleet.endpoints.len()],
        desk: Desk { many: fleet.endpoints.len() as u32, ..Desk::default() },
        noticed_at: vec![0; hosts.len()],
        fleet,
        faults,
        hosts,
        messages: Vec::new(),
        hooks: Vec::new(),
        calls: Vec::new(),
        free: Vec::new(),
        chance: Chances {
            arrivals: generator(seed, "arrivals"),
            clients: generator(seed, "clients"),
            front: generator(seed, "front"),
            net: generator(seed, "net"),
            service: generator(seed, "service"),
            list: generator(seed, "list"),
        },
        event_types_drawn: Weighted::new(world.event_types.iter().map(|t| t.share)),
        customers: Weighted::new(world.customers.iter().map(|c| c.share)),
        // A clump counts as one arrival: the rate of webhooks stays as it is named.
        top_rate: world.clients.rate * curve_top * surges.product::<f64>() * clump,
        length,
        living: 0,
        measures: Measures::new(length, nanos(world.day.window_s)),
        judge,
        digest: Digest::default(),
        policy_messages: Vec::new(),
    };
    run.play();
    Ok(run.report())
}

impl Run<'_> {
    fn play(&mut self) {
        for (i, f) in self.faults.all.iter().enumerate() {
            self.queue.put(f.from, Event::Begin { trouble: i });
            self.queue.put(f.to, Event::Finish { trouble: i });
        }
        for s in 0..self.hosts.len() as u32 {
            self.start(s);
        }
        for window in 0..self.measures.windows.len() {
            self.queue.put(nanos((window + 1) as f64 * self.world.day.window_s), Event::Sample { window });
        }
        self.queue.put(0, Event::Arrival);
        // What a policy asks for without end must not keep a day from its end.
        let longest = self.world.event_types.iter().map(|t| t.ttl_s).fold(0.0, f64::max);
        let last =
            self.length.max(self.faults.all.iter().map(|f| f.to).max().unwrap_or(0)) + nanos(longest + 30.0);
        let (mut instant, mut at_once) = (0, 0_u64);
        while let Some((now, event)) = self.queue.next() {
            self.measures.counts.events += 1;
            at_once = if now == instant { at_once + 1 } else { 0 };
            instant = now;
            // A policy that asks again and again without time passing would never come to the next instant.
            if at_once > 10_000_000 {
                self.policy_messages.push(format!("{:.3}: no end of events at one instant", seconds(now)));
                break;
            }
            self.happens(now, event);
            let quiet = self.living == 0 && self.free.len() == self.calls.len();
            if now > last || (now >= self.length && quiet) {
                break;
            }
        }
    }

    fn report(self) -> Report {
        let m = self.measures;
        let worst =
            m.windows.iter().filter(|w| w.offered_value > 0.0).map(|w| w.delivered_value / w.offered_value);
        let ended = self.queue.now();
        Report {
            seed: self.seed,
            hash: self.digest.value(),
            value: if m.offered_value > 0.0 { m.delivered_value / m.offered_value } else { 1.0 },
            worst_window: worst.fold(1.0, f64::min),
            violations: self.judge.verdict(ended),
            counts: m.counts,
            windows: m.windows,
            latency: m.latency,
            at_endpoints: m.at_endpoints,
            waited: m.waited,
            at_senders: m.at_senders,
            policy_messages: self.policy_messages,
            ended_at_s: seconds(ended),
        }
    }

    fn log(&mut self, event: LogEvent) {
        let line = LogEntry { at: self.queue.now(), event };
        self.digest.add(&line);
        self.judge.see(&line);
        (self.watch)(&line);
    }

    fn happens(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Arrival => self.arrival(now),
            Event::Clumped { dest } => self.message(now, dest),
            Event::HandIn { message, sender } => self.handed_in(now, message, sender),
            Event::Withdraw { message } => self.withdraw(now, message),
            Event::Flush { sender } => self.flush(now, sender),
            Event::Wake { sender, life, handle } if self.lives(sender, life) => {
                self.input(sender, |p, out| p.wake(seconds(now), handle, out));
            }
            Event::Moot { sender, life, webhook, ep, no_slot } if self.lives(sender, life) => {
                self.log(LogEvent::Outcome { webhook, sender, ep, told: Told::Moot, wait: 0 });
                let ended = self.hooks[webhook as usize - 1].ended;
                self.outcome(now, sender, webhook, ep, Outcome::Moot(no_slot), 0.0, ended, None);
            }
            Event::Up { call } => self.up(now, call),
            Event::Reached { call } => self.reached(now, call),
            Event::Served { call } => self.served(now, call),
            Event::Answer { call, told, wait, report } => self.answered(now, call, told, wait, report),
            Event::Stop { call } => self.finish(now, call, Told::TimedOut, 0, None),
            Event::CalledOff { call } => self.finish(now, call, Told::Cancelled, 0, None),
            Event::News { sender, life, mode, items } if self.lives(sender, life) => {
                self.news(now, sender, mode, &items);
            }
            Event::Begin { trouble } => self.begin(now, trouble),
            Event::Finish { trouble } => self.over(now, trouble),
            Event::Die { sender, life } if self.lives(sender, life) => self.die(now, sender),
            Event::Recover { ep } => {
                self.fleet.endpoints[ep as usize].fallen = false;
                self.outage(now, ep);
            }
            Event::Sample { window } => {
                let queued = self.hosts.iter().map(|h| h.open.len() as u64).sum();
                self.measures.windows[window].queued = queued;
            }
            Event::Wake { .. } | Event::Moot { .. } | Event::News { .. } | Event::Die { .. } => {}
        }
    }

    fn lives(&self, sender: u32, life: u32) -> bool {
        let h = &self.hosts[sender as usize];
        h.up() && h.life == life
    }
}

/// What a delivery so long after the first hand-in is worth, as a share of the event type's value.
fn worth(t: &crate::spec::EventType, took: f64) -> f64 {
    let past = took - t.target_s;
    if past <= 0.0 {
        1.0
    } else if t.halves {
        0.5_f64.powf(past / t.target_s).max(t.late)
    } else {
        (1.0 - (1.0 - t.late) * past / (t.ttl_s - t.target_s).max(1e-9)).max(t.late)
    }
}

fn numbered(known: &[Listed]) -> Vec<(u32, Listed)> {
    known.iter().enumerate().map(|(e, l)| (e as u32, *l)).collect()
}
