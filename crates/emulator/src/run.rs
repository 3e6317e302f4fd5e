//! Plays a simulated day event by event.

mod calls;
mod clients;
mod endpoint_list;
mod faults;
mod senders;

use crate::events::{AttemptResult, Digest, FinalAnswer, LogEntry, LogEvent};
use crate::faults::Faults;
use crate::fleet::{Fleet, Listed, draw_work_s};
use crate::host::{Action, ActionRecorder, Batch, Host};
use crate::measure::{Counts, LittlesLaw, Measurements, Window};
use crate::policy::{Policy, PolicyFactory, SenderStart};
use crate::queue::{Nanos, Queue, mix, nanos, seconds};
use crate::random::{Generator, Weighted, generator};
use crate::rules::{RuleChecker, Violation};
use crate::spec::{Curve, FaultKind, RepeatEffect, World, WorldError};
use hdrhistogram::Histogram;
use rand::RngExt;
use scalebarrow::{ListUpdate, ListedEndpoint, Outcome};

/// Id and generation of a call. Ids are reused; the generation tells events of an earlier call with the same
/// id.
type CallKey = (u32, u32);

/// What happens next, in the queue by its time.
enum Event {
    /// A candidate arrival, thinned to the current rate.
    Arrival,
    /// A message of a clump arrives.
    ClumpArrival { destination_id: u32 },
    /// A message reaches a sender.
    HandIn { message_id: u64, sender_id: u32 },
    /// A client withdraws a message.
    Withdraw { message_id: u64 },
    /// A sender sends the attempts collected in this instant.
    Flush { sender_id: u32 },
    /// A policy is woken as it asked.
    Wake { sender_id: u32, incarnation: u32, handle: u64 },
    /// An attempt was not sent.
    NotSent { sender_id: u32, incarnation: u32, webhook_id: u64, endpoint_id: u32, no_slot: bool },
    /// A new connection is open.
    Connected { call: CallKey },
    /// A call reaches its endpoint.
    Reached { call: CallKey },
    /// A worker of an endpoint is done with a call.
    WorkDone { call: CallKey },
    /// An answer, or a failed connection, reaches the sender.
    Answer { call: CallKey, result: AttemptResult, wait: Nanos, limit_report: Option<(f64, f64)> },
    /// The deadline of a call is over.
    TimedOut { call: CallKey },
    /// A policy cancelled a call.
    Cancelled { call: CallKey },
    /// A list update reaches a sender.
    ListUpdateReceived { sender_id: u32, incarnation: u32, update: ListUpdate, items: Vec<(u32, Listed)> },
    /// An injected fault begins.
    FaultBegins { fault_index: usize },
    /// An injected fault ends.
    FaultEnds { fault_index: usize },
    /// A sender's planned shutdown is over.
    Kill { sender_id: u32, incarnation: u32 },
    /// An overloaded endpoint comes back.
    EndpointRecovers { endpoint_id: u32 },
    /// A window of the report ends.
    Sample { window: usize },
}

/// What a client wants delivered. It keeps its id, and becomes a new webhook each time a sender accepts it.
struct Message {
    event_type_id: u16,
    destination_id: u32,
    key: u64,
    customer_id: Option<u16>,
    first_handed_in_at: Nanos,
    ttl_at: Nanos,
    /// How often a sender rejected it.
    rejections: u32,
    /// The webhook it is now or was last; 0 before the first.
    webhook_id: u64,
    /// The client does no more with it.
    settled: bool,
}

/// A webhook that a sender accepted.
struct AcceptedWebhook {
    message_id: u64,
    sender_id: u32,
    accepted_at: Nanos,
    attempts_made: u32,
    /// Zone and start time of the first attempt that may have run.
    may_have_run: Option<(u16, Nanos)>,
    call: Option<CallKey>,
    has_final_answer: bool,
}

/// A call in flight, or its reusable place.
#[derive(Default)]
struct Call {
    generation: u32,
    sender_id: u32,
    endpoint_id: u32,
    webhook_ids: Vec<u64>,
    sent_at: Nanos,
    /// When it arrived at its endpoint, while it is there.
    arrived_at: Option<Nanos>,
    /// Whether its connection counts at the endpoint and is not idle.
    holds_connection: bool,
    /// Never reset (0), reset before it runs (1), or after (2).
    reset_stage: u8,
    /// Whether its endpoint will answer with an error.
    fails: bool,
    /// Whether its endpoint runs the webhooks.
    runs: bool,
    /// For each webhook, whether its endpoint recognises it as a duplicate.
    duplicates: Vec<bool>,
    /// The sender no longer waits for it.
    done_at_sender: bool,
    /// Nothing of it is left on the network or at the endpoint.
    done_at_endpoint: bool,
}

/// The result of a day. All figures are of simulated clients, senders and destinations.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed that the day was played with.
    pub seed: u64,
    /// Hash of the event log; equal days have equal hashes on any machine.
    pub hash: u64,
    /// Delivered value as a share of the offered value, over the day.
    pub value: f64,
    /// The same for the worst window.
    pub worst_window: f64,
    /// Counts of the day.
    pub counts: Counts,
    /// Figures over time.
    pub windows: Vec<Window>,
    /// From the first hand-in to the delivery, in microseconds.
    pub latency: Histogram<u64>,
    /// Calls at endpoints, waiting or worked on.
    pub at_endpoints: LittlesLaw,
    /// Calls waiting at endpoints.
    pub queueing: LittlesLaw,
    /// Webhooks at senders.
    pub at_senders: LittlesLaw,
    /// Broken rules, by time.
    pub violations: Vec<Violation>,
    /// The first messages that policies logged.
    pub policy_messages: Vec<String>,
    /// When the last event happened, in seconds.
    pub ended_at_s: f64,
}

impl Report {
    /// Whether Little's law holds at the endpoints, at their queues, and at the senders.
    pub fn little_holds(&self) -> bool {
        self.at_endpoints.holds() && self.queueing.holds() && self.at_senders.holds()
    }
}

/// The random generator of each part of the model.
struct Generators {
    arrivals: Generator,
    clients: Generator,
    load_balancer: Generator,
    net: Generator,
    service: Generator,
    list: Generator,
}

/// A day in progress.
struct Run<'a> {
    world: &'a World,
    seed: u64,
    policy_factory: &'a PolicyFactory<'a>,
    observer: &'a mut dyn FnMut(&LogEntry),
    queue: Queue<Event>,
    fleet: Fleet,
    faults: Faults,
    hosts: Vec<Host>,
    /// When the load balancer notices that a sender is dead.
    death_noticed_at: Vec<Nanos>,
    messages: Vec<Message>,
    webhooks: Vec<AcceptedWebhook>,
    calls: Vec<Call>,
    /// Ids in `calls` that can be reused.
    free_calls: Vec<u32>,
    /// Whether each endpoint is in an outage.
    in_outage: Vec<bool>,
    generators: Generators,
    event_type_weights: Weighted,
    customer_weights: Weighted,
    /// The highest rate of arrivals per second that the day can have.
    peak_rate: f64,
    day_length: Nanos,
    /// Messages that are not settled.
    open_messages: u64,
    measurements: Measurements,
    rule_checker: RuleChecker,
    digest: Digest,
    actions: ActionRecorder,
    policy_messages: Vec<String>,
}

/// Plays a day to its end. `observer` gets each entry of the event log as it is written.
pub fn run(
    world: &World, seed: u64, policy_factory: &PolicyFactory, observer: &mut dyn FnMut(&LogEntry),
) -> Result<Report, WorldError> {
    world.check()?;
    let fleet = Fleet::new(world, seed);
    let faults = Faults::new(world, &fleet, seed);
    let known_list: Vec<Listed> = fleet.endpoints.iter().map(|endpoint| endpoint.listed).collect();
    let hosts: Vec<Host> = (0..world.senders.count)
        .map(|sender_id| Host::new((sender_id % world.network.zones) as u16, known_list.clone()))
        .collect();
    let day_length = nanos(world.day.length_s);
    let curve_peak = match world.clients.curve {
        Curve::Steady => 1.0,
        Curve::Wave => 1.0 + world.clients.wave_amplitude,
        Curve::Points => world.clients.points.iter().map(|point| point.1).fold(0.0, f64::max),
    };
    let surges =
        world.faults.iter().filter(|fault| fault.kind == FaultKind::Surge).map(|fault| fault.size.max(1.0));
    let arrivals_per_webhook =
        1.0 - world.clients.clump_share * (1.0 - 1.0 / world.clients.clump_size.max(1) as f64);
    let rule_checker = RuleChecker::new(world, &fleet);
    let mut run = Run {
        world,
        seed,
        policy_factory,
        observer,
        queue: Queue::new(world.day.shuffle_seed, world.day.tick_us * 1_000),
        in_outage: vec![false; fleet.endpoints.len()],
        actions: ActionRecorder { endpoint_count: fleet.endpoints.len() as u32, ..ActionRecorder::default() },
        death_noticed_at: vec![0; hosts.len()],
        fleet,
        faults,
        hosts,
        messages: Vec::new(),
        webhooks: Vec::new(),
        calls: Vec::new(),
        free_calls: Vec::new(),
        generators: Generators {
            arrivals: generator(seed, "arrivals"),
            clients: generator(seed, "clients"),
            load_balancer: generator(seed, "front"),
            net: generator(seed, "net"),
            service: generator(seed, "service"),
            list: generator(seed, "list"),
        },
        event_type_weights: Weighted::new(world.event_types.iter().map(|event_type| event_type.share)),
        customer_weights: Weighted::new(world.customers.iter().map(|customer| customer.share)),
        // A clump counts as one arrival, so that the rate of webhooks is the configured one.
        peak_rate: world.clients.rate * curve_peak * surges.product::<f64>() * arrivals_per_webhook,
        day_length,
        open_messages: 0,
        measurements: Measurements::new(day_length, nanos(world.day.window_s)),
        rule_checker,
        digest: Digest::default(),
        policy_messages: Vec::new(),
    };
    run.play();
    Ok(run.report())
}

impl Run<'_> {
    /// Handles events until the day is over and all messages are settled.
    fn play(&mut self) {
        for (index, fault) in self.faults.all.iter().enumerate() {
            self.queue.put(fault.begins_at, Event::FaultBegins { fault_index: index });
            self.queue.put(fault.ends_at, Event::FaultEnds { fault_index: index });
        }
        for sender_id in 0..self.hosts.len() as u32 {
            self.start_sender(sender_id);
        }
        for window in 0..self.measurements.windows.len() {
            self.queue.put(nanos((window + 1) as f64 * self.world.day.window_s), Event::Sample { window });
        }
        self.queue.put(0, Event::Arrival);
        // A policy that keeps asking for actions must not keep the day from ending.
        let longest_ttl_s =
            self.world.event_types.iter().map(|event_type| event_type.ttl_s).fold(0.0, f64::max);
        let hard_stop_at =
            self.day_length.max(self.faults.all.iter().map(|fault| fault.ends_at).max().unwrap_or(0))
                + nanos(longest_ttl_s + 30.0);
        let (mut current_instant, mut events_at_instant) = (0, 0_u64);
        while let Some((now, event)) = self.queue.next() {
            self.measurements.counts.events += 1;
            events_at_instant = if now == current_instant { events_at_instant + 1 } else { 0 };
            current_instant = now;
            // A policy that keeps asking for actions at one instant would keep time from passing.
            if events_at_instant > 10_000_000 {
                self.policy_messages.push(format!(
                    "{:.3}: more than 10,000,000 events at one instant, the day is cut off",
                    seconds(now)
                ));
                break;
            }
            self.dispatch(now, event);
            let idle = self.open_messages == 0 && self.free_calls.len() == self.calls.len();
            if now > hard_stop_at || (now >= self.day_length && idle) {
                break;
            }
        }
    }

    /// The result of the day.
    fn report(self) -> Report {
        let measurements = self.measurements;
        let worst_window = measurements
            .windows
            .iter()
            .filter(|window| window.offered_value > 0.0)
            .map(|window| window.delivered_value / window.offered_value);
        let ended_at = self.queue.now();
        Report {
            seed: self.seed,
            hash: self.digest.value(),
            value: if measurements.offered_value > 0.0 {
                measurements.delivered_value / measurements.offered_value
            } else {
                1.0
            },
            worst_window: worst_window.fold(1.0, f64::min),
            violations: self.rule_checker.into_violations(ended_at),
            counts: measurements.counts,
            windows: measurements.windows,
            latency: measurements.latency,
            at_endpoints: measurements.at_endpoints,
            queueing: measurements.queueing,
            at_senders: measurements.at_senders,
            policy_messages: self.policy_messages,
            ended_at_s: seconds(ended_at),
        }
    }

    /// Adds an entry to the event log.
    fn log(&mut self, event: LogEvent) {
        let entry = LogEntry { at: self.queue.now(), event };
        self.digest.add(&entry);
        self.rule_checker.check_entry(&entry);
        (self.observer)(&entry);
    }

    /// Handles an event.
    fn dispatch(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(now),
            Event::ClumpArrival { destination_id } => self.create_message(now, destination_id),
            Event::HandIn { message_id, sender_id } => self.receive_hand_in(now, message_id, sender_id),
            Event::Withdraw { message_id } => self.withdraw_message(now, message_id),
            Event::Flush { sender_id } => self.flush_batches(now, sender_id),
            Event::Wake { sender_id, incarnation, handle } if self.is_running(sender_id, incarnation) => {
                self.give_input(sender_id, |policy, actions| policy.wake(seconds(now), handle, actions));
            }
            Event::NotSent { sender_id, incarnation, webhook_id, endpoint_id, no_slot }
                if self.is_running(sender_id, incarnation) =>
            {
                self.log(LogEvent::Outcome {
                    webhook_id,
                    sender_id,
                    endpoint_id,
                    result: AttemptResult::Moot,
                    wait: 0,
                });
                let has_final_answer = self.webhooks[webhook_id as usize - 1].has_final_answer;
                self.report_outcome(
                    now,
                    sender_id,
                    webhook_id,
                    endpoint_id,
                    Outcome::Moot(no_slot),
                    0.0,
                    has_final_answer,
                    None,
                );
            }
            Event::Connected { call } => self.on_connected(now, call),
            Event::Reached { call } => self.on_endpoint_reached(now, call),
            Event::WorkDone { call } => self.on_work_done(now, call),
            Event::Answer { call, result, wait, limit_report } => {
                self.on_answer(now, call, result, wait, limit_report)
            }
            Event::TimedOut { call } => self.finish_call(now, call, AttemptResult::TimedOut, 0, None),
            Event::Cancelled { call } => self.finish_call(now, call, AttemptResult::Cancelled, 0, None),
            Event::ListUpdateReceived { sender_id, incarnation, update, items }
                if self.is_running(sender_id, incarnation) =>
            {
                self.receive_list_update(now, sender_id, update, &items);
            }
            Event::FaultBegins { fault_index } => self.begin_fault(now, fault_index),
            Event::FaultEnds { fault_index } => self.end_fault(now, fault_index),
            Event::Kill { sender_id, incarnation } if self.is_running(sender_id, incarnation) => {
                self.kill_sender(now, sender_id)
            }
            Event::EndpointRecovers { endpoint_id } => {
                self.fleet.endpoints[endpoint_id as usize].overloaded = false;
                self.update_outage(now, endpoint_id);
            }
            Event::Sample { window } => {
                let queued = self.hosts.iter().map(|host| host.open_webhooks.len() as u64).sum();
                self.measurements.windows[window].queued = queued;
            }
            Event::Wake { .. }
            | Event::NotSent { .. }
            | Event::ListUpdateReceived { .. }
            | Event::Kill { .. } => {}
        }
    }

    /// Whether this incarnation of a sender is still running.
    fn is_running(&self, sender_id: u32, incarnation: u32) -> bool {
        let host = &self.hosts[sender_id as usize];
        host.is_running() && host.incarnation == incarnation
    }
}

/// Share of an event type's value that a delivery `latency_s` after the first hand-in has.
fn remaining_value_share(event_type: &crate::spec::EventType, latency_s: f64) -> f64 {
    let late_s = latency_s - event_type.target_latency_s;
    if late_s <= 0.0 {
        1.0
    } else if event_type.value_halves {
        0.5_f64.powf(late_s / event_type.target_latency_s).max(event_type.late_value_share)
    } else {
        (1.0 - (1.0 - event_type.late_value_share) * late_s
            / (event_type.ttl_s - event_type.target_latency_s).max(1e-9))
        .max(event_type.late_value_share)
    }
}

/// List entries with the ids of their endpoints.
fn with_ids(known_list: &[Listed]) -> Vec<(u32, Listed)> {
    known_list.iter().enumerate().map(|(endpoint_id, listed)| (endpoint_id as u32, *listed)).collect()
}
