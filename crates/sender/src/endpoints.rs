//! Calls to the destinations' endpoints: how they are written, and what their answers mean.

use crate::http::{Decoder, Fields, Head, MOST_BODY, Message, Start, decode_number};
use scalebarrow::Outcome;
use std::collections::BTreeMap;

/// An answer's body means little: a line for each webhook of a call at most.
const MOST_ANSWER: usize = MOST_BODY;

/// A webhook as a call carries it.
pub struct Load<'a> {
    pub id: &'a str,
    pub token: Option<&'a str>,
    pub body: &'a [u8],
}

/// The call for one webhook, or for several; nothing where they do not fit in one body.
pub fn encode(loads: &[Load], host: &str, wait: f64) -> Option<Vec<u8>> {
    let wait = (wait * 1e3).max(0.0) as u64;
    let common = format!("HTTP/1.1\r\nHost: {host}\r\nReq-Deadline: {wait}m\r\n");
    if let [load] = loads {
        let token = load.token.map_or(String::new(), |t| format!("Idempotency-Key: {t}\r\n"));
        let size = load.body.len();
        let head =
            format!("POST /inbox {common}Req-Id: {}\r\n{token}Content-Length: {size}\r\n\r\n", load.id);
        return Some([head.as_bytes(), load.body].concat());
    }
    let mut body = Vec::new();
    for load in loads {
        let line = format!("{} {} {}\r\n", load.id, load.token.unwrap_or("-"), load.body.len());
        body.extend_from_slice(line.as_bytes());
        body.extend_from_slice(load.body);
        body.extend_from_slice(b"\r\n");
    }
    let head = format!("POST /inbox/bulk {common}Content-Length: {}\r\n\r\n", body.len());
    (body.len() <= MOST_BODY).then(|| [head.as_bytes(), &body].concat())
}

/// The head of an answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    pub status: u16,
    /// Seconds to wait before the destination, or the route, is called again.
    pub wait: f64,
    no_slot: bool,
    /// Share of the limit that is left, and the limit in calls a second, where the answer tells them.
    pub report: Option<(f64, f64)>,
}

impl Head for Answer {
    fn decode(start: &Start, fields: &Fields) -> Self {
        let status = if let Start::Answer { status } = start { *status } else { 0 };
        let wait = fields.get("Retry-After").and_then(decode_number).unwrap_or(0.0);
        let no_slot = fields.get("X-Over-Slots") == Some("1");
        let load = fields.get("Srv-Load").and_then(|l| l.strip_prefix("TEXT"));
        let value = |name: &str| {
            let mut parts = load?.split(',').filter_map(|p| p.trim().split_once('='));
            parts.find(|(n, _)| *n == name).and_then(|(_, v)| decode_number(v))
        };
        Answer { status, wait, no_slot, report: value("x0").zip(value("x1")) }
    }
}

/// How a call ended for one webhook; `over` where nothing more is owed for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ending {
    pub outcome: Outcome,
    pub over: bool,
}

impl From<Outcome> for Ending {
    fn from(outcome: Outcome) -> Self {
        Ending { outcome, over: outcome == Outcome::Delivered }
    }
}

impl Answer {
    /// What the status says of a webhook that went alone, or of all in a call that fared alike.
    fn ending(&self, alone: bool) -> Ending {
        let outcome = match self.status {
            200 => Outcome::Delivered,
            429 => Outcome::Full(self.wait),
            503 if self.no_slot => Outcome::Moot(true),
            503 => Outcome::Full(self.wait),
            504 => Outcome::Moot(false),
            410 => return Ending { outcome: Outcome::Moot(false), over: true },
            // Of a call of several that cannot be read, or holds too many, none has run.
            400 | 413 if !alone => Outcome::Moot(false),
            _ => Outcome::Failed,
        };
        outcome.into()
    }
}

/// The endings of a call's webhooks, in their order; nothing where the answer is garbage.
pub fn endings(answer: &Message<Answer>, ids: &[&str]) -> Option<Vec<Ending>> {
    if ids.len() == 1 || answer.head.status != 200 {
        return Some(vec![answer.head.ending(ids.len() == 1); ids.len()]);
    }
    let text = std::str::from_utf8(&answer.body).ok()?;
    let mut told = BTreeMap::new();
    for line in text.lines().filter(|l| !l.is_empty()) {
        let (id, word) = line.split_once(' ')?;
        let ending = match word.trim() {
            "ok" => Outcome::Delivered.into(),
            "error" => Outcome::Failed.into(),
            "later" => Outcome::Full(answer.head.wait).into(),
            "gone" => Ending { outcome: Outcome::Moot(false), over: true },
            "exhausted" => Outcome::Moot(false).into(),
            _ => return None,
        };
        told.insert(id, ending);
    }
    // One that the answer leaves out may have run.
    Some(ids.iter().map(|id| told.get(id).copied().unwrap_or(Outcome::Failed.into())).collect())
}

/// A call that waits for its connection, or is out on it.
#[derive(Debug)]
pub struct Call {
    pub ep: String,
    pub zone: String,
    /// The webhooks in it, by number and id.
    pub webhooks: Vec<(u64, String)>,
    /// When it was decided, and when it is given up.
    pub decided_at: f64,
    pub stop_at: f64,
    pub bytes: Vec<u8>,
    /// The last byte is written: from then on a webhook may run.
    pub written: bool,
}

/// One connection to an endpoint. It carries one call at a time.
#[derive(Debug)]
pub struct Line {
    pub ep: String,
    pub call: Option<Call>,
    pub decoder: Decoder<Answer>,
}

impl Line {
    pub fn new(ep: String) -> Self {
        Line { ep, call: None, decoder: Decoder::answers(MOST_ANSWER) }
    }

    /// How the call ended when the connection broke, or the sender stopped waiting (`else_as`).
    pub fn cut_short(&mut self, call: &Call, else_as: Outcome) -> (Vec<Ending>, Answer) {
        let count = call.webhooks.len();
        if let Some(answer) = self.decoder.ended() {
            let ids: Vec<&str> = call.webhooks.iter().map(|w| w.1.as_str()).collect();
            let garbage = || vec![Outcome::Reset.into(); count];
            return (endings(&answer, &ids).unwrap_or_else(garbage), answer.head);
        }
        // Of a spoilt answer only a first line with 200 is true, where one webhook went alone. Any other, also one that
        // seems to say that nothing has run, stands for a call that may have run once it was written.
        let status = self.decoder.head().map(|h| h.status).or_else(|| self.decoder.first_line());
        let outcome = match status {
            Some(200) if count == 1 => Outcome::Delivered,
            _ if call.written => else_as,
            _ => Outcome::ConnectFailed,
        };
        (vec![outcome.into(); count], Answer::default())
    }
}

/// Idle connections by endpoint, the last used at the end.
#[derive(Debug, Default)]
pub struct Pool(BTreeMap<String, Vec<usize>>);

impl Pool {
    pub fn put(&mut self, ep: &str, line: usize) {
        self.0.entry(ep.to_owned()).or_default().push(line);
    }

    /// The connection that was used last: it is the least likely to be closing.
    pub fn take(&mut self, ep: &str) -> Option<usize> {
        self.0.get_mut(ep)?.pop()
    }

    pub fn remove(&mut self, ep: &str, line: usize) {
        if let Some(lines) = self.0.get_mut(ep) {
            lines.retain(|l| *l != line);
        }
        self.0.retain(|_, lines| !lines.is_empty());
    }

    pub fn take_all(&mut self, ep: &str) -> Vec<usize> {
        self.0.remove(ep).unwrap_or_default()
    }

    /// One to close where descriptors are short: the one opened first.
    pub fn oldest(&self) -> Option<usize> {
        self.0.values().flatten().min().copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::http::Fault;

    fn answer(bytes: &str) -> Result<Option<Message<Answer>>, Fault> {
        let mut decoder = Decoder::answers(MOST_ANSWER);
        decoder.feed(bytes.as_bytes());
        decoder.message()
    }

    #[test]
    fn what_answers_mean() {
        let over = Ending { outcome: Outcome::Moot(false), over: true };
        let (ok, full): (Ending, fn(f64) -> Ending) =
            (Outcome::Delivered.into(), |wait| Outcome::Full(wait).into());
        let failed: Ending = Outcome::Failed.into();
        /// Status, header lines, body, ids of the webhooks, their endings.
        type Case<'a> = (&'a str, &'a str, &'a str, &'a [&'a str], Option<Vec<Ending>>);
        let cases: [Case; 15] = [
            ("200 OK", "", "any", &["a"], Some(vec![ok])),
            ("500 No", "", "", &["a"], Some(vec![failed])),
            ("400 No", "", "", &["a"], Some(vec![failed])),
            ("429 No", "Retry-After: 0.150\r\n", "", &["a"], Some(vec![full(0.15)])),
            ("503 No", "Retry-After: x\r\n", "", &["a"], Some(vec![full(0.0)])),
            ("503 No", "X-Over-Slots: 1\r\n", "", &["a"], Some(vec![Outcome::Moot(true).into()])),
            ("504 No", "", "", &["a"], Some(vec![Outcome::Moot(false).into()])),
            ("410 No", "", "", &["a", "b"], Some(vec![over, over])),
            ("413 No", "", "", &["a", "b"], Some(vec![Outcome::Moot(false).into(); 2])),
            ("429 No", "Retry-After: 2\r\n", "", &["a", "b"], Some(vec![full(2.0), full(2.0)])),
            ("200 OK", "", "b later\r\na ok\r\n", &["a", "b"], Some(vec![ok, full(0.0)])),
            (
                "200 OK",
                "Retry-After: 0.5\r\n",
                "a later\r\nb gone\r\n",
                &["a", "b"],
                Some(vec![full(0.5), over]),
            ),
            ("200 OK", "", "a exhausted\r\n", &["a", "b"], Some(vec![Outcome::Moot(false).into(), failed])),
            ("200 OK", "", "a what\r\nb ok\r\n", &["a", "b"], None),
            ("200 OK", "", "nothing", &["a", "b"], None),
        ];
        for (status, fields, body, ids, wanted) in cases {
            let size = body.len();
            let text = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {size}\r\n\r\n{body}");
            let found = endings(&answer(&text).unwrap().unwrap(), ids);
            assert_eq!(found, wanted, "{text}");
        }
    }

    #[test]
    fn reports_are_read_where_they_are_whole() {
        for (field, report) in [
            ("Srv-Load: TEXT x0=0.4, x1=25\r\n", Some((0.4, 25.0))),
            ("Srv-Load: TEXT x1=25,x0=0\r\n", Some((0.0, 25.0))),
            ("Srv-Load: TEXT x0=0.4\r\n", None),
            ("Srv-Load: TEXT x0=nan, x1=2\r\n", None),
            ("Srv-Load: x0=0.4, x1=25\r\n", None),
            ("Srv-Load: TEXT x0=0.4, x1=-25\r\n", None),
            ("Srv-Load: {\"x0\":0.4\r\n", None),
            ("Srv-Load: \u{e9}\u{fffd},=,x0=,x1\r\n", None),
            ("", None),
        ] {
            let text = format!("HTTP/1.1 200 OK\r\n{field}Content-Length: 0\r\n\r\n");
            assert_eq!(answer(&text).unwrap().unwrap().head.report, report, "{field}");
        }
    }

    #[test]
    fn how_a_call_that_is_cut_short_ended() {
        let failed = Outcome::ConnectFailed;
        for (came, written, count, wanted) in [
            ("", false, 1, failed),
            ("", true, 1, Outcome::Reset),
            ("HTTP/1.1 200", true, 1, Outcome::Reset),
            ("HTTP/1.1 200 OK\r\n", true, 1, Outcome::Delivered),
            ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal", true, 1, Outcome::Delivered),
            ("HTTP/1.1 200 OK\r\n\r\nuntil the end", true, 1, Outcome::Delivered),
            ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na ok", true, 2, Outcome::Reset),
            ("HTTP/1.1 200 OK\r\n\r\na ok\r\nb ok\r\n", true, 2, Outcome::Delivered),
            ("HTTP/1.1 503 No\r\n", false, 1, failed),
            // The first line is true only where it says 200.
            ("HTTP/1.1 503 No\r\n", true, 1, Outcome::Reset),
            ("HTTP/1.1 429 No\r\nRetry-After: 1\r\nContent-Length: 9\r\n\r\nhal", true, 1, Outcome::Reset),
            ("HTTP/1.1 410 No\r\n\u{1}: 2\r\n\r\n", true, 1, Outcome::Reset),
            ("HTTP/1.1 200 OK\r\n\u{1}: 2\r\n\r\n", true, 1, Outcome::Delivered),
            ("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n", true, 1, Outcome::Delivered),
            ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", true, 1, Outcome::Delivered),
            ("HTTP/1.1 500 No\r\nContent-Length: 3000000000\r\n\r\n", true, 1, Outcome::Reset),
            ("HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nX: ", true, 1, Outcome::Delivered),
            ("HTTP/1.1 100 Go\r\n\r\n\u{7f}\u{3}", true, 1, Outcome::Reset),
        ] {
            let webhooks: Vec<_> = ["a", "b"][..count].iter().map(|id| (1, id.to_string())).collect();
            let (ep, zone, bytes) = (String::from("e"), String::new(), Vec::new());
            let call = Call { ep: ep.clone(), zone, webhooks, decided_at: 0.0, stop_at: 1.0, bytes, written };
            let mut line = Line::new(ep);
            line.decoder.feed(came.as_bytes());
            let _ = line.decoder.message();
            let (found, _) = line.cut_short(&call, Outcome::Reset);
            assert_eq!(found, vec![Ending::from(wanted); count], "{came:?} {written}");
        }
    }
}
