//! Plays one case of the second review: `review-2 NAME FOLDER`. The record goes to FOLDER/record.txt. Exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it does the same without the disruption.

mod cases;
mod http;
mod platform;
mod receiver;
mod record;
mod sender;
mod settings;

use record::Record;
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;

/// Why a case could not run.
#[derive(Debug)]
pub struct Failure(pub String);

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Failure(error.to_string())
    }
}

/// Whether the rule held, and what was seen.
pub struct Verdict {
    pub held: bool,
    pub seen: String,
}

/// A case.
pub struct Run {
    pub record: Record,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// A loopback address that is free at present.
pub fn free_address() -> Result<SocketAddr, Failure> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

fn play(name: &str, folder: PathBuf) -> Result<Verdict, Failure> {
    let record = Record::create(&folder.join("record.txt"))?;
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.add(if trouble { "with the disruption" } else { "TROUBLE=0: without the disruption" });
    let run = Run { record: record.clone(), trouble };
    let case = cases::by_name(name).ok_or_else(|| Failure(format!("there is no case {name}")))?;
    let verdict = case(&run);
    match &verdict {
        Ok(Verdict { held: true, seen }) => record.add(&format!("the rule held: {seen}")),
        Ok(Verdict { held: false, seen }) => record.add(&format!("THE RULE WAS BROKEN: {seen}")),
        Err(failure) => record.add(&format!("the case could not run: {failure}")),
    }
    verdict
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-2 NAME FOLDER");
        return ExitCode::from(2);
    };
    match play(&name, folder.into()) {
        Ok(verdict) => ExitCode::from(u8::from(!verdict.held)),
        Err(failure) => {
            eprintln!("the case could not run: {failure}");
            ExitCode::from(2)
        }
    }
}
