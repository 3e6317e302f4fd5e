//! Clients that send several requests at once, and a planned restart.

use crate::http::{ReadEnd, Webhook, read_message};
use crate::platform::{Listed, Platform, list_text};
use crate::receiver::Receiver;
use crate::sender::{SIGTERM, Sender, TemporaryFolder};
use crate::settings::Settings;
use crate::{Failure, Run, Verdict, free_address};
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

const DESTINATION: u32 = 3;
/// How many requests a client sends at once.
const AT_ONCE: usize = 6;
const DEADLINE: Duration = Duration::from_millis(4_000);
/// A request has to get its answer until half a second after its time, and each time limit grows by 50 ms.
const ANSWER_LIMIT: Duration = Duration::from_millis(4_000 + 500 + 50);

/// What a client saw of the requests that it sent at once.
struct Seen {
    ids: Vec<String>,
    /// The status of each answer, in the order of the requests.
    answers: Vec<u16>,
    end: Option<ReadEnd>,
}

/// Sends requests in one write and reads their answers, until the connection ends or the time is over.
fn send_at_once(run: &Run, stream: &mut TcpStream, client: &str) -> Result<Seen, Failure> {
    let ids: Vec<String> = (0..AT_ONCE).map(|number| format!("{client}{number:015x}")).collect();
    let requests: Vec<Vec<u8>> = ids
        .iter()
        .map(|id| Webhook {
            event_type: "order-update",
            id,
            destination: DESTINATION,
            deadline: DEADLINE,
            body: b"stock 5",
        })
        .map(|webhook| webhook.request())
        .collect();
    stream.write_all(&requests.concat())?;
    let sent_at = Instant::now();
    run.record.add_at(
        sent_at,
        &format!("client {client}: {AT_ONCE} requests are written at once: {}", ids.join(" ")),
    );
    let mut seen = Seen { ids, answers: Vec::new(), end: None };
    while seen.answers.len() < AT_ONCE && seen.end.is_none() {
        let left = ANSWER_LIMIT.saturating_sub(sent_at.elapsed()).max(Duration::from_millis(1));
        match read_message(stream, left) {
            Ok(answer) => {
                let connection = answer.header("Connection").unwrap_or("-");
                run.record.add_at(
                    answer.complete_at,
                    &format!(
                        "client {client}: answer {} to {}, Connection: {connection}",
                        answer.status(),
                        seen.ids[seen.answers.len()]
                    ),
                );
                seen.answers.push(answer.status());
            }
            Err(end) => {
                run.record.add(&format!(
                    "client {client}: the connection ended ({end:?}) after {} of {AT_ONCE} answers",
                    seen.answers.len()
                ));
                seen.end = Some(end);
            }
        }
    }
    Ok(seen)
}

pub fn play(run: &Run) -> Result<Verdict, Failure> {
    let folder = TemporaryFolder::create("pipeline")?;
    let receiver = Receiver::start("s-nursery", Duration::from_millis(50), &run.record)?;
    let listed = [Listed {
        host: "s-5be2a07c".into(),
        dial: receiver.address,
        site: "room-c",
        kind: "nurseries",
        block: DESTINATION,
        share: 60.0,
    }];
    let platform = Platform::start(41, &listed, &run.record)?;
    let listen = free_address()?;
    let config = Settings::default().config(listen, platform.address, &list_text(41, &listed));
    let mut sender = Sender::new(listen, &folder.0, &config, &run.record)?;
    sender.start_and_wait()?;

    // All is answered while the sender runs on.
    let before = send_at_once(run, &mut TcpStream::connect(listen)?, "a")?;
    if before.answers.len() != AT_ONCE {
        return Ok(Verdict { held: false, seen: "requests were not answered before any disruption".into() });
    }
    // New connections keep coming for 0.2 to 0.4 s after SIGTERM.
    if run.trouble {
        sender.signal(SIGTERM);
    }
    sleep(Duration::from_millis(150));
    let after = send_at_once(run, &mut TcpStream::connect(listen)?, "b")?;
    // A planned restart: SIGKILL no sooner than 3.7 s after SIGTERM, the next start 0.6 s later.
    if run.trouble {
        sleep(Duration::from_millis(3_700));
        sender.kill();
        sleep(Duration::from_millis(600));
        sender.start_and_wait()?;
    }
    // Whatever was taken on without an answer ends in this time.
    sleep(Duration::from_millis(3_000));
    sender.kill();

    let called = receiver.called();
    let notices = platform.notices();
    let unanswered: Vec<&String> = after.ids.iter().skip(after.answers.len()).collect();
    for id in &unanswered {
        let was_called = called.iter().any(|entry| entry.1 == **id);
        let was_noticed = notices.iter().any(|notice| notice.1 == **id);
        run.record.add(&format!("{id}: no answer; called: {was_called}, notice: {was_noticed}"));
    }
    // A close that crosses a request which the sender has not read loses nothing. A close over unread bytes
    // resets the connection; this one ended in order, behind an answer to the same write.
    let was_read = !after.answers.is_empty() && after.end == Some(ReadEnd::Closed);
    let held = unanswered.is_empty() || !was_read;
    let seen = format!(
        "of {AT_ONCE} requests in one write {} were answered; the connection ended as {:?}",
        after.answers.len(),
        after.end
    );
    Ok(Verdict { held, seen })
}
