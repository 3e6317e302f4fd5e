//! Plays a script of inputs to a sender and writes down what it does.

use scalebarrow::{ActionSink, ListUpdate, ListedEndpoint, Outcome, RepeatSafety, Sender};

#[derive(Default)]
struct Desk {
    now: f64,
    acts: Vec<String>,
    wakes: Vec<(f64, u64)>,
    asked: usize,
}

impl ActionSink for Desk {
    fn start_attempt(&mut self, webhook_id: u64, endpoint: &str, _: f64) {
        self.acts.push(format!("{:.1} send {webhook_id} {endpoint}", self.now));
    }
    fn cancel_attempt(&mut self, webhook_id: u64, attempt_number: u32) {
        self.acts.push(format!("{:.1} off {webhook_id} {attempt_number}", self.now));
    }
    fn reject(&mut self, webhook_id: u64, retry_after: f64) {
        self.acts.push(format!("{:.1} reject {webhook_id} {retry_after}", self.now));
    }
    fn dead_letter(&mut self, webhook_id: u64) {
        self.acts.push(format!("{:.1} dead {webhook_id}", self.now));
    }
    fn schedule_wake(&mut self, delay: f64, handle: u64) {
        self.wakes.push((self.now + delay, handle));
        self.asked += 1;
    }
    fn watch_list(&mut self, enabled: bool) {
        self.acts.push(format!("{:.1} watch {enabled}", self.now));
    }
    fn close_idle_connections(&mut self, endpoint: &str) {
        self.acts.push(format!("{:.1} close {endpoint}", self.now));
    }
    fn log(&mut self, text: &str) {
        self.acts.push(format!("{:.1} log {text}", self.now));
    }
}

/// Event types `idem`, `token` (known 4 s in one zone), `once` and `line` (tokened by all, in order, rest 0.3 s),
/// all wanted within 2 s and given up at 8 s; kinds `plain` and `bulk` (3 in a call, routes apart).
fn sender(slots: usize, holds: usize, senders: u64, ask: bool) -> Sender {
    let mut s = Sender::new(0.0, 7, 0, senders);
    let types = [
        ("idem", RepeatSafety::Idempotent, 0.0, false, false),
        ("token", RepeatSafety::Tokened, 4.0, false, false),
        ("once", RepeatSafety::AtMostOnce, 0.0, false, false),
        ("line", RepeatSafety::Tokened, 8.0, true, true),
    ];
    for (name, effect, known_for, by_all, ordered) in types {
        s.set_event_type(name, 2.0, 8.0, if name == "once" { 3.0 } else { 1.0 }, 0.3, true);
        s.set_repeat_safety(name, effect, known_for, by_all, ordered);
    }
    s.set_destination_kind("plain", 1, false);
    s.set_destination_kind("bulk", 3, true);
    s.set_limits(slots, holds, 6, true);
    s.set_max_retry_after(0.5);
    s.set_list_watch(ask, 9.0, 36.0);
    s.set_cold_start(0.2, 10.0, 2.0, 1.5);
    s.set_key_cooldown(0.3);
    s.set_zone_cost("far", 0.1);
    s.set_idle_timeout(5.0);
    s
}

/// Steps, one a line: `TIME list EP:ZONE:KIND:RATE[:gone or :BORN] ..`, `TIME changes ..`, `TIME refused`,
/// `TIME hand ID EVT [KEY]`, `TIME end ID EP OUTCOME [WAIT [LEFT:LIMIT]]`, `TIME gone ID`, `TIME pass`, `TIME may ID EP`,
/// `TIME resume ID EVT TRIES [ZONE:TIME [KEY]]` (`-` for no zone), `TIME closing BY`. All for destination 1.
/// Wake-ups come when they are due. Returns the actions, each with its time.
pub fn play(slots: usize, holds: usize, senders: u64, ask: bool, script: &str) -> Vec<String> {
    let (mut s, mut desk) = (sender(slots, holds, senders, ask), Desk::default());
    let mut sent = std::collections::BTreeMap::new();
    for line in script.lines().map(str::trim).filter(|l| !l.is_empty()) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let t: f64 = words[0].parse().unwrap();
        while let Some(i) = (0..desk.wakes.len()).find(|i| desk.wakes[*i].0 <= t) {
            let (at, handle) = desk.wakes.remove(i);
            desk.now = at;
            s.wake(at, handle, &mut desk);
        }
        desk.now = t;
        let id = words.get(2).and_then(|w| w.parse().ok()).unwrap_or(0);
        match words[1] {
            "list" | "changes" => {
                let mode = if words[1] == "list" { ListUpdate::Whole } else { ListUpdate::Changes };
                let rows = words[2..].iter().map(|w| w.split(':').collect::<Vec<_>>()).collect::<Vec<_>>();
                let entries: Vec<ListedEndpoint> = rows
                    .iter()
                    .map(|r| ListedEndpoint {
                        endpoint: r[0],
                        zone: r[1],
                        destination_kind: r[2],
                        destination: 1,
                        ready: r.get(4).is_none_or(|x| *x != "gone"),
                        rate_limit: r[3].parse().unwrap(),
                        started_at: r.get(4).and_then(|x| x.parse().ok()).unwrap_or(0.0),
                    })
                    .collect();
                s.update_list(t, mode, &entries, &mut desk);
            }
            "refused" => s.update_list(t, ListUpdate::Refused, &[], &mut desk),
            "hand" => s.accept(t, id, words[3], 1, words.get(4).copied(), None, 8.0, &mut desk),
            "end" => {
                let outcome = match words[4] {
                    "ok" => Outcome::Delivered,
                    "full" => Outcome::Full(words.get(5).map_or(0.0, |w| w.parse().unwrap())),
                    "lost" => Outcome::TimedOut,
                    "noconn" => Outcome::ConnectFailed,
                    "reset" => Outcome::Reset,
                    "off" => Outcome::Cancelled,
                    _ => Outcome::Failed,
                };
                let report = words.get(6).and_then(|w| w.split_once(':'));
                let report = report.map(|(left, limit)| (left.parse().unwrap(), limit.parse().unwrap()));
                let took = t - sent.get(&id).copied().unwrap_or(t);
                s.attempt_ended(t, id, words[3], outcome, took, words[4] == "ok", report, &mut desk);
            }
            "gone" => s.withdraw(t, id, &mut desk),
            "may" => desk.acts.push(format!("{t:.1} may {id} {}", s.may_send(t, id, words[3]))),
            "resume" => {
                let ran = words.get(5).and_then(|w| w.split_once(':'));
                let ran = ran.map(|(zone, at)| (zone, at.parse().unwrap()));
                let (tries, key) = (words[4].parse().unwrap(), words.get(6).copied());
                s.resume(t, id, words[3], 1, key, None, 8.0, tries, ran, &mut desk);
            }
            "closing" => s.begin_shutdown(t, words[2].parse().unwrap(), &mut desk),
            _ => {}
        }
        for act in &desk.acts {
            let w: Vec<&str> = act.split(' ').collect();
            if w[1] == "send" {
                sent.insert(w[2].parse::<u64>().unwrap(), w[0].parse::<f64>().unwrap());
            }
        }
    }
    // Wakes every 10 ms for whatever was held once took all the CPU of 300 senders.
    if desk.asked > 100 {
        desk.acts.push(format!("asked for {} wakes", desk.asked));
    }
    desk.acts
}
