//! The platform's list service: it serves the endpoint list with watches, and accepts notices of webhooks
//! that were given up.

use super::message::{Request, response};
use super::receivers::SharedJudge;
use super::server::{ConnectionId, ServerActions, Service};
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One entry of the endpoint list. The names on the wire are those of the platform.
#[derive(Debug, Clone, Serialize)]
pub struct Endpoint {
    /// The name of the endpoint, by which its entry is replaced.
    pub host: String,
    /// Where senders connect to it.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The zone that it is in.
    #[serde(rename = "site")]
    pub zone: String,
    /// Its model, one of those that the settings name.
    #[serde(rename = "class")]
    pub kind: String,
    /// The number of its destination.
    #[serde(rename = "block")]
    pub destination: u32,
    /// SERVING or DRAINING.
    pub health: &'static str,
    /// The listed rate.
    #[serde(rename = "share")]
    pub calls_per_sec: f64,
    /// When it started, in milliseconds since the Unix epoch; 0 if it has run all along.
    #[serde(rename = "born_ms")]
    pub started_at_ms: f64,
}

impl Endpoint {
    /// A serving endpoint, named after its destination.
    pub fn new(destination: u32, address: SocketAddr, calls_per_sec: f64) -> Self {
        let (host, zone, kind) = (format!("s-{destination:08x}"), "z".to_owned(), "plain".to_owned());
        Endpoint {
            host,
            address,
            zone,
            kind,
            destination,
            health: "SERVING",
            calls_per_sec,
            started_at_ms: 0.0,
        }
    }
}

/// The whole list, or the entries that changed, as it is written to senders.
#[derive(Serialize)]
pub struct ListUpdate<'a> {
    /// The version of the list.
    pub seq: u64,
    /// Whether the update holds the whole list.
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<&'a Endpoint>,
}

impl ListUpdate<'_> {
    /// The update as JSON.
    pub fn encode(&self) -> String {
        // Writing plain structures does not fail.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// The calls of one sender to the list service, or the sum over all senders.
#[derive(Debug, Clone, Default)]
pub struct SenderTraffic {
    /// Calls for the list.
    pub list_calls: u64,
    /// Bytes written in answer to them.
    pub list_bytes: u64,
    /// Calls with notices.
    pub notice_calls: u64,
    /// The version that the sender last asked for changes from; the highest over all senders in a sum.
    pub version: u64,
}

/// A call for the list that is answered when the list changes.
struct Watch {
    sender: u16,
    /// The version that the sender has.
    since_version: u64,
    /// When it is answered if nothing changes before.
    deadline: Instant,
}

/// The list service. Each sender reaches it at an address of its own, by which the service knows the sender.
pub struct ListService {
    judge: SharedJudge,
    /// The sender that calls each address.
    senders: HashMap<SocketAddr, u16>,
    endpoints: Vec<Endpoint>,
    version: u64,
    /// Changes before this version are not known any more: a sender that asks for them gets the whole list.
    history_from_version: u64,
    /// Changed entries, each with the version that changed it.
    changes: Vec<(u64, Endpoint)>,
    /// When each version was made.
    changed_at: HashMap<u64, Instant>,
    watches: HashMap<ConnectionId, Watch>,
    /// The calls of each sender.
    traffic: HashMap<u16, SenderTraffic>,
    /// Whether calls for the list get no answer. Notices are always answered.
    silent: bool,
    /// The longest time until the second copy of an answer with the list, if these come twice.
    list_copy_lag: Option<Duration>,
    /// The longest time until the second copy of an acknowledgement, if these come twice.
    acknowledgement_copy_lag: Option<Duration>,
    /// Whether some connections with a notice are closed without an answer.
    cuts_notices: bool,
    /// Copies that were scheduled so far.
    copy_count: u32,
    /// Seconds from each change until a sender asked for what came after it.
    propagation_delays: Vec<f64>,
}

impl ListService {
    /// A service whose list has version 1.
    pub fn new(judge: SharedJudge, senders: HashMap<SocketAddr, u16>, endpoints: Vec<Endpoint>) -> Self {
        ListService {
            judge,
            senders,
            endpoints,
            version: 1,
            history_from_version: 1,
            changes: Vec::new(),
            changed_at: HashMap::new(),
            watches: HashMap::new(),
            traffic: HashMap::new(),
            silent: false,
            list_copy_lag: None,
            acknowledgement_copy_lag: None,
            cuts_notices: false,
            copy_count: 0,
            propagation_delays: Vec::new(),
        }
    }

    /// Stops answering calls for the list, open watches included; or answers new calls again.
    pub fn set_silent(&mut self, silent: bool) {
        self.silent = silent;
        if silent {
            self.watches.clear();
        }
    }

    /// Sets whether answers with the list come twice, the second time after up to this long.
    pub fn set_list_copy_lag(&mut self, copy_lag: Option<Duration>) {
        self.list_copy_lag = copy_lag;
    }

    /// Sets whether acknowledgements come twice, the second time after up to this long.
    pub fn set_acknowledgement_copy_lag(&mut self, copy_lag: Option<Duration>) {
        self.acknowledgement_copy_lag = copy_lag;
    }

    /// Sets whether, of three connections with a notice, one is closed before the notice is read, and one
    /// after it.
    pub fn set_cuts_notices(&mut self, cuts_notices: bool) {
        self.cuts_notices = cuts_notices;
    }

    /// Schedules a second copy of an answer after a part of the longest lag: none, half of it, or all.
    fn schedule_copy(
        &mut self, connection: ConnectionId, copy_lag: Option<Duration>, bytes: &[u8],
        actions: &mut ServerActions,
    ) {
        let Some(copy_lag) = copy_lag else { return };
        self.copy_count += 1;
        let lag = copy_lag * (self.copy_count % 3) / 2;
        actions.send_copy_at(Instant::now() + lag, connection, bytes.to_vec());
    }

    /// Takes a notice and acknowledges it, unless its connection is to be cut.
    fn handle_notice(
        &mut self, sender: u16, connection: ConnectionId, body: &[u8], actions: &mut ServerActions,
    ) {
        let traffic = self.traffic.entry(sender).or_default();
        traffic.notice_calls += 1;
        let turn = traffic.notice_calls % 3;
        if self.cuts_notices && turn == 0 {
            return actions.close(connection);
        }
        let status = if self.record_notices(body) { 204 } else { 400 };
        if self.cuts_notices && turn == 1 {
            return actions.close(connection);
        }
        let bytes = response(status, "", "");
        self.schedule_copy(connection, self.acknowledgement_copy_lag, &bytes, actions);
        actions.send(connection, bytes);
    }

    /// Adds or replaces entries, all in one version, and answers all watches.
    pub fn update_endpoints(&mut self, endpoints: Vec<Endpoint>, actions: &mut ServerActions) {
        self.version += 1;
        self.changed_at.insert(self.version, Instant::now());
        for endpoint in endpoints {
            match self.endpoints.iter_mut().find(|listed| listed.host == endpoint.host) {
                Some(listed) => *listed = endpoint.clone(),
                None => self.endpoints.push(endpoint.clone()),
            }
            self.changes.push((self.version, endpoint));
        }
        let watches: Vec<(ConnectionId, Watch)> = self.watches.drain().collect();
        for (connection, watch) in watches {
            let bytes = self.changes_since(watch.since_version);
            self.send_list(watch.sender, connection, bytes, actions);
        }
    }

    /// Answers all watches with the whole list, in a new version. Changes up to this version are not known
    /// any more, as after a restart of the platform.
    pub fn send_full_list(&mut self, actions: &mut ServerActions) {
        self.version += 1;
        self.history_from_version = self.version;
        self.changes.clear();
        self.changed_at.insert(self.version, Instant::now());
        let watches: Vec<(ConnectionId, Watch)> = self.watches.drain().collect();
        for (connection, watch) in watches {
            let bytes = self.full_list();
            self.send_list(watch.sender, connection, bytes, actions);
        }
    }

    /// Bytes of an answer with the whole list.
    pub fn full_list_bytes(&self) -> usize {
        self.full_list().len()
    }

    /// The current version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Senders that have applied the current version.
    pub fn up_to_date_senders(&self) -> usize {
        self.traffic.values().filter(|traffic| traffic.version == self.version).count()
    }

    /// Watches that are open now.
    pub fn watch_count(&self) -> usize {
        self.watches.len()
    }

    /// Takes the seconds that each sender needed to apply each change so far.
    pub fn take_propagation_delays(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.propagation_delays)
    }

    /// The calls of all senders together.
    pub fn total_traffic(&self) -> SenderTraffic {
        self.traffic.values().fold(SenderTraffic::default(), |sum, traffic| SenderTraffic {
            list_calls: sum.list_calls + traffic.list_calls,
            list_bytes: sum.list_bytes + traffic.list_bytes,
            notice_calls: sum.notice_calls + traffic.notice_calls,
            version: sum.version.max(traffic.version),
        })
    }

    fn send_list(
        &mut self, sender: u16, connection: ConnectionId, bytes: Vec<u8>, actions: &mut ServerActions,
    ) {
        self.traffic.entry(sender).or_default().list_bytes += bytes.len() as u64;
        let version = self.version;
        self.judge.with(|judge, now| judge.record_list_sent(sender, version, now));
        self.schedule_copy(connection, self.list_copy_lag, &bytes, actions);
        actions.send(connection, bytes);
    }

    fn changes_since(&self, since_version: u64) -> Vec<u8> {
        if since_version < self.history_from_version {
            return self.full_list();
        }
        // An entry that changed several times is sent once, as it is now.
        let mut hosts: Vec<&Endpoint> = Vec::new();
        for (_, endpoint) in self.changes.iter().rev().take_while(|(version, _)| *version > since_version) {
            if !hosts.iter().any(|newer| newer.host == endpoint.host) {
                hosts.push(endpoint);
            }
        }
        response(200, "", &ListUpdate { seq: self.version, whole: false, hosts }.encode())
    }

    fn full_list(&self) -> Vec<u8> {
        response(
            200,
            "",
            &ListUpdate { seq: self.version, whole: true, hosts: self.endpoints.iter().collect() }.encode(),
        )
    }

    /// Records that a sender asks for what came after a version, which means that it has applied all changes
    /// up to it.
    fn record_applied(&mut self, sender: u16, applied_version: u64) {
        let known_version = self.traffic.entry(sender).or_default().version;
        for version in known_version.max(1) + 1..=applied_version.min(self.version) {
            if let Some(changed_at) = self.changed_at.get(&version) {
                self.propagation_delays.push(changed_at.elapsed().as_secs_f64());
            }
        }
        self.traffic.entry(sender).or_default().version = applied_version;
    }

    /// Records the notices in a body, one a line; false if a line is not a notice.
    fn record_notices(&mut self, body: &[u8]) -> bool {
        let text = String::from_utf8_lossy(body);
        let mut all_valid = true;
        for line in text.lines().filter(|line| !line.is_empty()) {
            all_valid &= self.record_notice(line);
        }
        all_valid
    }

    fn record_notice(&mut self, line: &str) -> bool {
        let Ok(notice) = serde_json::from_str::<serde_json::Value>(line) else { return false };
        let state_is_valid =
            notice["state"].as_str().is_some_and(|state| state == "failed" || state == "returned");
        let Some(id) = notice["id"].as_str().filter(|_| state_is_valid).and_then(|id| id.parse().ok()) else {
            return false;
        };
        self.judge.with(|judge, now| judge.record_notice(id, now));
        true
    }
}

/// The number in a field of a request's query.
fn query_number(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.find(|(field_name, _)| *field_name == name)?.1.parse().ok()
}

impl Service for ListService {
    fn on_request(
        &mut self, connection: ConnectionId, address: SocketAddr, request: Request,
        actions: &mut ServerActions,
    ) {
        let sender = self.senders.get(&address).copied().unwrap_or_default();
        if request.method == "POST" && request.target == "/v1/outcomes" {
            return self.handle_notice(sender, connection, &request.body, actions);
        }
        if self.silent {
            return;
        }
        let traffic = self.traffic.entry(sender).or_default();
        traffic.list_calls += 1;
        let Some(since_version) = query_number(&request.target, "since") else {
            let bytes = self.full_list();
            return self.send_list(sender, connection, bytes, actions);
        };
        self.record_applied(sender, since_version);
        if since_version < self.version {
            let bytes = self.changes_since(since_version);
            return self.send_list(sender, connection, bytes, actions);
        }
        let deadline =
            Instant::now() + Duration::from_millis(query_number(&request.target, "timeout_ms").unwrap_or(0));
        self.watches.insert(connection, Watch { sender, since_version, deadline });
        actions.wake_at(deadline);
    }

    fn on_connection_closed(&mut self, connection: ConnectionId) {
        self.watches.remove(&connection);
    }

    /// Answers the watches whose deadline has passed with an update without entries.
    fn on_wake(&mut self, actions: &mut ServerActions) {
        let now = Instant::now();
        for (connection, watch) in
            self.watches.extract_if(|_, watch| watch.deadline <= now).collect::<Vec<_>>()
        {
            let bytes = self.changes_since(watch.since_version);
            self.send_list(watch.sender, connection, bytes, actions);
        }
    }
}
