//! The parties of a run: list service, receivers, proxies before them, and the senders with the fault shim.

use super::drawing::ENDPOINTS_EACH;
use super::plan::{Plan, Settings};
use super::proxy::Proxy;
use crate::error::Error;
use crate::fleet::{Addresses, Party};
use crate::guard::Guard;
use crate::process::Sender;
use crate::settings::SenderSettings;
use crate::standins::judge::{EndpointLocation, Judge, RecoveryParameters, RuleParameters};
use crate::standins::list_service::{Endpoint, ListService};
use crate::standins::receivers::{Behaviour, Receivers, SharedJudge};
use crate::standins::server::Server;
use scalebarrow_fault_control::ControlFile;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

const PROXY_PORT: u16 = 18_081;
const RECEIVER_PORT: u16 = 19_081;
const FIRST_SENDER_PORT: u16 = 20_000;
/// Attempts for one webhook at most.
const ATTEMPTS: u32 = 8;
const SOCKETS: usize = 256;
const DISK_MB: f64 = 6.0;
const ZONES: [&str; ENDPOINTS_EACH] = ["north", "south"];

/// Seconds that a receiver takes for a call when it is well.
pub const SERVICE: Duration = Duration::from_millis(4);

/// A sender's process and what steers its shim.
pub struct Subject {
    pub me: u16,
    pub sender: Sender,
    pub control: ControlFile,
    settings: SenderSettings,
}

/// All parties of a run.
pub struct Testbed {
    pub record: SharedJudge,
    pub list: Server<ListService>,
    pub receivers: Server<Receivers>,
    pub proxies: Vec<Proxy>,
    pub endpoints: Vec<Endpoint>,
    /// Where each endpoint's receiver listens, behind its proxy.
    pub at: Vec<SocketAddr>,
    pub terms: RuleParameters,
    pub rate: f64,
}

/// The rules' figures for a plan.
pub fn terms(settings: &Settings) -> RuleParameters {
    RuleParameters {
        repeat_window_secs: settings.window,
        recovery: RecoveryParameters::default(),
        ..RuleParameters::default()
    }
}

impl Testbed {
    /// Starts the stand-ins and prepares the senders, which are not started yet.
    pub fn prepare(
        program: &Path, plan: &Plan, guard: &Arc<Guard>,
    ) -> Result<(Testbed, Vec<Subject>), Error> {
        let (settings, addresses) = (&plan.settings, Addresses::new());
        let terms = terms(settings);
        let record = SharedJudge::new(Judge::new(terms.clone()));
        let count = settings.destinations as usize * ENDPOINTS_EACH;
        let port = |first: u16, number: usize| first + number as u16;
        let at: Vec<SocketAddr> =
            (0..count).map(|n| addresses.of(Party::Receivers, port(RECEIVER_PORT, n))).collect();
        let mut service = Receivers::new(record.clone(), Behaviour::Serve(SERVICE));
        for (number, own) in at.iter().enumerate() {
            service.set_endpoint(*own, place(number));
        }
        let receivers = Server::start(&at, service)?;
        let (mut proxies, mut endpoints) = (Vec::new(), Vec::new());
        for (number, own) in at.iter().enumerate() {
            let listen = addresses.of(Party::Receivers, port(PROXY_PORT, number));
            proxies.push(Proxy::start(listen, *own)?);
            endpoints.push(endpoint(number, listen, settings.takes));
        }
        let places = 0..settings.senders as u16;
        let discovery = |me: u16| addresses.of(Party::Discovery, FIRST_SENDER_PORT + me);
        let known: HashMap<SocketAddr, u16> = places.clone().map(|me| (discovery(me), me)).collect();
        let asked: Vec<SocketAddr> = places.clone().map(discovery).collect();
        let list = Server::start(&asked, ListService::new(record.clone(), known, endpoints.clone()))?;
        let mut subjects = Vec::new();
        for me in places {
            let listen = addresses.of(Party::Sender, FIRST_SENDER_PORT + me);
            let own = sender_settings(settings, me, listen, discovery(me));
            let name = format!("soak-{}-{me}", plan.seed);
            let config = own.encode(&terms, &endpoints);
            let mut sender = Sender::prepare(program, &name, listen, &config, guard)?;
            sender.log_everything();
            let control = sender.load_shim()?;
            subjects.push(Subject { me, sender, control, settings: own });
        }
        let rate = settings.takes;
        Ok((Testbed { record, list, receivers, proxies, endpoints, at, terms, rate }, subjects))
    }

    /// Writes a sender's configuration anew, with other limits.
    pub fn reconfigure(&self, subject: &mut Subject, holds: usize) -> Result<(), Error> {
        subject.settings.holds = holds;
        subject.sender.write_config(&subject.settings.encode(&self.terms, &self.endpoints))
    }

    /// Endpoints of a destination.
    pub fn endpoints_of(&self, dest: usize) -> Vec<usize> {
        (dest * ENDPOINTS_EACH..(dest + 1) * ENDPOINTS_EACH).collect()
    }
}

/// The place of an endpoint by its number.
fn place(number: usize) -> EndpointLocation {
    EndpointLocation { endpoint: number as u32, zone: (number % ENDPOINTS_EACH) as u8 }
}

fn endpoint(number: usize, dial: SocketAddr, rate: f64) -> Endpoint {
    let dest = (number / ENDPOINTS_EACH) as u32;
    let zone = ZONES[number % ENDPOINTS_EACH].to_owned();
    Endpoint { host: format!("s-{number:08x}"), zone, ..Endpoint::new(dest, dial, rate) }
}

fn sender_settings(
    settings: &Settings, me: u16, listen: SocketAddr, discovery: SocketAddr,
) -> SenderSettings {
    SenderSettings {
        me,
        instances: settings.senders,
        listen,
        discovery,
        holds: settings.holds,
        slots: settings.slots,
        sockets: SOCKETS,
        disk_mb: DISK_MB,
        ttl: settings.ttl,
        attempts: ATTEMPTS,
        rates_listed: true,
        asks: settings.asks,
    }
}
