//! A day, played event by event.

use crate::chance::{Generator, Weighted, generator};
use crate::events::{Digest, Final, Line, Told, What as Log};
use crate::faults::Faults;
use crate::fleet::{Fleet, Listed, work};
use crate::host::{Act, Batch, Desk, Host};
use crate::measure::{Counts, Little, Measures, Window};
use crate::policy::{Maker, Policy, Start};
use crate::queue::{Nanos, Queue, mix, nanos, seconds};
use crate::rules::{Breach, Judge};
use crate::spec::{Curve, Effect, Fault, What, World};
use hdrhistogram::Histogram;
use rand::RngExt;
use scalebarrow::{Entry, ListMode, Outcome};

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
        mode: ListMode,
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
    pub broken: Vec<Breach>,
    /// First lines that policies wrote.
    pub lines: Vec<String>,
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
    maker: &'a Maker<'a>,
    watch: &'a mut dyn FnMut(&Line),
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
    lines: Vec<String>,
}

/// Plays a day to its end. `watch` sees each line of the event log as it is written.
pub fn run(world: &World, seed: u64, maker: &Maker, watch: &mut dyn FnMut(&Line)) -> Result<Report, Fault> {
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
    let surges = world.troubles.iter().filter(|t| t.what == What::Surge).map(|t| t.size.max(1.0));
    let clump = 1.0 - world.clients.clump_share * (1.0 - 1.0 / world.clients.clump_size.max(1) as f64);
    let judge = Judge::new(world, &fleet);
    let mut run = Run {
        world,
        seed,
        maker,
        watch,
        queue: Queue::new(world.day.order, world.day.tick_us * 1_000),
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
        lines: Vec::new(),
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
                self.lines.push(format!("{:.3}: no end of events at one instant", seconds(now)));
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
        let worst = m.windows.iter().filter(|w| w.asked > 0.0).map(|w| w.won / w.asked);
        let ended = self.queue.now();
        Report {
            seed: self.seed,
            hash: self.digest.value(),
            value: if m.asked > 0.0 { m.won / m.asked } else { 1.0 },
            worst_window: worst.fold(1.0, f64::min),
            broken: self.judge.verdict(ended),
            counts: m.counts,
            windows: m.windows,
            latency: m.latency,
            at_endpoints: m.at_endpoints,
            waited: m.waited,
            at_senders: m.at_senders,
            lines: self.lines,
            ended_at_s: seconds(ended),
        }
    }

    fn log(&mut self, what: Log) {
        let line = Line { at: self.queue.now(), what };
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
                self.input(sender, |p, out| p.woken(seconds(now), handle, out));
            }
            Event::Moot { sender, life, webhook, ep, no_slot } if self.lives(sender, life) => {
                self.log(Log::Outcome { webhook, sender, ep, told: Told::Moot, wait: 0 });
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
                let held = self.hosts.iter().map(|h| h.open.len() as u64).sum();
                self.measures.windows[window].held = held;
            }
            Event::Wake { .. } | Event::Moot { .. } | Event::News { .. } | Event::Die { .. } => {}
        }
    }

    fn lives(&self, sender: u32, life: u32) -> bool {
        let h = &self.hosts[sender as usize];
        h.up() && h.life == life
    }

    // ---- clients ----

    fn rate_now(&self, now: Nanos) -> f64 {
        let (c, t) = (&self.world.clients, seconds(now));
        let curve = match c.curve {
            Curve::Steady => 1.0,
            Curve::Wave => 1.0 + c.swing * (std::f64::consts::TAU * t / c.swing_s.max(0.001)).sin(),
            Curve::Points => {
                let after = c.points.partition_point(|p| p.0 <= t);
                match (after.checked_sub(1).map(|i| c.points[i]), c.points.get(after)) {
                    (Some(a), Some(b)) => a.1 + (b.1 - a.1) * (t - a.0) / (b.0 - a.0),
                    (Some(p), None) | (None, Some(&p)) => p.1,
                    (None, None) => 1.0,
                }
            }
        };
        let surge = |f: &&crate::faults::Fault| f.what == What::Surge && f.from <= now && now < f.to;
        c.rate * curve * self.faults.all.iter().filter(surge).map(|f| f.size).product::<f64>()
    }

    /// Arrivals at the highest rate of the day, thinned to that of the moment (Lewis and Shedler 1979).
    fn arrival(&mut self, now: Nanos) {
        let c = &self.world.clients;
        let clump = 1.0 - c.clump_share * (1.0 - 1.0 / c.clump_size.max(1) as f64);
        if now > 0 && self.chance.arrivals.random::<f64>() * self.top_rate < self.rate_now(now) * clump {
            let dest = self.fleet.traffic.draw(&mut self.chance.arrivals) as u32;
            // A share of the webhooks, not of the arrivals, comes in clumps.
            let clumps = c.clump_share / c.clump_size.max(1) as f64 / clump;
            if c.clump_share > 0.0 && self.chance.arrivals.random::<f64>() < clumps {
                for i in 0..c.clump_size {
                    let at = now + nanos(c.clump_s * i as f64 / c.clump_size as f64);
                    self.queue.put(at, Event::Clumped { dest });
                }
            } else {
                self.message(now, dest);
            }
        }
        let gap = self.chance.arrivals.sample::<f64, _>(rand_distr::Exp1) / self.top_rate;
        if now + nanos(gap) < self.length {
            self.queue.put(now + nanos(gap), Event::Arrival);
        }
    }

    fn message(&mut self, now: Nanos, dest: u32) {
        let (c, w) = (&self.world.clients, self.world);
        let with = &mut self.chance.clients;
        let event_type = self.event_types_drawn.draw(with) as u16;
        let t = &w.event_types[usize::from(event_type)];
        let left = if c.short > 0.0 && with.random::<f64>() < c.short {
            c.short_s.draw(with).min(t.ttl_s)
        } else {
            t.ttl_s
        };
        let customer = (!w.customers.is_empty()).then(|| self.customers.draw(with) as u16);
        // 0 is no key.
        let key =
            if t.ordered { u64::from(dest) << 20 | (1 + with.random_range(0..c.keys.max(1))) } else { 0 };
        let gives_up =
            (c.withdraw > 0.0 && with.random::<f64>() < c.withdraw).then(|| c.withdraw_s.draw(with));
        let (message, ttl_at) = (self.messages.len() as u64, now + nanos(left));
        let (again, webhook, over) = (0, 0, false);
        self.messages.push(Message {
            event_type,
            dest,
            key,
            customer,
            first_at: now,
            ttl_at,
            again,
            webhook,
            over,
        });
        self.living += 1;
        self.measures.counts.messages += 1;
        self.measures.asked(now, t.value);
        if let Some(after) = gives_up {
            self.queue.put(now + nanos(after), Event::Withdraw { message });
        }
        self.hand_in(now, message);
    }

    /// A plain front layer: any sender that is not known to be dead.
    fn hand_in(&mut self, now: Nanos, message: u64) {
        let many = self.hosts.len();
        let first = if many > 1 { self.chance.front.random_range(0..many) } else { 0 };
        let fine = |s: &usize| self.hosts[*s].up() || now < self.noticed_at[*s];
        let sender = (0..many).map(|i| (first + i) % many).find(fine).unwrap_or(first) as u32;
        let delay = nanos(self.world.net.client.draw(&mut self.chance.front));
        self.queue.put(now + delay, Event::HandIn { message, sender });
    }

    /// A client comes again after a while, unless there would be no time left.
    fn again(&mut self, now: Nanos, message: u64, come_back: f64) {
        let c = &self.world.clients;
        let m = &self.messages[message as usize];
        let grow = if c.doubles { f64::from(1_u32 << m.again.saturating_sub(1).min(6)) } else { 1.0 };
        let mut wait = c.again_s.draw(&mut self.chance.clients) * grow;
        if come_back > 0.0 && self.chance.clients.random::<f64>() < c.heed {
            wait = come_back;
        }
        // 1 ms at least: a client is never faster, and a day must move on.
        let at = now + nanos(wait.max(0.001));
        if at >= m.ttl_at {
            return self.done(message);
        }
        let many = self.hosts.len();
        let first = if many > 1 { self.chance.front.random_range(0..many) } else { 0 };
        let fine = |s: &usize| self.hosts[*s].up() || at < self.noticed_at[*s];
        let sender = (0..many).map(|i| (first + i) % many).find(fine).unwrap_or(first) as u32;
        self.queue.put(at, Event::HandIn { message, sender });
    }

    fn done(&mut self, message: u64) {
        if !std::mem::replace(&mut self.messages[message as usize].over, true) {
            self.living -= 1;
        }
    }

    fn handed_in(&mut self, now: Nanos, message: u64, sender: u32) {
        let m = &self.messages[message as usize];
        if m.over || now >= m.ttl_at {
            return self.done(message);
        }
        let h = &self.hosts[sender as usize];
        if !h.up() || h.open.len() >= self.world.senders.holds {
            self.measures.counts.turned_away += 1;
            return self.again(now, message, 0.0);
        }
        let webhook = self.hooks.len() as u64 + 1;
        let (event_type, dest, key, ttl_at) = (m.event_type, m.dest, m.key, m.ttl_at);
        self.hooks.push(Hook {
            message,
            sender,
            taken_at: now,
            tries: 0,
            ran: None,
            call: None,
            ended: false,
        });
        self.messages[message as usize].webhook = webhook;
        self.hosts[sender as usize].open.insert(webhook);
        self.measures.counts.taken += 1;
        self.measures.at_senders.enter(now);
        let held = self.measures.counts.taken - self.measures.at_senders.left;
        self.measures.counts.held_most = self.measures.counts.held_most.max(held);
        self.log(Log::Taken { webhook, message, sender, event_type, dest, key, ttl_at });
        self.give(now, webhook, None);
    }

    /// Gives a webhook to its sender's policy, after a restart with what was made of it.
    fn give(&mut self, now: Nanos, webhook: u64, resumed: Option<(u32, Option<(u16, Nanos)>)>) {
        let hook = &self.hooks[webhook as usize - 1];
        let (m, sender) = (&self.messages[hook.message as usize], hook.sender);
        let world = self.world;
        let event_type = &world.event_types[usize::from(m.event_type)].name;
        let key = (m.key > 0).then(|| format!("k{}", m.key));
        let customer = m.customer.map(|c| world.customers[usize::from(c)].name.as_str());
        let (dest, left) = (u64::from(m.dest), m.ttl_at as f64 / 1e9 - seconds(now));
        let (now, key) = (seconds(now), key.as_deref());
        match resumed {
            None => self
                .input(sender, |p, out| p.webhook(now, webhook, event_type, dest, key, customer, left, out)),
            Some((tries, ran)) => {
                let zone = ran.map(|r| (self.fleet.zones[usize::from(r.0)].clone(), seconds(r.1)));
                let ran = zone.as_ref().map(|(z, at)| (z.as_str(), *at));
                self.input(sender, |p, out| {
                    p.resumed(now, webhook, event_type, dest, key, customer, left, tries, ran, out);
                });
            }
        }
    }

    fn withdraw(&mut self, now: Nanos, message: u64) {
        let m = &self.messages[message as usize];
        let (webhook, over) = (m.webhook, m.over);
        if over {
            return;
        }
        self.done(message);
        let Some(hook) = (webhook as usize).checked_sub(1).map(|i| &self.hooks[i]) else { return };
        let (sender, ended) = (hook.sender, hook.ended);
        if !ended && self.hosts[sender as usize].up() {
            self.end(now, webhook, Final::Withdrawn, 0.0);
            self.input(sender, |p, out| p.withdrawn(seconds(now), webhook, out));
        }
    }

    // ---- senders ----

    /// Gives an input to a policy and does what it asks for.
    fn input(&mut self, sender: u32, give: impl FnOnce(&mut dyn Policy, &mut Desk)) {
        let Some(mut policy) = self.hosts[sender as usize].policy.take() else { return };
        let mut desk = std::mem::take(&mut self.desk);
        self.measures.counts.inputs += 1;
        give(&mut *policy, &mut desk);
        self.hosts[sender as usize].policy = Some(policy);
        let now = self.queue.now();
        let life = self.hosts[sender as usize].life;
        for act in desk.acts.drain(..) {
            match act {
                Act::Attempt { webhook, ep, stop_at } => self.attempt(now, sender, webhook, ep, stop_at),
                Act::CallOff { webhook, .. } => {
                    let hook = (webhook as usize).checked_sub(1).and_then(|i| self.hooks.get(i));
                    if let Some(call) = hook.and_then(|h| h.call) {
                        self.queue.put(now, Event::CalledOff { call });
                    }
                }
                Act::Reject { webhook, come_back } => self.end(now, webhook, Final::Rejected, come_back),
                Act::DeadLetter { webhook } => self.end(now, webhook, Final::DeadLettered, 0.0),
                Act::Wake { after, handle } => {
                    self.queue.put(now + nanos(after), Event::Wake { sender, life, handle });
                }
                Act::Watch(on) => self.watch_list(now, sender, on),
                Act::CloseIdle { ep } => {
                    let closed = self.hosts[sender as usize].idle.remove(&ep).map_or(0, |p| p.len());
                    self.fleet.endpoints[ep as usize].connections -= closed;
                }
                // A hundred lines tell what is wrong with a policy.
                Act::Log(text) if self.lines.len() < 100 => {
                    self.lines.push(format!("{:.3} sender {sender}: {text}", seconds(now)));
                }
                Act::Log(_) => {}
            }
        }
        self.desk = desk;
    }

    #[allow(clippy::too_many_arguments)]
    fn outcome(
        &mut self, now: Nanos, sender: u32, webhook: u64, ep: u32, outcome: Outcome, took: f64, ended: bool,
        report: Option<(f64, f64)>,
    ) {
        let name = std::mem::take(&mut self.fleet.names[ep as usize]);
        self.input(sender, |p, out| {
            p.outcome(seconds(now), webhook, &name, outcome, took, ended, report, out)
        });
        self.fleet.names[ep as usize] = name;
    }

    fn end(&mut self, now: Nanos, webhook: u64, end: Final, come_back: f64) {
        let Some(hook) = (webhook as usize).checked_sub(1).and_then(|i| self.hooks.get_mut(i)) else {
            return;
        };
        let (message, sender, first) = (hook.message, hook.sender, !hook.ended);
        hook.ended = true;
        let (taken_at, ran) = (hook.taken_at, hook.ran.is_some());
        // A second answer is written down, for the rules to see; nothing else comes of it.
        self.log(Log::End { webhook, sender, end });
        if !first {
            return;
        }
        self.hosts[sender as usize].open.remove(&webhook);
        self.measures.at_senders.leave(now, taken_at);
        let m = &mut self.messages[message as usize];
        let t = &self.world.event_types[usize::from(m.event_type)];
        let counts = &mut self.measures.counts;
        match end {
            Final::Delivered => {
                counts.delivered += 1;
                let (first_at, value) = (m.first_at, t.value * worth(t, seconds(now - m.first_at)));
                if !m.over {
                    self.measures.won(first_at, now, value);
                }
                self.done(message);
            }
            Final::Rejected => {
                counts.rejected += 1;
                m.again += 1;
                if m.over || m.again > self.world.clients.retries {
                    self.done(message);
                } else {
                    self.again(now, message, come_back);
                }
            }
            Final::DeadLettered => {
                counts.dead_lettered += 1;
                self.done(message);
            }
            Final::Withdrawn => {
                counts.withdrawn += 1;
                self.done(message);
            }
            Final::Gone => {
                if !ran || t.effect == Effect::Idempotent || (t.effect == Effect::Tokened && t.by_all) {
                    self.again(now, message, 0.0);
                } else {
                    self.done(message);
                }
            }
        }
    }

    fn start(&mut self, sender: u32) {
        let now = self.queue.now();
        let h = &mut self.hosts[sender as usize];
        if h.up() {
            return;
        }
        h.life += 1;
        h.watching = false;
        let life = h.life;
        let seed = mix(self.seed ^ mix(u64::from(sender) << 32 | u64::from(life)));
        let start = Start { now: seconds(now), seed, number: sender as usize, world: self.world };
        h.policy = Some((self.maker)(start));
        self.log(Log::Started { sender });
        let known: Vec<(u32, Listed)> = numbered(&self.hosts[sender as usize].known);
        self.tell(now, sender, ListMode::Remembered, &known);
        let open: Vec<u64> = self.hosts[sender as usize].open.iter().copied().collect();
        for webhook in open {
            let hook = &self.hooks[webhook as usize - 1];
            // An earlier one of the same turn may have been its end.
            if !hook.ended {
                self.give(now, webhook, Some((hook.tries, hook.ran)));
            }
        }
        if !self.world.list.ask && now > 0 {
            self.send_list(now, sender, ListMode::Whole, self.whole_list(sender));
        }
    }

    fn die(&mut self, now: Nanos, sender: u32) {
        let h = &mut self.hosts[sender as usize];
        if h.policy.take().is_none() {
            return;
        }
        h.dead_since = now;
        let outgoing = std::mem::take(&mut h.outgoing);
        let calls: Vec<u32> = std::mem::take(&mut h.calls).into_iter().collect();
        for (ep, pool) in std::mem::take(&mut h.idle) {
            self.fleet.endpoints[ep as usize].connections -= pool.len();
        }
        let open: Vec<u64> = h.open.iter().copied().collect();
        self.noticed_at[sender as usize] =
            now + nanos(self.world.senders.notice_s.draw(&mut self.chance.front));
        self.log(Log::Killed { sender });
        for at in calls {
            let c = &mut self.calls[at as usize];
            let (ep, sent_at) = (c.ep, c.sent_at);
            let zone = self.fleet.endpoints[ep as usize].zone;
            for webhook in std::mem::take(&mut c.hooks) {
                let hook = &mut self.hooks[webhook as usize - 1];
                hook.call = None;
                hook.ran = hook.ran.or(Some((zone, sent_at)));
            }
            self.leave(at);
        }
        // Written down before they went out: they may have run.
        for (webhook, ep) in outgoing.iter().flat_map(|b| b.webhooks.iter().map(move |w| (*w, b.ep))) {
            let hook = &mut self.hooks[webhook as usize - 1];
            hook.ran = hook.ran.or(Some((self.fleet.endpoints[ep as usize].zone, now)));
        }
        if !self.world.senders.journal {
            for webhook in open {
                self.end(now, webhook, Final::Gone, 0.0);
            }
        }
    }

    // ---- calls ----

    /// An attempt goes out with this turn; webhooks for one endpoint go as one call where it takes batches.
    fn attempt(&mut self, now: Nanos, sender: u32, webhook: u64, ep: u32, stop_at: f64) {
        let Some(hook) = (webhook as usize).checked_sub(1).and_then(|i| self.hooks.get_mut(i)) else {
            return;
        };
        let kind = self.fleet.destinations[self.fleet.endpoints[ep as usize].dest as usize].kind;
        let batch = self.world.kinds[usize::from(kind)].batch;
        let host = &mut self.hosts[sender as usize];
        let out = host.calls.len() + host.outgoing.len();
        let joins = host.outgoing.iter_mut().find(|b| b.ep == ep && b.webhooks.len() < batch);
        let no_slot = joins.is_none() && out >= self.world.senders.slots;
        // What is over, or was tried too often, or finds no slot, is not sent.
        if hook.ended || hook.tries >= self.world.senders.attempts || no_slot {
            let life = host.life;
            return self.queue.put(now, Event::Moot { sender, life, webhook, ep, no_slot });
        }
        hook.tries += 1;
        let stop = nanos(stop_at.max(0.0));
        match joins {
            Some(b) => {
                // The earliest, so that none of them is answered too late.
                b.stop = b.stop.min(stop);
                b.webhooks.push(webhook);
            }
            None => host.outgoing.push(Batch { ep, stop, webhooks: vec![webhook] }),
        }
        if !std::mem::replace(&mut host.flushing, true) {
            self.queue.put_last(Event::Flush { sender });
        }
        self.measures.counts.attempts += 1;
        self.measures.at(now).attempts += 1;
        self.log(Log::Attempt { webhook, sender, ep });
    }

    fn flush(&mut self, now: Nanos, sender: u32) {
        let host = &mut self.hosts[sender as usize];
        host.flushing = false;
        for b in std::mem::take(&mut host.outgoing) {
            self.launch(now, sender, b.ep, b.stop, b.webhooks);
        }
    }

    fn launch(&mut self, now: Nanos, sender: u32, ep: u32, stop: Nanos, hooks: Vec<u64>) {
        let at = self.free.pop().unwrap_or_else(|| {
            self.calls.push(Call::default());
            self.calls.len() as u32 - 1
        });
        let turn = self.calls[at as usize].turn + 1;
        let place = (at, turn);
        for webhook in &hooks {
            self.hooks[*webhook as usize - 1].call = Some(place);
        }
        self.measures.counts.calls += 1;
        let p = self.world.net.resets + self.faults.sum(sender, ep, What::Resets);
        let reset = if p > 0.0 && self.chance.net.random::<f64>() < p {
            1 + u8::from(self.chance.net.random::<bool>())
        } else {
            0
        };
        let call = Call { turn, sender, ep, hooks, sent_at: now, reset, ..Call::default() };
        self.calls[at as usize] = call;
        self.hosts[sender as usize].calls.insert(at);
        self.queue.put(stop, Event::Stop { call: place });
        self.connect(now, place, sender, ep);
    }

    fn connect(&mut self, now: Nanos, place: Place, sender: u32, ep: u32) {
        let (world, at) = (self.world, place.0 as usize);
        let idle_for = nanos(world.senders.idle_s);
        let expired = self.hosts[sender as usize].expire(now, ep, idle_for);
        self.fleet.endpoints[ep as usize].connections -= expired;
        if let Some(since) = self.hosts[sender as usize].take_idle(ep) {
            self.calls[at].connected = true;
            let forgets =
                self.faults.between(sender, ep, What::Forgets).any(|f| now >= since + nanos(f.size));
            if forgets {
                self.calls[at].gone = true;
            } else {
                let reaches = self.way(now, sender, ep, What::StallOut);
                self.queue.put(reaches, Event::Reached { call: place });
            }
            return;
        }
        let trip = self.way(now, sender, ep, What::StallOut) - now;
        let back = self.way(now, sender, ep, What::StallBack) - now;
        let fails = |q: &mut Queue<Event>, after| {
            q.put(
                now + after,
                Event::Answer { call: place, told: Told::ConnectFailed, wait: 0, report: None },
            );
        };
        let patience = nanos(world.senders.connect_timeout_s);
        if self.faults.met(sender, ep, What::Silent) {
            return fails(&mut self.queue, patience);
        }
        let refuses = self.fleet.endpoints[ep as usize].fallen
            || self.faults.met(sender, ep, What::Down)
            || self.faults.met(sender, ep, What::Leave);
        let k = &world.kinds
            [usize::from(self.fleet.destinations[self.fleet.endpoints[ep as usize].dest as usize].kind)];
        if !refuses && self.fleet.endpoints[ep as usize].connections >= k.connections {
            // Idle ones that have ended by now make room.
            let gone: usize = self.hosts.iter_mut().map(|h| h.expire(now, ep, idle_for)).sum();
            self.fleet.endpoints[ep as usize].connections -= gone;
        }
        if refuses || self.fleet.endpoints[ep as usize].connections >= k.connections {
            return fails(&mut self.queue, (trip + back).min(patience));
        }
        let slow = nanos(self.faults.sum(sender, ep, What::SlowConnect));
        let shakes = ((trip + back) as f64 * world.net.handshakes).round() as Nanos + slow;
        if shakes > patience {
            return fails(&mut self.queue, patience);
        }
        self.measures.counts.connections += 1;
        self.fleet.endpoints[ep as usize].connections += 1;
        self.calls[at].connected = true;
        self.queue.put(now + shakes, Event::Up { call: place });
    }

    /// A new connection is up: the call goes out on it if it still may, as in the sender on sockets. A repeat that
    /// was decided in time could otherwise arrive when nobody knows it for one any more.
    fn up(&mut self, now: Nanos, place: Place) {
        let Some(call) = self.current(place) else { return };
        let (sender, ep, left) = (call.sender, call.ep, call.left);
        if left {
            // Its sender closed the connection before anything was written to it.
            return self.vanish(place.0);
        }
        let name = &self.fleet.names[ep as usize];
        let policy = self.hosts[sender as usize].policy.as_deref();
        let may = |w: &u64| policy.is_some_and(|p| p.may_go(seconds(now), *w, name));
        if call.hooks.iter().all(may) {
            let reaches = self.way(now, sender, ep, What::StallOut);
            return self.queue.put(reaches, Event::Reached { call: place });
        }
        let call = &mut self.calls[place.0 as usize];
        call.gone = true;
        // The connection itself is as good as any.
        call.connected = false;
        self.hosts[sender as usize].idle.entry(ep).or_default().push(now);
        self.finish(now, place, Told::HeldBack, 0, None);
    }

    /// When a message that leaves now arrives: the way of its zones, what is lost sent again, and no sooner than a
    /// stall in its direction is over.
    fn way(&mut self, now: Nanos, sender: u32, ep: u32, stall: What) -> Nanos {
        let net = &self.world.net;
        let same = self.hosts[sender as usize].zone == self.fleet.endpoints[ep as usize].zone;
        let with = &mut self.chance.net;
        let mut takes = if same { net.same.draw(with) } else { net.cross.draw(with) };
        takes += self.faults.sum(sender, ep, What::Delay);
        let loss = (net.loss + self.faults.sum(sender, ep, What::Loss)).min(0.99);
        let mut pause = net.resend_s;
        while loss > 0.0 && with.random::<f64>() < loss {
            takes += pause;
            pause = (pause * 2.0).min(60.0);
        }
        (now.max(self.faults.over_at(sender, ep, stall))) + nanos(takes)
    }

    fn current(&self, place: Place) -> Option<&Call> {
        self.calls.get(place.0 as usize).filter(|c| c.turn == place.1)
    }

    fn answer(&mut self, now: Nanos, call: Place, told: Told, wait: Nanos, report: Option<(f64, f64)>) {
        let (sender, ep) = (self.calls[call.0 as usize].sender, self.calls[call.0 as usize].ep);
        let at = self.way(now, sender, ep, What::StallBack);
        self.queue.put(at, Event::Answer { call, told, wait, report });
    }

    fn reached(&mut self, now: Nanos, place: Place) {
        let Some(call) = self.current(place) else { return };
        let (sender, ep, reset) = (call.sender, call.ep, call.reset);
        if self.faults.met(sender, ep, What::Silent) {
            return self.vanish(place.0);
        }
        let down = self.faults.met(sender, ep, What::Down) || self.faults.met(sender, ep, What::Leave);
        if down || self.fleet.endpoints[ep as usize].fallen || reset == 1 {
            return self.answer(now, place, Told::Reset, 0, None);
        }
        self.log(Log::Call { sender, ep });
        let fall = self.fleet.pushed_over(now, ep, &self.world.rules);
        if !fall.is_empty() {
            self.measures.counts.falls += 1;
            self.log(Log::Fell { ep });
            for e in fall {
                self.fleet.endpoints[e as usize].fallen = true;
                self.outage(now, e);
                self.drop_all(now, e);
                self.queue.put(now + nanos(self.world.rules.fallen_s), Event::Recover { ep: e });
            }
            if self.fleet.endpoints[ep as usize].fallen {
                return self.answer(now, place, Told::Reset, 0, None);
            }
        }
        let kind = self.fleet.destinations[self.fleet.endpoints[ep as usize].dest as usize].kind;
        let k = &self.world.kinds[usize::from(kind)];
        let factor = self.faults.product(sender, ep, What::Limit);
        let refused = if self.faults.met(sender, ep, What::Shut) {
            Some(self.faults.over_at(sender, ep, What::Shut).saturating_sub(now))
        } else {
            self.fleet.take(now, ep, factor).err()
        };
        let report = k.reports.then(|| self.fleet.report(ep, factor));
        if let Some(wait) = refused {
            let tells = k.tells_wait > 0.0 && self.chance.service.random::<f64>() < k.tells_wait;
            return self.answer(now, place, Told::Full, if tells { wait } else { 0 }, report);
        }
        if self.faults.met(sender, ep, What::Hang) {
            self.accept(now, place.0, false);
            self.ran(place.0, ep);
            return self.vanish(place.0);
        }
        let e = &mut self.fleet.endpoints[ep as usize];
        if e.busy >= e.workers && e.waiting.len() >= k.queue {
            return self.answer(now, place, Told::Full, 0, report);
        }
        e.waiting.push_back(place.0);
        let p = k.errors.max(self.faults.sum(sender, ep, What::Errors));
        let fails = p > 0.0 && self.chance.service.random::<f64>() < p;
        self.accept(now, place.0, fails);
        self.calls[place.0 as usize].there = Some(now);
        self.measures.at_endpoints.enter(now);
        self.measures.waited.enter(now);
        self.work(now, ep);
    }

    /// An endpoint takes a call in: what it will run is known from now on.
    fn accept(&mut self, now: Nanos, at: u32, fails: bool) {
        let runs = !fails || self.chance.service.random::<bool>();
        let ep = self.calls[at as usize].ep;
        let hooks = std::mem::take(&mut self.calls[at as usize].hooks);
        let mut known = Vec::new();
        for webhook in hooks.iter().filter(|_| runs) {
            let message = self.hooks[*webhook as usize - 1].message;
            let t = &self.world.event_types[usize::from(self.messages[message as usize].event_type)];
            let tokened = t.effect == Effect::Tokened;
            known.push(tokened && self.fleet.knows(now, ep, message, t.by_all, nanos(t.known_s)));
        }
        let call = &mut self.calls[at as usize];
        (call.hooks, call.known, call.fails, call.runs) = (hooks, known, fails, runs);
    }

    /// An endpoint runs what a call carries.
    fn ran(&mut self, at: u32, ep: u32) {
        let call = &self.calls[at as usize];
        let webhooks: Vec<(u64, bool)> = call.hooks.iter().copied().zip(call.known.iter().copied()).collect();
        for (webhook, known) in webhooks {
            self.measures.counts.known_repeats += u64::from(known);
            self.log(Log::Ran { webhook, ep, known });
        }
    }

    /// Free workers of an endpoint take what waits, in its order.
    fn work(&mut self, now: Nanos, ep: u32) {
        while self.fleet.endpoints[ep as usize].busy < self.fleet.endpoints[ep as usize].workers {
            let Some(at) = self.fleet.endpoints[ep as usize].waiting.pop_front() else { return };
            let dest = self.fleet.endpoints[ep as usize].dest;
            let k = &self.world.kinds[usize::from(self.fleet.destinations[dest as usize].kind)];
            let call = &self.calls[at as usize];
            let (sender, came) = (call.sender, call.there.unwrap_or(now));
            self.measures.waited.leave(now, came);
            if k.cancels && call.left {
                self.measures.at_endpoints.leave(now, came);
                self.vanish(at);
                continue;
            }
            let many = call.hooks.len().max(1);
            if call.runs {
                self.ran(at, ep);
            }
            let part = self.fleet.part(now, ep, &self.world.rules);
            let slow = self.faults.product(sender, ep, What::Slow);
            let takes = work(k, many, &mut self.chance.service) * slow / part;
            let done = self.faults.done_at(now, ep, takes);
            let place = (at, self.calls[at as usize].turn);
            self.fleet.endpoints[ep as usize].busy += 1;
            self.fleet.endpoints[ep as usize].running.push(at);
            self.queue.put(done, Event::Served { call: place });
        }
    }

    fn served(&mut self, now: Nanos, place: Place) {
        // Dropped when its endpoint went down: it is no longer there.
        let Some(call) = self.current(place).filter(|c| c.there.is_some()) else { return };
        let (sender, ep, reset, fails) = (call.sender, call.ep, call.reset, call.fails);
        let came = self.calls[place.0 as usize].there.take().unwrap_or(now);
        let e = &mut self.fleet.endpoints[ep as usize];
        e.busy -= 1;
        e.running.retain(|c| *c != place.0);
        self.measures.at_endpoints.leave(now, came);
        let mute = self.faults.met(sender, ep, What::Silent) || self.faults.met(sender, ep, What::Hang);
        if mute {
            self.vanish(place.0);
        } else {
            let told = if reset == 2 {
                Told::Reset
            } else if fails {
                Told::Failed
            } else {
                Told::Delivered
            };
            let dest = self.fleet.endpoints[ep as usize].dest;
            let k = &self.world.kinds[usize::from(self.fleet.destinations[dest as usize].kind)];
            let factor = self.faults.product(sender, ep, What::Limit);
            let report = (k.reports && told != Told::Reset).then(|| self.fleet.report(ep, factor));
            // One that reports its limit may also tell with a good answer how long it is used up.
            let mut wait = if k.reports && told == Told::Delivered { self.fleet.used_up(now, ep) } else { 0 };
            if wait > 0 && self.chance.service.random::<f64>() >= k.tells_wait {
                wait = 0;
            }
            self.answer(now, place, told, wait, report);
        }
        self.work(now, ep);
    }

    /// An endpoint goes down: connections end, and what it worked on or had waiting is reset.
    fn drop_all(&mut self, now: Nanos, ep: u32) {
        let e = &mut self.fleet.endpoints[ep as usize];
        e.busy = 0;
        let running = std::mem::take(&mut e.running);
        let waiting = std::mem::take(&mut e.waiting);
        for at in &waiting {
            let call = &self.calls[*at as usize];
            self.measures.waited.leave(now, call.there.unwrap_or(now));
            // What did not run must not be taken for a repeat when it comes again.
            for (webhook, _) in call.hooks.iter().zip(&call.known).filter(|(_, known)| !**known) {
                self.fleet.forget(ep, self.hooks[*webhook as usize - 1].message);
            }
        }
        for at in running.into_iter().chain(waiting) {
            let came = self.calls[at as usize].there.take().unwrap_or(now);
            self.measures.at_endpoints.leave(now, came);
            let place = (at, self.calls[at as usize].turn);
            self.answer(now, place, Told::Reset, 0, None);
        }
        let idle: usize = self.hosts.iter_mut().filter_map(|h| h.idle.remove(&ep)).map(|p| p.len()).sum();
        self.fleet.endpoints[ep as usize].connections -= idle;
    }

    fn answered(&mut self, now: Nanos, place: Place, told: Told, wait: Nanos, report: Option<(f64, f64)>) {
        let Some(call) = self.current(place) else { return };
        let (sender, ep, left) = (call.sender, call.ep, call.left);
        self.calls[place.0 as usize].gone = true;
        if left {
            return self.free_if_over(place.0);
        }
        let keeps = matches!(told, Told::Delivered | Told::Failed | Told::Full);
        if keeps && std::mem::take(&mut self.calls[place.0 as usize].connected) {
            self.hosts[sender as usize].idle.entry(ep).or_default().push(now);
        }
        self.finish(now, place, told, wait, report);
    }

    /// A call is over for its sender.
    fn finish(&mut self, now: Nanos, place: Place, told: Told, wait: Nanos, report: Option<(f64, f64)>) {
        let Some(call) = self.current(place).filter(|c| !c.left) else { return };
        let (sender, ep, sent_at) = (call.sender, call.ep, call.sent_at);
        let counts = &mut self.measures.counts;
        match told {
            Told::Failed => counts.failed += 1,
            Told::Full => counts.full += 1,
            Told::TimedOut | Told::Cancelled => counts.timed_out += 1,
            Told::ConnectFailed => counts.connect_failed += 1,
            Told::Reset => counts.reset += 1,
            Told::HeldBack => counts.held_back += 1,
            Told::Delivered | Told::Moot => {}
        }
        let wait_s = seconds(wait);
        let outcome = match told {
            Told::Delivered => Outcome::Delivered,
            Told::Failed => Outcome::Failed,
            Told::Full => Outcome::Full(wait_s),
            Told::TimedOut => Outcome::TimedOut,
            Told::ConnectFailed => Outcome::ConnectFailed,
            Told::Reset => Outcome::Reset,
            Told::Cancelled => Outcome::Cancelled,
            Told::Moot => Outcome::Moot(false),
            Told::HeldBack => Outcome::Moot(true),
        };
        self.hosts[sender as usize].calls.remove(&place.0);
        let hooks = self.calls[place.0 as usize].hooks.clone();
        self.leave(place.0);
        let may_run = matches!(told, Told::Failed | Told::TimedOut | Told::Reset | Told::Cancelled);
        let zone = self.fleet.endpoints[ep as usize].zone;
        for webhook in &hooks {
            let hook = &mut self.hooks[*webhook as usize - 1];
            hook.call = None;
            if may_run && hook.ran.is_none() {
                hook.ran = Some((zone, sent_at));
            }
            let full_wait = if told == Told::Full { wait } else { 0 };
            self.log(Log::Outcome { webhook: *webhook, sender, ep, told, wait: full_wait });
            if told == Told::Delivered && !self.hooks[*webhook as usize - 1].ended {
                self.end(now, *webhook, Final::Delivered, 0.0);
            }
        }
        for webhook in hooks {
            let ended = self.hooks[webhook as usize - 1].ended;
            self.outcome(now, sender, webhook, ep, outcome, seconds(now - sent_at), ended, report);
        }
        if told == Told::Delivered && wait > 0 {
            self.log(Log::Wait { sender, ep, wait });
            let name = std::mem::take(&mut self.fleet.names[ep as usize]);
            self.input(sender, |p, out| p.told_wait(seconds(now), &name, wait_s, out));
            self.fleet.names[ep as usize] = name;
        }
    }

    /// The sender has no more to do with a call.
    fn leave(&mut self, at: u32) {
        let c = &mut self.calls[at as usize];
        c.left = true;
        let ep = c.ep as usize;
        if std::mem::take(&mut c.connected) {
            self.fleet.endpoints[ep].connections -= 1;
        }
        self.free_if_over(at);
    }

    /// Nothing is left of a call on the way or at its endpoint.
    fn vanish(&mut self, at: u32) {
        self.calls[at as usize].gone = true;
        self.calls[at as usize].there = None;
        self.free_if_over(at);
    }

    fn free_if_over(&mut self, at: u32) {
        let c = &mut self.calls[at as usize];
        if c.left && c.gone {
            // Events that still name it see by the turn that it is another's place.
            *c = Call { turn: c.turn + 1, ..Call::default() };
            self.free.push(at);
        }
    }

    // ---- the list ----

    fn listed(&self, sender: u32, ep: u32) -> Listed {
        let l = self.fleet.endpoints[ep as usize].listed;
        Listed { rate: l.rate * self.faults.product(sender, ep, What::ListWrong), ..l }
    }

    fn whole_list(&self, sender: u32) -> Vec<(u32, Listed)> {
        (0..self.fleet.endpoints.len() as u32).map(|e| (e, self.listed(sender, e))).collect()
    }

    /// Sends a part of the list to a sender; parts come in order.
    fn send_list(&mut self, now: Nanos, sender: u32, mode: ListMode, items: Vec<(u32, Listed)>) {
        let mut at = now + nanos(self.world.list.delay.draw(&mut self.chance.list));
        if let Some(late) = self.faults.at_sender(now, sender, What::ListLate) {
            at += nanos(late.size);
        }
        if let Some(refused) = self.faults.at_sender(now, sender, What::ListRefused) {
            at = at.max(refused.to);
        }
        let h = &mut self.hosts[sender as usize];
        at = at.max(h.news_at + 1);
        h.news_at = at;
        self.queue.put(at, Event::News { sender, life: h.life, mode, items });
    }

    fn list_changed(&mut self, now: Nanos, endpoints: &[u32]) {
        for sender in 0..self.hosts.len() as u32 {
            let h = &self.hosts[sender as usize];
            if h.up() && (!self.world.list.ask || h.watching) {
                let items = endpoints.iter().map(|e| (*e, self.listed(sender, *e))).collect();
                self.send_list(now, sender, ListMode::Changes, items);
            }
        }
    }

    fn watch_list(&mut self, now: Nanos, sender: u32, on: bool) {
        let life = self.hosts[sender as usize].life;
        if !on {
            self.hosts[sender as usize].watching = false;
        } else if self.faults.at_sender(now, sender, What::ListRefused).is_some() {
            let after = nanos(self.world.list.delay.draw(&mut self.chance.list));
            let items = Vec::new();
            self.queue.put(now + after, Event::News { sender, life, mode: ListMode::Refused, items });
        } else {
            self.hosts[sender as usize].watching = true;
            self.send_list(now, sender, ListMode::Whole, self.whole_list(sender));
        }
    }

    fn news(&mut self, now: Nanos, sender: u32, mode: ListMode, items: &[(u32, Listed)]) {
        for (ep, l) in items {
            let known = &mut self.hosts[sender as usize].known[*ep as usize];
            let changed = known.ready != l.ready;
            *known = *l;
            if changed {
                self.log(Log::Listed { sender, ep: *ep, ready: l.ready });
            }
        }
        self.tell(now, sender, mode, items);
    }

    fn tell(&mut self, now: Nanos, sender: u32, mode: ListMode, items: &[(u32, Listed)]) {
        let world = self.world;
        let names = std::mem::take(&mut self.fleet.names);
        let zones = std::mem::take(&mut self.fleet.zones);
        let entry = |(ep, l): &(u32, Listed)| {
            let e = &self.fleet.endpoints[*ep as usize];
            Entry {
                ep: &names[*ep as usize],
                zone: &zones[usize::from(e.zone)],
                kind: &world.kinds[usize::from(self.fleet.destinations[e.dest as usize].kind)].name,
                dest: u64::from(e.dest),
                ready: l.ready,
                rate: l.rate,
                born: 0.0,
            }
        };
        let entries: Vec<Entry> = items.iter().map(entry).collect();
        self.input(sender, |p, out| p.list(seconds(now), mode, &entries, out));
        (self.fleet.names, self.fleet.zones) = (names, zones);
    }

    // ---- troubles ----

    fn begin(&mut self, now: Nanos, i: usize) {
        self.faults.begin(i);
        let f = &self.faults.all[i];
        let (what, size, to, whole) = (f.what, f.size, f.to, f.senders.is_empty());
        let (endpoints, senders, dests) = (f.endpoints.clone(), f.senders.clone(), f.destinations.clone());
        match what {
            What::Kill => senders.iter().for_each(|s| self.die(now, *s)),
            What::Restart => {
                for s in senders {
                    self.input(s, |p, out| p.closing(seconds(now), seconds(now) + size, out));
                    let life = self.hosts[s as usize].life;
                    self.queue.put(now + nanos(size), Event::Die { sender: s, life });
                }
            }
            What::Drain | What::Leave => {
                endpoints.iter().for_each(|e| self.fleet.endpoints[*e as usize].listed.ready = false);
                self.list_changed(now, &endpoints);
            }
            What::ListWrong => self.list_changed(now, &endpoints),
            What::ListRefused if self.world.list.ask => {
                for s in senders {
                    let h = &mut self.hosts[s as usize];
                    if std::mem::take(&mut h.watching) {
                        let (life, mode, items) = (h.life, ListMode::Refused, Vec::new());
                        self.queue.put(now, Event::News { sender: s, life, mode, items });
                    }
                }
            }
            What::Clump => {
                let span = seconds(to - now);
                for dest in dests {
                    for _ in 0..size as u64 {
                        let at = now + nanos(span * self.chance.arrivals.random::<f64>());
                        self.queue.put(at, Event::Clumped { dest });
                    }
                }
            }
            _ => {}
        }
        for e in &endpoints {
            if matches!(what, What::Down | What::Leave) && whole {
                self.drop_all(now, *e);
            }
            self.outage(now, *e);
        }
    }

    fn over(&mut self, now: Nanos, i: usize) {
        self.faults.finish(i);
        let f = &self.faults.all[i];
        let (what, endpoints, senders) = (f.what, f.endpoints.clone(), f.senders.clone());
        match what {
            What::Kill | What::Restart => {
                for s in senders {
                    // One that was to end as planned may have had no time to.
                    self.die(now, s);
                    self.start(s);
                }
            }
            What::Drain | What::Leave => {
                endpoints.iter().for_each(|e| self.fleet.endpoints[*e as usize].listed.ready = true);
                self.list_changed(now, &endpoints);
            }
            What::ListWrong => self.list_changed(now, &endpoints),
            _ => {}
        }
        for e in &endpoints {
            self.outage(now, *e);
        }
    }

    /// Looks whether an endpoint went into an outage or came back from one.
    fn outage(&mut self, now: Nanos, ep: u32) {
        let is = self.faults.outage(ep) || self.fleet.endpoints[ep as usize].fallen;
        if std::mem::replace(&mut self.out[ep as usize], is) == is {
            return;
        }
        if is {
            self.log(Log::OutageBegan { ep });
        } else {
            self.fleet.back(now, ep);
            self.log(Log::OutageEnded { ep });
        }
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
