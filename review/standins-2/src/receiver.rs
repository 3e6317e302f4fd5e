//! Receivers: each runs every call that it reads and answers it with 200 after a fixed time.

use crate::http::{called_ids, delivered_answer, read_message};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A webhook in a call: when the call's last byte was read, and its id.
pub type Called = (Instant, String);

pub struct Receiver {
    pub address: SocketAddr,
    called: Arc<Mutex<Vec<Called>>>,
}

impl Receiver {
    /// Starts a receiver that takes this long for each call.
    pub fn start(name: &'static str, pace: Duration, record: &Record) -> std::io::Result<Receiver> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let receiver = Receiver { address: listener.local_addr()?, called: Arc::default() };
        let (called, record) = (receiver.called.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (called, record) = (called.clone(), record.clone());
                thread::spawn(move || serve(stream, name, pace, &called, &record));
            }
        });
        Ok(receiver)
    }

    /// The webhooks called so far.
    pub fn called(&self) -> Vec<Called> {
        self.called.lock().expect("no thread panics with the lock").clone()
    }
}

fn serve(mut stream: TcpStream, name: &str, pace: Duration, called: &Mutex<Vec<Called>>, record: &Record) {
    let _ = stream.set_nodelay(true);
    while let Ok(call) = read_message(&mut stream, Duration::from_secs(120)) {
        let ids = called_ids(&call);
        record.add_at(call.complete_at, &format!("receiver {name}: runs {}", ids.join(" ")));
        let entries = ids.iter().map(|id| (call.complete_at, id.clone()));
        called.lock().expect("no thread panics with the lock").extend(entries);
        thread::sleep(pace);
        let written = stream.write_all(&delivered_answer(&call));
        let outcome = if written.is_ok() { "answered 200 to" } else { "could not answer" };
        record.add(&format!("receiver {name}: {outcome} {}", ids.join(" ")));
        if written.is_err() || call.header("Connection") == Some("close") {
            return;
        }
    }
}
