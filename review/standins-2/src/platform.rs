//! The platform: the list of receivers, pushed to an agent that answers at once, and the notices.

use crate::http::{Message, read_message};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A receiver as the list names it.
#[derive(Clone)]
pub struct Listed {
    pub host: String,
    pub dial: SocketAddr,
    pub site: &'static str,
    pub kind: &'static str,
    pub block: u32,
    pub share: f64,
}

/// The whole list as discovery writes it.
pub fn list_text(version: u64, listed: &[Listed]) -> String {
    let hosts: Vec<String> = listed
        .iter()
        .map(|entry| {
            let Listed { host, dial, site, kind, block, share } = entry;
            format!(
                r#"{{"host":"{host}","dial":"{dial}","site":"{site}","class":"{kind}","block":{block},"health":"SERVING","share":{share:.1},"born_ms":0}}"#
            )
        })
        .collect();
    format!(r#"{{"seq":{version},"whole":true,"hosts":[{}]}}"#, hosts.join(","))
}

/// A notice: when it was read, the id, and `failed` or `returned`.
pub type Notice = (Instant, String, String);

pub struct Platform {
    pub address: SocketAddr,
    notices: Arc<Mutex<Vec<Notice>>>,
}

impl Platform {
    /// Starts the platform with a list that does not change.
    pub fn start(version: u64, listed: &[Listed], record: &Record) -> std::io::Result<Platform> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let platform = Platform { address: listener.local_addr()?, notices: Arc::default() };
        let (notices, list, record) = (platform.notices.clone(), list_text(version, listed), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (notices, list, record) = (notices.clone(), list.clone(), record.clone());
                thread::spawn(move || serve(stream, version, &list, &notices, &record));
            }
        });
        Ok(platform)
    }

    /// The notices so far.
    pub fn notices(&self) -> Vec<Notice> {
        self.notices.lock().expect("no thread panics with the lock").clone()
    }
}

/// The value of a parameter in the target of a request.
fn parameter(request: &Message, name: &str) -> Option<u64> {
    let target = request.start_line.split(' ').nth(1)?;
    let mut pairs = target.split_once('?')?.1.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|pair| pair.0 == name)?.1.parse().ok()
}

/// The value of a text field in a line of a notice, whose values hold no quotation marks.
fn field(line: &str, name: &str) -> String {
    let after = line.split(&format!("\"{name}\":\"")).nth(1).unwrap_or_default();
    after.split('"').next().unwrap_or_default().to_owned()
}

fn serve(mut stream: TcpStream, version: u64, list: &str, notices: &Mutex<Vec<Notice>>, record: &Record) {
    let _ = stream.set_nodelay(true);
    while let Ok(request) = read_message(&mut stream, Duration::from_secs(120)) {
        let answer = if request.start_line.starts_with("POST /v1/outcomes") {
            for line in String::from_utf8_lossy(&request.body).lines() {
                record.add_at(request.complete_at, &format!("platform: notice {line}"));
                let notice = (request.complete_at, field(line, "id"), field(line, "state"));
                notices.lock().expect("no thread panics with the lock").push(notice);
            }
            "HTTP/1.1 204 No Content\r\n\r\n".to_owned()
        } else {
            let body = if parameter(&request, "since").is_some_and(|since| since >= version) {
                thread::sleep(Duration::from_millis(parameter(&request, "timeout_ms").unwrap_or(0)));
                format!(r#"{{"seq":{version},"whole":false,"hosts":[]}}"#)
            } else {
                list.to_owned()
            };
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
