//! A fleet on loopback: list service, receivers and senders of the built program, each at an address of its own.

use crate::error::Error;
use crate::guard::Guard;
use crate::hollow::{HollowSender, HollowSenders, MOST_TOGETHER};
use crate::process::Sender;
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

/// Senders and their addresses at the list service have ports from here on.
const FIRST_PORT: u16 = 20_000;
const RECEIVERS_PORT: u16 = 18_081;
/// Addresses of receivers, which destinations share. A sender that opens a connection for each call to one address alone
/// would soon be short of ports there, as it never is where destinations have machines of their own.
const RECEIVERS: u8 = 200;
/// Attempts for one webhook: no run comes near.
const ATTEMPTS: u32 = 1000;
/// Connections of a sender; fewer where hundreds of senders meet stand-ins with one process's descriptors.
const SOCKETS: usize = 256;
const SOCKETS_AMONG_MANY: usize = 128;
const SOCKETS_HOLLOW: usize = 64;
/// Between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(10);

/// The parties of a run, by the last part of their address.
#[derive(Clone, Copy)]
pub(crate) enum Party {
    Sender = 1,
    Discovery = 2,
    /// The first of all receivers.
    Receivers = 3,
}

/// Addresses on loopback that no other run uses at the same time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Addresses {
    process: u8,
    fleet: u8,
}

impl Addresses {
    pub(crate) fn new() -> Self {
        static FLEETS: AtomicU16 = AtomicU16::new(0);
        let (process, fleet) = (std::process::id(), FLEETS.fetch_add(1, Ordering::Relaxed));
        let fleet = (process / 50 + u32::from(fleet)) % 250;
        Addresses { process: 200 + (process % 50) as u8, fleet: fleet as u8 }
    }

    pub(crate) fn of(self, party: Party, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.process, self.fleet, party as u8], port))
    }

    fn receivers(self) -> Vec<SocketAddr> {
        let first = Party::Receivers as u8;
        let at = |own| SocketAddr::from(([127, self.process, self.fleet, first + own], RECEIVERS_PORT));
        (0..RECEIVERS).map(at).collect()
    }
}

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The built program.
    pub program: PathBuf,
    /// Processes of it.
    pub senders: usize,
    /// Senders beside them that share processes of the run's own.
    pub hollow: usize,
    pub destinations: u32,
    /// Calls a second that the list tells for each destination.
    pub rate: f64,
    /// Whether the list's rates count.
    pub rates_listed: bool,
    pub asks: bool,
    pub behaviour: Behaviour,
    /// Webhooks that one sender may hold.
    pub holds: usize,
    pub slots: usize,
    /// Connections of a sender.
    pub sockets: usize,
    /// What the folder of one sender may hold.
    pub disk_mb: f64,
    pub ttl: Duration,
}

impl Plan {
    /// One sender, whose destinations take whatever comes.
    pub fn one(program: PathBuf, destinations: u32, holds: usize) -> Plan {
        Plan {
            program,
            senders: 1,
            hollow: 0,
            destinations,
            rate: 2000.0,
            rates_listed: true,
            asks: false,
            behaviour: Behaviour::Refuse,
            holds,
            slots: 64,
            sockets: SOCKETS,
            disk_mb: 50.0 + holds as f64 * 2e-3,
            ttl: Duration::from_secs(3600),
        }
    }

    fn settings(&self, me: u16, listen: SocketAddr, discovery: SocketAddr, sockets: usize) -> SenderSettings {
        SenderSettings {
            me,
            instances: self.senders + self.hollow,
            listen,
            discovery,
            holds: self.holds,
            slots: self.slots,
            sockets,
            disk_mb: self.disk_mb,
            ttl: self.ttl.as_secs_f64(),
            attempts: ATTEMPTS,
            rates_listed: self.rates_listed,
            asks: self.asks,
        }
    }
}

/// A running fleet. Its processes end when it is dropped.
pub struct Fleet {
    pub record: SharedJudge,
    pub list: Server<ListService>,
    pub receivers: Server<Receivers>,
    pub senders: Vec<Sender>,
    pub guard: Arc<Guard>,
    pub hollow: Vec<HollowSenders>,
    /// Where each sender listens: the processes of the program first.
    pub listen: Vec<SocketAddr>,
    pub endpoints: Vec<Endpoint>,
    pub terms: RuleParameters,
}

impl Fleet {
    /// Starts the stand-ins and prepares the senders, which are not started yet.
    pub fn prepare(plan: &Plan, guard: &Arc<Guard>) -> Result<Fleet, Error> {
        let (addresses, terms) = (Addresses::new(), RuleParameters::default());
        let record = SharedJudge::new(Judge::new(terms.clone()));
        let dials = addresses.receivers();
        let receivers = Server::start(&dials, Receivers::new(record.clone(), plan.behaviour))?;
        let endpoint = |dest: u32| Endpoint::new(dest, dials[dest as usize % dials.len()], plan.rate);
        let endpoints: Vec<Endpoint> = (0..plan.destinations).map(endpoint).collect();
        let count = plan.senders + plan.hollow;
        let places =
            u16::try_from(count).map_err(|_| Error::Input(format!("{count} senders are too many")))?;
        let discovery = |me: u16| addresses.of(Party::Discovery, FIRST_PORT + me);
        let known: HashMap<SocketAddr, u16> = (0..places).map(|me| (discovery(me), me)).collect();
        let asked: Vec<SocketAddr> = (0..places).map(discovery).collect();
        let list = Server::start(&asked, ListService::new(record.clone(), known, endpoints.clone()))?;
        let listen: Vec<SocketAddr> =
            (0..places).map(|me| addresses.of(Party::Sender, FIRST_PORT + me)).collect();
        let sockets = if plan.hollow == 0 { plan.sockets } else { SOCKETS_AMONG_MANY };
        let config = |me: u16, sockets: usize| {
            plan.settings(me, listen[usize::from(me)], discovery(me), sockets).encode(&terms, &endpoints)
        };
        let (mut senders, mut alike) = (Vec::new(), Vec::new());
        for me in 0..places {
            let at = listen[usize::from(me)];
            if usize::from(me) < plan.senders {
                let name = format!("{}-{me}", addresses.fleet);
                senders.push(Sender::prepare(&plan.program, &name, at, &config(me, sockets), guard)?);
            } else {
                alike.push(HollowSender { me, listen: at, config: config(me, SOCKETS_HOLLOW) });
            }
        }
        let mut hollow = Vec::new();
        for (number, group) in alike.chunks(MOST_TOGETHER).enumerate() {
            let name = format!("{}-hollow-{number}", addresses.fleet);
            hollow.push(HollowSenders::prepare(&name, group, guard)?);
        }
        Ok(Fleet { record, list, receivers, senders, guard: guard.clone(), hollow, listen, endpoints, terms })
    }

    /// The same, with all senders started and ready, side by side. Returns how long each took.
    pub fn start(plan: &Plan, guard: &Arc<Guard>) -> Result<(Fleet, Vec<Duration>), Error> {
        let mut fleet = Fleet::prepare(plan, guard)?;
        let mut began = Vec::new();
        for sender in &mut fleet.senders {
            began.push(Instant::now());
            sender.launch()?;
        }
        fleet.hollow.iter_mut().try_for_each(HollowSenders::launch)?;
        let mut took = Vec::new();
        for (sender, began) in fleet.senders.iter_mut().zip(began) {
            took.push(sender.wait_ready(began)?);
        }
        fleet.hollow.iter_mut().try_for_each(HollowSenders::wait_ready)?;
        Ok((fleet, took))
    }

    /// Asks or tells the receivers something.
    pub fn receivers<T: Send + 'static>(
        &self, task: impl FnOnce(&mut Receivers, &mut ServerActions) -> T + Send + 'static,
    ) -> Result<T, Error> {
        self.receivers.with_service(task).ok_or_else(|| Error::Failed("the receivers have ended".into()))
    }

    /// Asks or tells the list service something.
    pub fn list<T: Send + 'static>(
        &self, task: impl FnOnce(&mut ListService, &mut ServerActions) -> T + Send + 'static,
    ) -> Result<T, Error> {
        self.list.with_service(task).ok_or_else(|| Error::Failed("the list service has ended".into()))
    }

    /// Waits until something holds; true where it did within the time.
    pub fn wait(
        &self, within: Duration, holds: impl Fn(&Fleet) -> Result<bool, Error>,
    ) -> Result<bool, Error> {
        let began = Instant::now();
        while began.elapsed() < within {
            self.guard.check()?;
            if holds(self)? {
                return Ok(true);
            }
            std::thread::sleep(LOOK);
        }
        Ok(false)
    }

    /// Webhooks that were taken on and are not over.
    pub fn open(&self) -> u64 {
        self.record.with(|judge, _| judge.pending_count())
    }

    /// What the judge says at the end.
    pub fn verdict(&self) -> (RunCounts, Vec<Breach>) {
        self.record.with(|judge, now| judge.finish(now))
    }
}

/// The verdict as an error, where a rule is broken.
pub fn judged((counts, breaches): &(RunCounts, Vec<Breach>)) -> Result<(), Error> {
    if counts.breaches == 0 {
        return Ok(());
    }
    let told: Vec<String> =
        breaches.iter().take(10).map(|b| format!("{:.3} s {:?}: {}", b.at_secs, b.rule, b.text)).collect();
    Err(Error::Broken(format!("rules broken {} times:\n{}", counts.breaches, told.join("\n"))))
}
