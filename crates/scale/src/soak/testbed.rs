//! The parties of a run: the list service, the receivers with a proxy before each, and the senders with the
//! fault shim.

use super::plan::{Plan, RunSettings};
use super::plan_generator::ENDPOINTS_PER_DESTINATION;
use super::proxy::Proxy;
use crate::error::Error;
use crate::fleet::{Addresses, Party};
use crate::guard::Guard;
use crate::process::SenderProcess;
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

const FIRST_PROXY_PORT: u16 = 18_081;
const FIRST_RECEIVER_PORT: u16 = 19_081;
/// The port of the first sender, and of its address at the list service.
const FIRST_SENDER_PORT: u16 = 20_000;
/// The most attempts for one webhook.
const MAX_ATTEMPTS: u32 = 8;
const MAX_SOCKETS: usize = 256;
const DISK_LIMIT_MB: f64 = 6.0;
const ZONES: [&str; ENDPOINTS_PER_DESTINATION] = ["north", "south"];

/// How long a receiver takes to answer a call when it is well.
pub const SERVICE_TIME: Duration = Duration::from_millis(4);

/// A sender under test, with the control file of its fault shim.
pub struct SenderUnderTest {
    /// Its number among the senders of the run.
    pub number: u16,
    /// Its process.
    pub process: SenderProcess,
    /// Controls the faults inside its process.
    pub shim_control: ControlFile,
    settings: SenderSettings,
}

/// All parties of a run except the senders.
pub struct Testbed {
    /// The judge that records what the parties see.
    pub judge: SharedJudge,
    /// The platform's list service.
    pub list_service: Server<ListService>,
    /// The receivers of all endpoints.
    pub receivers: Server<Receivers>,
    /// The proxy before each endpoint's receiver, by the endpoint's number.
    pub proxies: Vec<Proxy>,
    /// The list entry of each endpoint, by its number.
    pub endpoints: Vec<Endpoint>,
    /// Where each endpoint's receiver listens, behind its proxy, by the endpoint's number.
    pub receiver_addresses: Vec<SocketAddr>,
    /// The limits and grace periods of the delivery rules.
    pub rule_parameters: RuleParameters,
    /// Calls that a destination can take per second.
    pub calls_per_sec: f64,
}

/// The limits and grace periods of the delivery rules for a run.
pub fn rule_parameters(settings: &RunSettings) -> RuleParameters {
    RuleParameters {
        repeat_window_secs: settings.repeat_window_secs,
        recovery: RecoveryParameters::default(),
        ..RuleParameters::default()
    }
}

impl Testbed {
    /// Starts the stand-ins and prepares the senders, which are not started yet.
    pub fn prepare(
        program: &Path, plan: &Plan, guard: &Arc<Guard>,
    ) -> Result<(Testbed, Vec<SenderUnderTest>), Error> {
        let (settings, addresses) = (&plan.settings, Addresses::new());
        let rule_parameters = rule_parameters(settings);
        let judge = SharedJudge::new(Judge::new(rule_parameters.clone()));
        let endpoint_count = settings.destination_count as usize * ENDPOINTS_PER_DESTINATION;
        let port = |first_port: u16, number: usize| first_port + number as u16;
        let receiver_addresses: Vec<SocketAddr> = (0..endpoint_count)
            .map(|number| addresses.address(Party::Receivers, port(FIRST_RECEIVER_PORT, number)))
            .collect();
        let mut service = Receivers::new(judge.clone(), Behaviour::Serve(SERVICE_TIME));
        for (number, receiver_address) in receiver_addresses.iter().enumerate() {
            service.set_endpoint(*receiver_address, endpoint_location(number));
        }
        let receivers = Server::start(&receiver_addresses, service)?;
        let (mut proxies, mut endpoints) = (Vec::new(), Vec::new());
        for (number, receiver_address) in receiver_addresses.iter().enumerate() {
            let proxy_address = addresses.address(Party::Receivers, port(FIRST_PROXY_PORT, number));
            proxies.push(Proxy::start(proxy_address, *receiver_address)?);
            endpoints.push(endpoint(number, proxy_address, settings.calls_per_sec));
        }
        let senders = 0..settings.sender_count as u16;
        let list_address = |sender: u16| addresses.address(Party::ListService, FIRST_SENDER_PORT + sender);
        let senders_by_address: HashMap<SocketAddr, u16> =
            senders.clone().map(|sender| (list_address(sender), sender)).collect();
        let list_addresses: Vec<SocketAddr> = senders.clone().map(list_address).collect();
        let list_service = Server::start(
            &list_addresses,
            ListService::new(judge.clone(), senders_by_address, endpoints.clone()),
        )?;
        let mut subjects = Vec::new();
        for number in senders {
            let listen_address = addresses.address(Party::Sender, FIRST_SENDER_PORT + number);
            let settings = sender_settings(settings, number, listen_address, list_address(number));
            let name = format!("soak-{}-{number}", plan.seed);
            let config = settings.encode(&rule_parameters, &endpoints);
            let mut process = SenderProcess::prepare(program, &name, listen_address, &config, guard)?;
            process.enable_debug_log();
            let shim_control = process.load_shim()?;
            subjects.push(SenderUnderTest { number, process, shim_control, settings });
        }
        let calls_per_sec = settings.calls_per_sec;
        Ok((
            Testbed {
                judge,
                list_service,
                receivers,
                proxies,
                endpoints,
                receiver_addresses,
                rule_parameters,
                calls_per_sec,
            },
            subjects,
        ))
    }

    /// Writes a new configuration for a sender, with another limit of pending webhooks.
    pub fn reconfigure(&self, subject: &mut SenderUnderTest, max_pending: usize) -> Result<(), Error> {
        subject.settings.max_pending = max_pending;
        subject.process.write_config(&subject.settings.encode(&self.rule_parameters, &self.endpoints))
    }

    /// The numbers of a destination's endpoints.
    pub fn endpoints_of(&self, destination: usize) -> Vec<usize> {
        (destination * ENDPOINTS_PER_DESTINATION..(destination + 1) * ENDPOINTS_PER_DESTINATION).collect()
    }
}

fn endpoint_location(number: usize) -> EndpointLocation {
    EndpointLocation { endpoint: number as u32, zone: (number % ENDPOINTS_PER_DESTINATION) as u8 }
}

fn endpoint(number: usize, address: SocketAddr, calls_per_sec: f64) -> Endpoint {
    let destination = (number / ENDPOINTS_PER_DESTINATION) as u32;
    let zone = ZONES[number % ENDPOINTS_PER_DESTINATION].to_owned();
    Endpoint { host: format!("s-{number:08x}"), zone, ..Endpoint::new(destination, address, calls_per_sec) }
}

fn sender_settings(
    settings: &RunSettings, number: u16, listen_address: SocketAddr, list_address: SocketAddr,
) -> SenderSettings {
    SenderSettings {
        max_batch: settings.max_batch,
        number,
        sender_count: settings.sender_count,
        listen_address,
        list_address,
        max_pending: settings.max_pending,
        slots: settings.slots,
        max_sockets: MAX_SOCKETS,
        disk_limit_mb: DISK_LIMIT_MB,
        ttl_secs: settings.ttl_secs,
        max_attempts: MAX_ATTEMPTS,
        rates_listed: true,
        pulls_list: settings.pulls_list,
    }
}
