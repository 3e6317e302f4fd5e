//! The platform: the list of receivers with watches, and notices of final answers.

use crate::http::{Message, Reader, listen, response};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub host: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub destination: u64,
    pub health: &'static str,
    pub rate: f64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"{}","block":{},"health":"{}","share":{:.1},"born_ms":0}}"#,
            self.host, self.address, self.zone, self.kind, self.destination, self.health, self.rate
        )
    }
}

pub fn list_json(version: u64, whole: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
}

#[derive(Default)]
pub struct List {
    pub version: u64,
    pub entries: Vec<Entry>,
    changes: Vec<(u64, Entry)>,
    /// How long discovery takes to answer a call for the list, beside the wait of a watch.
    pub answer_delay: Duration,
}

impl List {
    fn body(&self, since: Option<u64>) -> String {
        let Some(since) = since else { return list_json(self.version, true, &self.entries) };
        let mut changed: Vec<Entry> = Vec::new();
        for (version, entry) in self.changes.iter().rev() {
            if *version > since && changed.iter().all(|other| other.host != entry.host) {
                changed.push(entry.clone());
            }
        }
        list_json(self.version, false, &changed)
    }
}

/// A platform at one or more addresses.
#[derive(Clone)]
pub struct Platform {
    pub list: Arc<(Mutex<List>, Condvar)>,
    /// Each notice: when it came, the id and the state.
    pub notices: Arc<Mutex<Vec<(Instant, String, String)>>>,
    record: Record,
}

impl Platform {
    pub fn new(record: &Record, entries: Vec<Entry>) -> Self {
        let list = List { version: 1, entries, ..List::default() };
        let list = Arc::new((Mutex::new(list), Condvar::new()));
        Platform { list, notices: Arc::default(), record: record.clone() }
    }

    /// Listens at a further address.
    pub fn open(&self, octet: u8) -> SocketAddr {
        let listener = listen(octet);
        let address = listener.local_addr().expect("an address");
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = platform.clone();
                thread::spawn(move || platform.serve(stream));
            }
        });
        address
    }

    /// Adds or replaces entries. Entries that are gone leave the whole list.
    pub fn change(&self, entries: &[Entry]) -> u64 {
        let mut list = self.list.0.lock().unwrap();
        list.version += 1;
        let version = list.version;
        for entry in entries {
            list.entries.retain(|other| other.host != entry.host);
            if entry.health != "DELETED" {
                list.entries.push(entry.clone());
            }
            list.changes.push((version, entry.clone()));
        }
        self.list.1.notify_all();
        version
    }

    pub fn set_answer_delay(&self, delay: Duration) {
        self.list.0.lock().unwrap().answer_delay = delay;
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.next() {
            if request.head.starts_with("POST /v1/outcomes ") {
                self.take_notices(&request);
                if writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            let number = |name: &str| {
                let (_, query) = request.target().split_once('?')?;
                query
                    .split('&')
                    .filter_map(|field| field.split_once('='))
                    .find(|(key, _)| *key == name)?
                    .1
                    .parse()
                    .ok()
            };
            let (since, wait): (Option<u64>, u64) = (number("since"), number("timeout_ms").unwrap_or(0));
            let asked_at = Instant::now();
            let mut list = self.list.0.lock().unwrap();
            if let Some(since) = since {
                let wait = Duration::from_millis(wait.min(60_000));
                list = self.list.1.wait_timeout_while(list, wait, |list| list.version <= since).unwrap().0;
            }
            let (body, version, delay) = (list.body(since), list.version, list.answer_delay);
            drop(list);
            thread::sleep(delay);
            let written = writer.write_all(&response(200, "", &body)).is_ok();
            self.record.line(&format!(
                "list call {} after {:.3} s: version {version}, written {written}",
                request.target(),
                asked_at.elapsed().as_secs_f64()
            ));
            if !written {
                return;
            }
        }
    }

    fn take_notices(&self, request: &Message) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        for line in text.lines() {
            let field = |name: &str| {
                let (_, rest) = line.split_once(&format!("\"{name}\":\""))?;
                Some(rest.split('"').next()?.to_owned())
            };
            if let (Some(id), Some(state)) = (field("id"), field("state")) {
                self.record.line(&format!("notice {id} {state}"));
                self.notices.lock().unwrap().push((Instant::now(), id, state));
            }
        }
    }
}
