//! The platform: its list of endpoints with watches, and the notices that it takes.

use super::message::{Request, answer};
use super::receivers::SharedJudge;
use super::server::{Connection, ServerActions, Service};
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One line of the list.
#[derive(Debug, Clone, Serialize)]
pub struct Endpoint {
    pub host: String,
    pub dial: SocketAddr,
    #[serde(rename = "site")]
    pub zone: String,
    #[serde(rename = "class")]
    pub kind: String,
    #[serde(rename = "block")]
    pub dest: u32,
    pub health: &'static str,
    /// The rate that is listed, in calls a second.
    #[serde(rename = "share")]
    pub rate: f64,
    #[serde(rename = "born_ms")]
    pub started_at_ms: f64,
}

impl Endpoint {
    /// The only endpoint of a destination.
    pub fn new(dest: u32, dial: SocketAddr, rate: f64) -> Self {
        let (host, zone, kind) = (format!("s-{dest:08x}"), "z".to_owned(), "plain".to_owned());
        Endpoint { host, dial, zone, kind, dest, health: "SERVING", rate, started_at_ms: 0.0 }
    }
}

/// A list, or what changed in it, as it is written.
#[derive(Serialize)]
pub struct ListUpdate<'a> {
    pub seq: u64,
    pub whole: bool,
    pub hosts: Vec<&'a Endpoint>,
}

impl ListUpdate<'_> {
    /// The bytes of the body.
    pub fn encode(&self) -> String {
        // Plain structures do not fail to be written.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// What one sender's calls cost, and when it had each change.
#[derive(Debug, Clone, Default)]
pub struct SenderTraffic {
    pub list_calls: u64,
    pub list_bytes: u64,
    pub notice_calls: u64,
    /// The version that it last asked changes from.
    pub version: u64,
}

struct Watch {
    sender: u16,
    since: u64,
    until: Instant,
}

/// The list service. Each sender reaches it at an address of its own, by which it is known.
pub struct ListService {
    record: SharedJudge,
    senders: HashMap<SocketAddr, u16>,
    list: Vec<Endpoint>,
    seq: u64,
    /// What changed before this version is known no more: who asks for it gets the whole list.
    history_from: u64,
    /// Changed lines with the version that brought each.
    changes: Vec<(u64, Endpoint)>,
    changed_at: HashMap<u64, Instant>,
    watches: HashMap<Connection, Watch>,
    traffic: HashMap<u16, SenderTraffic>,
    /// It takes no part in anything but notices: calls for the list get no answer.
    silent: bool,
    /// Seconds from a change until a sender asked for what came after it.
    taken_in: Vec<f64>,
}

impl ListService {
    /// The first version is 1.
    pub fn new(record: SharedJudge, senders: HashMap<SocketAddr, u16>, list: Vec<Endpoint>) -> Self {
        ListService {
            record,
            senders,
            list,
            seq: 1,
            history_from: 1,
            changes: Vec::new(),
            changed_at: HashMap::new(),
            watches: HashMap::new(),
            traffic: HashMap::new(),
            silent: false,
            taken_in: Vec::new(),
        }
    }

    /// Falls silent towards all who ask for the list, those who watch among them, or answers new calls again.
    pub fn set_silent(&mut self, silent: bool) {
        self.silent = silent;
        if silent {
            self.watches.clear();
        }
    }

    /// Lists lines anew, all in one version, and tells all who watch.
    pub fn update_endpoints(&mut self, lines: Vec<Endpoint>, actions: &mut ServerActions) {
        self.seq += 1;
        self.changed_at.insert(self.seq, Instant::now());
        for line in lines {
            match self.list.iter_mut().find(|old| old.host == line.host) {
                Some(old) => *old = line.clone(),
                None => self.list.push(line.clone()),
            }
            self.changes.push((self.seq, line));
        }
        let watches: Vec<(Connection, Watch)> = self.watches.drain().collect();
        for (connection, watch) in watches {
            let bytes = self.changes_since(watch.since);
            self.write(watch.sender, connection, bytes, actions);
        }
    }

    /// Answers all who watch with the whole list, in a version of its own. Changes up to it are known no more, as after a
    /// restart of the platform.
    pub fn send_full_list(&mut self, actions: &mut ServerActions) {
        self.seq += 1;
        self.history_from = self.seq;
        self.changes.clear();
        self.changed_at.insert(self.seq, Instant::now());
        let watches: Vec<(Connection, Watch)> = self.watches.drain().collect();
        for (connection, watch) in watches {
            let bytes = self.whole();
            self.write(watch.sender, connection, bytes, actions);
        }
    }

    /// Bytes of an answer with the whole list.
    pub fn full_list_bytes(&self) -> usize {
        self.whole().len()
    }

    /// The version that stands.
    pub fn version(&self) -> u64 {
        self.seq
    }

    /// Senders that have taken the present version in.
    pub fn up_to_date_senders(&self) -> usize {
        self.traffic.values().filter(|t| t.version == self.seq).count()
    }

    /// Watches that stand now.
    pub fn watch_count(&self) -> usize {
        self.watches.len()
    }

    /// Seconds until each change was taken in, by each sender, so far.
    pub fn take_propagation_delays(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.taken_in)
    }

    /// What all senders together asked and were told.
    pub fn total_traffic(&self) -> SenderTraffic {
        self.traffic.values().fold(SenderTraffic::default(), |sum, one| SenderTraffic {
            list_calls: sum.list_calls + one.list_calls,
            list_bytes: sum.list_bytes + one.list_bytes,
            notice_calls: sum.notice_calls + one.notice_calls,
            version: sum.version.max(one.version),
        })
    }

    fn write(&mut self, sender: u16, to: Connection, bytes: Vec<u8>, actions: &mut ServerActions) {
        self.traffic.entry(sender).or_default().list_bytes += bytes.len() as u64;
        let version = self.seq;
        self.record.with(|judge, now| judge.record_list_sent(sender, version, now));
        actions.send(to, bytes);
    }

    fn changes_since(&self, since: u64) -> Vec<u8> {
        if since < self.history_from {
            return self.whole();
        }
        // A line that changed twice is told once, as it is now.
        let mut hosts: Vec<&Endpoint> = Vec::new();
        for (_, line) in self.changes.iter().rev().take_while(|(seq, _)| *seq > since) {
            if !hosts.iter().any(|h| h.host == line.host) {
                hosts.push(line);
            }
        }
        answer(200, "", &ListUpdate { seq: self.seq, whole: false, hosts }.encode())
    }

    fn whole(&self) -> Vec<u8> {
        answer(
            200,
            "",
            &ListUpdate { seq: self.seq, whole: true, hosts: self.list.iter().collect() }.encode(),
        )
    }

    /// A sender asks for what came after a version: it has taken in all up to it.
    fn has(&mut self, sender: u16, version: u64) {
        let known = self.traffic.entry(sender).or_default().version;
        for seq in known.max(1) + 1..=version.min(self.seq) {
            if let Some(changed) = self.changed_at.get(&seq) {
                self.taken_in.push(changed.elapsed().as_secs_f64());
            }
        }
        self.traffic.entry(sender).or_default().version = version;
    }

    fn notice(&mut self, body: &[u8]) -> bool {
        let text = String::from_utf8_lossy(body);
        let mut good = true;
        for line in text.lines().filter(|l| !l.is_empty()) {
            good &= self.notice_line(line);
        }
        good
    }

    fn notice_line(&mut self, line: &str) -> bool {
        let Ok(line) = serde_json::from_str::<serde_json::Value>(line) else { return false };
        let state = line["state"].as_str().is_some_and(|s| s == "failed" || s == "returned");
        let Some(id) = line["id"].as_str().filter(|_| state).and_then(|id| id.parse().ok()) else {
            return false;
        };
        self.record.with(|judge, now| judge.record_notice(id, now));
        true
    }
}

/// The value of a field in a request's query.
fn query(target: &str, name: &str) -> Option<u64> {
    let (_, fields) = target.split_once('?')?;
    let mut fields = fields.split('&').filter_map(|f| f.split_once('='));
    fields.find(|(n, _)| *n == name)?.1.parse().ok()
}

impl Service for ListService {
    fn request(&mut self, from: Connection, at: SocketAddr, request: Request, actions: &mut ServerActions) {
        let sender = self.senders.get(&at).copied().unwrap_or_default();
        if request.method == "POST" && request.target == "/v1/outcomes" {
            self.traffic.entry(sender).or_default().notice_calls += 1;
            let status = if self.notice(&request.body) { 204 } else { 400 };
            return actions.send(from, answer(status, "", ""));
        }
        if self.silent {
            return;
        }
        let traffic = self.traffic.entry(sender).or_default();
        traffic.list_calls += 1;
        let Some(since) = query(&request.target, "since") else {
            let bytes = self.whole();
            return self.write(sender, from, bytes, actions);
        };
        self.has(sender, since);
        if since < self.seq {
            let bytes = self.changes_since(since);
            return self.write(sender, from, bytes, actions);
        }
        let until = Instant::now() + Duration::from_millis(query(&request.target, "timeout_ms").unwrap_or(0));
        self.watches.insert(from, Watch { sender, since, until });
        actions.wake_at(until);
    }

    fn closed(&mut self, connection: Connection) {
        self.watches.remove(&connection);
    }

    /// Watches whose time is over are answered with nothing new.
    fn woken(&mut self, actions: &mut ServerActions) {
        let now = Instant::now();
        for (connection, watch) in self.watches.extract_if(|_, w| w.until <= now).collect::<Vec<_>>() {
            let bytes = self.changes_since(watch.since);
            self.write(watch.sender, connection, bytes, actions);
        }
    }
}
