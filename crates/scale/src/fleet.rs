//! A fleet on loopback: a list service, receivers, and real and hollow senders, each at an address of its
//! own.

use crate::error::Error;
use crate::guard::Guard;
use crate::hollow::{HollowSender, HollowSenders, MAX_PER_PROCESS};
use crate::process::SenderProcess;
use crate::settings::SenderSettings;
use crate::standins::judge::{Breach, Judge, RuleParameters, RunCounts};
use crate::standins::list_service::{Endpoint, ListService};
use crate::standins::receivers::{Behaviour, Receivers, SharedJudge};
use crate::standins::server::{Server, ServerActions};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// The port of the first sender, and of its address at the list service.
const FIRST_SENDER_PORT: u16 = 20_000;
/// The port of all receivers.
const RECEIVER_PORT: u16 = 18_081;
/// Addresses of receivers, which the destinations share. With a single address, a sender that opens a
/// connection for each call would soon run out of local ports; it does not where destinations have machines
/// of their own.
const RECEIVER_COUNT: u8 = 200;
/// The most attempts for one webhook, more than any run needs.
const MAX_ATTEMPTS: u32 = 1000;
/// Sockets that a sender may have open.
const MAX_SOCKETS: usize = 256;
/// The same for real senders beside hollow ones. Fewer, as hundreds of senders then connect to stand-ins that
/// have the descriptors of a single process.
const MAX_SOCKETS_BESIDE_HOLLOW: usize = 128;
/// The same for hollow senders.
const MAX_SOCKETS_HOLLOW: usize = 64;
/// How often a condition is checked that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The parties of a run, with the last byte of their IP addresses.
#[derive(Clone, Copy)]
pub(crate) enum Party {
    Sender = 1,
    ListService = 2,
    /// The first receiver; the others have the addresses after it.
    Receivers = 3,
}

/// Addresses on loopback that no other run uses at the same time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Addresses {
    /// The second byte, from the id of this process.
    process_byte: u8,
    /// The third byte, from the id of this process and the number of the fleet in it.
    fleet_byte: u8,
}

impl Addresses {
    /// Addresses for a new fleet.
    pub(crate) fn new() -> Self {
        static FLEET_COUNT: AtomicU16 = AtomicU16::new(0);
        let (process_id, fleet) = (std::process::id(), FLEET_COUNT.fetch_add(1, Ordering::Relaxed));
        let fleet = (process_id / 50 + u32::from(fleet)) % 250;
        Addresses { process_byte: 200 + (process_id % 50) as u8, fleet_byte: fleet as u8 }
    }

    /// The address of a party at a port.
    pub(crate) fn address(self, party: Party, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.process_byte, self.fleet_byte, party as u8], port))
    }

    /// The addresses of all receivers.
    fn receivers(self) -> Vec<SocketAddr> {
        let first_byte = Party::Receivers as u8;
        let address = |index| {
            SocketAddr::from(([127, self.process_byte, self.fleet_byte, first_byte + index], RECEIVER_PORT))
        };
        (0..RECEIVER_COUNT).map(address).collect()
    }
}

/// The size and the settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The built sender program.
    pub program: PathBuf,
    /// Real senders, each a process of the program.
    pub sender_count: usize,
    /// Hollow senders, which share processes.
    pub hollow_count: usize,
    /// Destinations in the endpoint list, with one endpoint each.
    pub destination_count: u32,
    /// The rate that the list names for each destination.
    pub calls_per_sec: f64,
    /// Whether senders heed the rates in the list.
    pub rates_listed: bool,
    /// Whether senders request the endpoint list; otherwise an agent beside each is sent it.
    pub pulls_list: bool,
    /// How receivers answer.
    pub behaviour: Behaviour,
    /// Webhooks that one sender may hold at once.
    pub max_pending: usize,
    /// Calls that one sender may have in flight at once.
    pub slots: usize,
    /// Sockets that one sender may have open. Not used if there are hollow senders, for which, and for the
    /// real ones beside them, fixed limits apply.
    pub max_sockets: usize,
    /// The most that the state folder of one sender may contain.
    pub disk_limit_mb: f64,
    /// The TTL of webhooks whose client names none.
    pub ttl: Duration,
}

impl FleetPlan {
    /// One real sender; all destinations refuse every call.
    pub fn single_sender(program: PathBuf, destination_count: u32, max_pending: usize) -> FleetPlan {
        FleetPlan {
            program,
            sender_count: 1,
            hollow_count: 0,
            destination_count,
            calls_per_sec: 2000.0,
            rates_listed: true,
            pulls_list: false,
            behaviour: Behaviour::Refuse,
            max_pending,
            slots: 64,
            max_sockets: MAX_SOCKETS,
            disk_limit_mb: 50.0 + max_pending as f64 * 2e-3,
            ttl: Duration::from_secs(3600),
        }
    }

    fn sender_settings(
        &self, number: u16, listen_address: SocketAddr, list_address: SocketAddr, max_sockets: usize,
    ) -> SenderSettings {
        SenderSettings {
            max_batch: 1,
            number,
            sender_count: self.sender_count + self.hollow_count,
            listen_address,
            list_address,
            max_pending: self.max_pending,
            slots: self.slots,
            max_sockets,
            disk_limit_mb: self.disk_limit_mb,
            ttl_secs: self.ttl.as_secs_f64(),
            max_attempts: MAX_ATTEMPTS,
            rates_listed: self.rates_listed,
            pulls_list: self.pulls_list,
        }
    }
}

/// A fleet with its stand-ins. Its processes end when it is dropped.
pub struct Fleet {
    /// The judge that records what the stand-ins see.
    pub judge: SharedJudge,
    /// The platform's list service.
    pub list_service: Server<ListService>,
    /// The receivers of all destinations.
    pub receivers: Server<Receivers>,
    /// The real senders, by their numbers.
    pub senders: Vec<SenderProcess>,
    /// Limits what the run uses.
    pub guard: Arc<Guard>,
    /// The hollow senders, one element for each process.
    pub hollow_senders: Vec<HollowSenders>,
    /// Where each sender listens for clients, by its number; real senders have the lowest numbers.
    pub listen_addresses: Vec<SocketAddr>,
    /// The endpoint list that the senders start with.
    pub endpoints: Vec<Endpoint>,
    /// The limits and grace periods of the delivery rules.
    pub rule_parameters: RuleParameters,
}

impl Fleet {
    /// Starts the stand-ins and prepares the senders, which are not started yet.
    pub fn prepare(plan: &FleetPlan, guard: &Arc<Guard>) -> Result<Fleet, Error> {
        let (addresses, rule_parameters) = (Addresses::new(), RuleParameters::default());
        let judge = SharedJudge::new(Judge::new(rule_parameters.clone()));
        let receiver_addresses = addresses.receivers();
        let receivers = Server::start(&receiver_addresses, Receivers::new(judge.clone(), plan.behaviour))?;
        let endpoint = |destination: u32| {
            Endpoint::new(
                destination,
                receiver_addresses[destination as usize % receiver_addresses.len()],
                plan.calls_per_sec,
            )
        };
        let endpoints: Vec<Endpoint> = (0..plan.destination_count).map(endpoint).collect();
        let count = plan.sender_count + plan.hollow_count;
        let sender_count =
            u16::try_from(count).map_err(|_| Error::Input(format!("{count} senders are too many")))?;
        let list_address = |number: u16| addresses.address(Party::ListService, FIRST_SENDER_PORT + number);
        let senders_by_address: HashMap<SocketAddr, u16> =
            (0..sender_count).map(|number| (list_address(number), number)).collect();
        let list_addresses: Vec<SocketAddr> = (0..sender_count).map(list_address).collect();
        let list_service = Server::start(
            &list_addresses,
            ListService::new(judge.clone(), senders_by_address, endpoints.clone()),
        )?;
        let listen_addresses: Vec<SocketAddr> = (0..sender_count)
            .map(|number| addresses.address(Party::Sender, FIRST_SENDER_PORT + number))
            .collect();
        let max_sockets = if plan.hollow_count == 0 { plan.max_sockets } else { MAX_SOCKETS_BESIDE_HOLLOW };
        let config = |number: u16, max_sockets: usize| {
            plan.sender_settings(
                number,
                listen_addresses[usize::from(number)],
                list_address(number),
                max_sockets,
            )
            .encode(&rule_parameters, &endpoints)
        };
        let (mut senders, mut all_hollow) = (Vec::new(), Vec::new());
        for number in 0..sender_count {
            let listen_address = listen_addresses[usize::from(number)];
            if usize::from(number) < plan.sender_count {
                let name = format!("{}-{number}", addresses.fleet_byte);
                senders.push(SenderProcess::prepare(
                    &plan.program,
                    &name,
                    listen_address,
                    &config(number, max_sockets),
                    guard,
                )?);
            } else {
                all_hollow.push(HollowSender {
                    number,
                    listen_address,
                    config: config(number, MAX_SOCKETS_HOLLOW),
                });
            }
        }
        let mut hollow_senders = Vec::new();
        for (index, group) in all_hollow.chunks(MAX_PER_PROCESS).enumerate() {
            let name = format!("{}-hollow-{index}", addresses.fleet_byte);
            hollow_senders.push(HollowSenders::prepare(&name, group, guard)?);
        }
        Ok(Fleet {
            judge,
            list_service,
            receivers,
            senders,
            guard: guard.clone(),
            hollow_senders,
            listen_addresses,
            endpoints,
            rule_parameters,
        })
    }

    /// Prepares a fleet and starts all its senders at the same time. Returns how long each real sender took
    /// to be ready.
    pub fn start(plan: &FleetPlan, guard: &Arc<Guard>) -> Result<(Fleet, Vec<Duration>), Error> {
        let mut fleet = Fleet::prepare(plan, guard)?;
        let mut launch_times = Vec::new();
        for sender in &mut fleet.senders {
            launch_times.push(Instant::now());
            sender.launch()?;
        }
        fleet.hollow_senders.iter_mut().try_for_each(HollowSenders::launch)?;
        let mut ready_after = Vec::new();
        for (sender, launched_at) in fleet.senders.iter_mut().zip(launch_times) {
            ready_after.push(sender.wait_until_ready(launched_at)?);
        }
        fleet.hollow_senders.iter_mut().try_for_each(HollowSenders::wait_until_ready)?;
        Ok((fleet, ready_after))
    }

    /// Runs a task on the receivers, in their thread, and returns its result.
    pub fn with_receivers<T: Send + 'static>(
        &self, task: impl FnOnce(&mut Receivers, &mut ServerActions) -> T + Send + 'static,
    ) -> Result<T, Error> {
        self.receivers.with_service(task).ok_or_else(|| Error::Failed("the receivers have stopped".into()))
    }

    /// Runs a task on the list service, in its thread, and returns its result.
    pub fn with_list_service<T: Send + 'static>(
        &self, task: impl FnOnce(&mut ListService, &mut ServerActions) -> T + Send + 'static,
    ) -> Result<T, Error> {
        self.list_service
            .with_service(task)
            .ok_or_else(|| Error::Failed("the list service has stopped".into()))
    }

    /// Waits until a condition holds; false if it does not within the timeout.
    pub fn wait_until(
        &self, timeout: Duration, condition: impl Fn(&Fleet) -> Result<bool, Error>,
    ) -> Result<bool, Error> {
        let began_at = Instant::now();
        while began_at.elapsed() < timeout {
            self.guard.check()?;
            if condition(self)? {
                return Ok(true);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(false)
    }

    /// Webhooks that were accepted and have no final answer.
    pub fn pending_count(&self) -> u64 {
        self.judge.with(|judge, _| judge.pending_count())
    }

    /// Ends the judgement. Returns the judge's counts and the breaches that it kept.
    pub fn verdict(&self) -> (RunCounts, Vec<Breach>) {
        self.judge.with(|judge, now| judge.finish(now))
    }
}

/// Returns an error that describes the first breaches if a rule was broken.
pub fn check_verdict((counts, breaches): &(RunCounts, Vec<Breach>)) -> Result<(), Error> {
    if counts.breaches == 0 {
        return Ok(());
    }
    let descriptions: Vec<String> = breaches
        .iter()
        .take(10)
        .map(|breach| format!("{:.3} s {:?}: {}", breach.at_secs, breach.rule, breach.text))
        .collect();
    Err(Error::Broken(format!("rules broken {} times:\n{}", counts.breaches, descriptions.join("\n"))))
}
