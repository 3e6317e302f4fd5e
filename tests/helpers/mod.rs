//! Runs a script of inputs against a sender and records its actions.

use scalebarrow::{ActionSink, ListUpdate, ListedEndpoint, Outcome, RepeatSafety, Sender};

/// Records actions as texts, each with its time, and wake-ups until they are due.
#[derive(Default)]
struct ActionLog {
    now: f64,
    actions: Vec<String>,
    wakes: Vec<(f64, u64)>,
    scheduled_wakes: usize,
}

impl ActionSink for ActionLog {
    fn start_attempt(&mut self, webhook_id: u64, endpoint: &str, _: f64) {
        self.actions.push(format!("{:.1} send {webhook_id} {endpoint}", self.now));
    }
    fn cancel_attempt(&mut self, webhook_id: u64, attempt_number: u32) {
        self.actions.push(format!("{:.1} cancel {webhook_id} {attempt_number}", self.now));
    }
    fn reject(&mut self, webhook_id: u64, retry_after: f64) {
        self.actions.push(format!("{:.1} reject {webhook_id} {retry_after}", self.now));
    }
    fn dead_letter(&mut self, webhook_id: u64) {
        self.actions.push(format!("{:.1} dead-letter {webhook_id}", self.now));
    }
    fn schedule_wake(&mut self, delay: f64, handle: u64) {
        self.wakes.push((self.now + delay, handle));
        self.scheduled_wakes += 1;
    }
    fn watch_list(&mut self, enabled: bool) {
        self.actions.push(format!("{:.1} watch {enabled}", self.now));
    }
    fn close_idle_connections(&mut self, endpoint: &str) {
        self.actions.push(format!("{:.1} close-idle {endpoint}", self.now));
    }
    fn log(&mut self, text: &str) {
        self.actions.push(format!("{:.1} log {text}", self.now));
    }
}

/// A sender with the event types `idem`, `token` (recognized for 4 s in one zone), `once` and `ordered`
/// (tokened, recognized by all endpoints, ordered by key, cooldown 0.3 s), all with a target latency of 2 s
/// and a TTL of 8 s, and the destination kinds `plain` and `bulk` (3 webhooks in a call, independent
/// endpoints).
fn sender(slots: usize, max_pending: usize, sender_count: u64, list_watch_required: bool) -> Sender {
    let mut sender = Sender::new(0.0, 7, 0, sender_count);
    let event_types = [
        ("idem", RepeatSafety::Idempotent, 0.0, false, false),
        ("token", RepeatSafety::Tokened, 4.0, false, false),
        ("once", RepeatSafety::AtMostOnce, 0.0, false, false),
        ("ordered", RepeatSafety::Tokened, 8.0, true, true),
    ];
    for (name, repeat_safety, token_lifetime, token_shared_by_zones, ordered) in event_types {
        sender.set_event_type(name, 2.0, 8.0, if name == "once" { 3.0 } else { 1.0 }, 0.3, true);
        sender.set_repeat_safety(name, repeat_safety, token_lifetime, token_shared_by_zones, ordered);
    }
    sender.set_destination_kind("plain", 1, false);
    sender.set_destination_kind("bulk", 3, true);
    sender.set_limits(slots, max_pending, 6, true);
    sender.set_max_retry_after(0.5);
    sender.set_list_watch(list_watch_required, 9.0, 36.0);
    sender.set_cold_start(0.2, 10.0, 2.0, 1.5);
    sender.set_key_cooldown(0.3);
    sender.set_zone_cost("far", 0.1);
    sender.set_idle_timeout(5.0);
    sender
}

/// Runs a script and returns the actions, each with its time. A step is a line and starts with its time;
/// wake-ups that are due come first. All webhooks belong to destination 1, and so do endpoints without another
/// one. The steps are:
/// - `list ENDPOINT[@DESTINATION]:ZONE:KIND:RATE[:unready or :STARTED_AT] ..`, `changes ..` (the same), `refused`
/// - `accept ID EVENT_TYPE [KEY]`
/// - `end ID ENDPOINT OUTCOME [WAIT [REMAINING:LIMIT]]`
/// - `withdraw ID`
/// - `may-send ID ENDPOINT`
/// - `resume ID EVENT_TYPE ATTEMPTS [ZONE:TIME [KEY]]` (`-` for no zone)
/// - `shutdown TIME`
/// - `tick` (only wake-ups)
pub fn run_script(
    slots: usize, max_pending: usize, sender_count: u64, list_watch_required: bool, script: &str,
) -> Vec<String> {
    let (mut sender, mut log) =
        (sender(slots, max_pending, sender_count, list_watch_required), ActionLog::default());
    let mut sent_at = std::collections::BTreeMap::new();
    for line in script.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let now: f64 = words[0].parse().unwrap();
        while let Some(index) = (0..log.wakes.len()).find(|index| log.wakes[*index].0 <= now) {
            let (wake_at, handle) = log.wakes.remove(index);
            log.now = wake_at;
            sender.wake(wake_at, handle, &mut log);
        }
        log.now = now;
        let id = words.get(2).and_then(|word| word.parse().ok()).unwrap_or(0);
        match words[1] {
            "list" | "changes" => {
                let update = if words[1] == "list" { ListUpdate::Whole } else { ListUpdate::Changes };
                let rows =
                    words[2..].iter().map(|word| word.split(':').collect::<Vec<_>>()).collect::<Vec<_>>();
                let entries: Vec<ListedEndpoint> = rows
                    .iter()
                    .map(|row| (row, row[0].split_once('@').unwrap_or((row[0], "1"))))
                    .map(|(row, (endpoint, destination))| ListedEndpoint {
                        endpoint,
                        zone: row[1],
                        destination_kind: row[2],
                        destination: destination.parse().unwrap(),
                        ready: row.get(4).is_none_or(|word| *word != "unready"),
                        rate_limit: row[3].parse().unwrap(),
                        started_at: row.get(4).and_then(|word| word.parse().ok()).unwrap_or(0.0),
                    })
                    .collect();
                sender.update_list(now, update, &entries, &mut log);
            }
            "refused" => sender.update_list(now, ListUpdate::Refused, &[], &mut log),
            "accept" => sender.accept(now, id, words[3], 1, words.get(4).copied(), None, 8.0, &mut log),
            "end" => {
                let outcome = match words[4] {
                    "delivered" => Outcome::Delivered,
                    "full" => Outcome::Full(words.get(5).map_or(0.0, |word| word.parse().unwrap())),
                    "timed-out" => Outcome::TimedOut,
                    "connect-failed" => Outcome::ConnectFailed,
                    "reset" => Outcome::Reset,
                    "cancelled" => Outcome::Cancelled,
                    _ => Outcome::Failed,
                };
                let report = words.get(6).and_then(|word| word.split_once(':'));
                let report =
                    report.map(|(remaining, limit)| (remaining.parse().unwrap(), limit.parse().unwrap()));
                let duration = now - sent_at.get(&id).copied().unwrap_or(now);
                sender.attempt_ended(
                    now,
                    id,
                    words[3],
                    outcome,
                    duration,
                    words[4] == "delivered",
                    report,
                    &mut log,
                );
            }
            "withdraw" => sender.withdraw(now, id, &mut log),
            "may-send" => {
                log.actions.push(format!("{now:.1} may-send {id} {}", sender.may_send(now, id, words[3])))
            }
            "resume" => {
                let may_have_run = words.get(5).and_then(|word| word.split_once(':'));
                let may_have_run = may_have_run.map(|(zone, sent_at)| (zone, sent_at.parse().unwrap()));
                let (attempts, key) = (words[4].parse().unwrap(), words.get(6).copied());
                sender.resume(now, id, words[3], 1, key, None, 8.0, attempts, may_have_run, &mut log);
            }
            "shutdown" => sender.begin_shutdown(now, words[2].parse().unwrap(), &mut log),
            _ => {}
        }
        for action in &log.actions {
            let words: Vec<&str> = action.split(' ').collect();
            if words[1] == "send" {
                sent_at.insert(words[2].parse::<u64>().unwrap(), words[0].parse::<f64>().unwrap());
            }
        }
    }
    // Wake-ups every 10 ms for pending webhooks once used all the CPU time of 300 senders.
    if log.scheduled_wakes > 100 {
        log.actions.push(format!("scheduled {} wake-ups", log.scheduled_wakes));
    }
    log.actions
}
