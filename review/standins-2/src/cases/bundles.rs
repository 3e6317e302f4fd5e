//! Webhooks of which no two fit in one call, and a kill behind the answer that takes on the last of them.

use crate::http::{Webhook, read_message};
use crate::platform::{Listed, Platform, list_text};
use crate::receiver::Receiver;
use crate::sender::{Sender, TemporaryFolder};
use crate::settings::Settings;
use crate::{Failure, Run, Verdict, free_address};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

const DESTINATION: u32 = 7;
/// What the destination takes from all senders together.
const CALLS_PER_SEC: f64 = 10.0;
/// Less than the destination takes in two seconds, and less than one call may hold.
const WEBHOOKS: usize = 18;
/// Within the limit of 64 KiB, and more than half of it.
const BODY_BYTES: usize = 33_000;
const DEADLINE: Duration = Duration::from_secs(24);
/// What ends before seven tenths of its time ends early.
const EARLY: Duration = Duration::from_millis(16_800);
/// How long the receiver takes for a call, with and without the disruption: 14 to 24 times the usual 81 to 140 ms,
/// for less than 18 s.
const PACE: Duration = Duration::from_secs(2);

/// Hands in webhooks over one connection, one after another. Returns those that were taken on, and when.
fn hand_in(listen: SocketAddr, ids: &[String]) -> Result<Vec<(String, Instant)>, Failure> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_nodelay(true)?;
    let (body, mut accepted) = (vec![b'x'; BODY_BYTES], Vec::new());
    for id in ids {
        let webhook = Webhook {
            event_type: "order-update",
            id,
            destination: DESTINATION,
            deadline: DEADLINE,
            body: &body,
        };
        stream.write_all(&webhook.request())?;
        let answer = read_message(&mut stream, Duration::from_millis(400));
        if let Some(answer) = answer.ok().filter(|answer| matches!(answer.status(), 200 | 202)) {
            accepted.push((id.clone(), answer.complete_at));
        }
    }
    Ok(accepted)
}

pub fn play(run: &Run) -> Result<Verdict, Failure> {
    let folder = TemporaryFolder::create("bundles")?;
    let receiver = Receiver::start("s-chain", PACE, &run.record)?;
    let listed = [Listed {
        host: "s-77d01c3e".into(),
        dial: receiver.address,
        site: "room-c",
        kind: "chains",
        block: DESTINATION,
        share: CALLS_PER_SEC,
    }];
    let platform = Platform::start(41, &listed, &run.record)?;
    let listen = free_address()?;
    let settings = Settings { deadline_ms: 24_000, window_ms: 10_000, max_attempts: 6 };
    let config = settings.config(listen, platform.address, &list_text(41, &listed));
    let mut sender = Sender::new(listen, &folder.0, &config, &run.record)?;
    sender.start_and_wait()?;

    let ids: Vec<String> = (0..WEBHOOKS).map(|number| format!("c{number:015x}")).collect();
    let accepted = hand_in(listen, &ids)?;
    // The first calls have begun.
    sleep(Duration::from_millis(20));
    if run.trouble {
        sender.kill();
    }
    let killed_at = Instant::now();
    for (id, taken_at) in &accepted {
        run.record.add_at(*taken_at, &format!("client: {id} is taken on ({BODY_BYTES} bytes)"));
    }
    if accepted.len() != WEBHOOKS {
        return Err(Failure(format!("{} of {WEBHOOKS} webhooks were taken on", accepted.len())));
    }
    if run.trouble {
        sleep(Duration::from_millis(600));
        sender.start_and_wait()?;
    }
    let ready_at = Instant::now();
    sleep(EARLY + Duration::from_millis(500) - killed_at.elapsed().min(EARLY));
    sender.kill();

    let (called, notices) = (receiver.called(), platform.notices());
    let called_ids: BTreeSet<&String> = called.iter().map(|entry| &entry.1).collect();
    let called_before: BTreeSet<&String> =
        called.iter().filter(|entry| entry.0 <= killed_at).map(|entry| &entry.1).collect();
    let is_given_up_early = |(id, taken_at): &(String, Instant)| {
        !called_ids.contains(id)
            && notices.iter().any(|notice| notice.1 == *id && notice.0 < *taken_at + EARLY)
    };
    // What the rule counts: untried at the restart, with half of the time left.
    let is_counted = |(id, taken_at): &(String, Instant)| {
        (!run.trouble || !called_before.contains(id)) && ready_at < *taken_at + DEADLINE / 2
    };
    let found = accepted.iter().filter(|entry| is_counted(entry)).count();
    let given_up = accepted.iter().filter(|entry| is_counted(entry) && is_given_up_early(entry)).count();
    // Without a restart the same is counted of all that were taken on.
    let counted = if run.trouble { "webhooks that the restart found untried" } else { "webhooks" };
    let seen = format!("of {found} {counted} {given_up} were given up early with no call");
    Ok(Verdict { held: 2 * given_up <= found, seen })
}
