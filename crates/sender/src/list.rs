//! The platform's list of endpoints: how it is asked for, and what it says.

use crate::http::{Decoder, Status};
use serde::Deserialize;
use std::net::SocketAddr;

/// How long a watch may be held that has nothing to tell. Where lists are pushed, the agent beside the sender answers at
/// no cost, and what it has counts as told whether or not a watch stands: one that has fallen silent is found soon. Where
/// they are asked for, each call costs the platform, and what a silent one misses counts only when its wait is over: a
/// third of what the platform allows.
const PUSHED_MS: u64 = 2_000;
const ASKED_MS: u64 = 20_000;
/// A list of ten thousand endpoints takes about 2 MB.
const MOST_LIST: usize = 4 * 1024 * 1024;
/// An answer that is due comes at once; who has said nothing for so long is silent. Asked again with the pause between
/// two tries, an agent that was silent in an outage tells what it has before half a second of it has passed, the time in
/// which sends to an endpoint that drains have to stop. A platform that is asked may have a queue.
const PUSHED_PATIENCE: f64 = 0.4;
const ASKED_PATIENCE: f64 = 1.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    Serving,
    Draining,
    Deleted,
}

/// One line of the list.
#[derive(Debug, Clone, Deserialize)]
pub struct Host {
    pub host: String,
    pub dial: SocketAddr,
    pub site: String,
    #[serde(rename = "class")]
    pub kind: String,
    /// An endpoint of no destination gets no calls.
    #[serde(rename = "block")]
    pub dest: Option<u64>,
    pub health: Health,
    #[serde(rename = "share")]
    pub rate: Option<f64>,
    /// When it last started, in Unix time.
    pub born_ms: Option<f64>,
}

/// A list, or what changed in it.
#[derive(Debug, Clone, Deserialize)]
pub struct News {
    pub seq: u64,
    pub whole: bool,
    pub hosts: Vec<Host>,
}

/// Why a call for the list brought none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoList {
    /// The platform has too much to do: nothing is wrong with what is known.
    Refused,
    /// What came cannot be read, or does not follow on what is known.
    Garbage,
}

/// Which call is due or out: watches from the version that is known, the whole list where none is.
pub struct List {
    decoder: Decoder<Status>,
    seq: Option<u64>,
    /// A standing watch whose connection ended goes on over another one, once.
    renewed: bool,
    /// Lists have to be asked for; otherwise an agent is sent them.
    asked: bool,
}

impl List {
    /// The list is known in this version. To ask for changes alone costs the platform little; whole lists for all
    /// senders that start together keep it busy for so long that all of them are refused.
    pub fn known(seq: u64, asked: bool) -> Self {
        List { decoder: Decoder::answers(MOST_LIST), seq: Some(seq), renewed: false, asked }
    }

    /// From which version changes are asked for; none where the whole list is.
    pub fn version(&self) -> Option<u64> {
        self.seq
    }

    /// The call to make now, and how long its answer may take.
    pub fn call(&self, host: &SocketAddr) -> (Vec<u8>, f64) {
        let (wait, patience) =
            if self.asked { (ASKED_MS, ASKED_PATIENCE) } else { (PUSHED_MS, PUSHED_PATIENCE) };
        let (query, patience) = match self.seq {
            None => (String::new(), patience),
            Some(seq) => (format!("?since={seq}&timeout_ms={wait}"), wait as f64 / 1e3 + patience),
        };
        (format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes(), patience)
    }

    /// What an answer tells, and whether the connection serves further calls.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<(News, bool)>, NoList> {
        self.decoder.feed(bytes);
        let message = self.decoder.message().map_err(|_| NoList::Garbage)?;
        let Some(answer) = message else { return Ok(None) };
        match answer.head.0 {
            200 => {}
            429 | 503 => return Err(NoList::Refused),
            _ => return Err(NoList::Garbage),
        }
        let news: News = serde_json::from_slice(&answer.body).map_err(|_| NoList::Garbage)?;
        // Against a platform that counts anew, as after a loss of its own: changes would pass by unseen.
        if !news.whole && self.seq.is_some_and(|known| news.seq < known) {
            return Err(NoList::Garbage);
        }
        (self.seq, self.renewed) = (Some(news.seq), false);
        Ok(Some((news, answer.keep && self.decoder.is_clear())))
    }

    /// The platform is reached at another address: the whole list is asked for there.
    pub fn moved(&mut self) {
        (self.decoder, self.seq, self.renewed) = (Decoder::answers(MOST_LIST), None, false);
    }

    /// The platform refused, and the connection is gone. What is known stays known: the next call asks for what
    /// changed since, and not before it is due. At once, and for the whole list, would keep the platform busy.
    pub fn refused(&mut self) {
        (self.decoder, self.renewed) = (Decoder::answers(MOST_LIST), false);
    }

    /// The connection is gone. True where the watch goes on over a new one at once.
    pub fn broken(&mut self) -> bool {
        self.decoder = Decoder::answers(MOST_LIST);
        let goes_on = self.seq.is_some() && !self.renewed;
        self.renewed = true;
        if !goes_on {
            // Where nothing is known of what the platform counts as told, the whole list is asked for.
            (self.seq, self.renewed) = (None, false);
        }
        goes_on
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn answer(status: u16, body: &str) -> Vec<u8> {
        format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }

    fn news(seq: u64, whole: bool) -> Vec<u8> {
        answer(200, &format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[]}}"))
    }

    /// What a silent watch misses counts as told after 6 s where lists are pushed, else 2 s after its wait.
    #[test]
    fn a_silent_call_is_found_inside_its_clock() {
        let host = SocketAddr::from(([127, 0, 0, 1], 80));
        for (asked, wait, clock) in [(false, 2.0, 6.0), (true, 20.0, 22.0)] {
            let mut list = List::known(7, asked);
            let (call, patience) = list.call(&host);
            assert!(String::from_utf8(call).unwrap().contains(&format!("since=7&timeout_ms={}", wait * 1e3)));
            // It goes on over a new connection at once, and that one's answer may be lost too.
            assert!(wait < patience && patience < clock - 0.5, "{patience} s for a clock of {clock} s");
            assert!(list.broken() && !list.broken(), "a second silence leads to the whole list");
            assert!(!asked || list.call(&host).1 <= 1.0);
            assert!(
                asked || list.call(&host).1 < 0.5,
                "an agent is asked again before a drain has to be kept"
            );
        }
    }

    /// 100 senders that start together and ask for whole lists, each refusal answered with another such call at once,
    /// kept the list service refusing for as long as they lived.
    #[test]
    fn what_is_asked_for_next() {
        let cases = [
            ("at the start, what changed since the version already known", vec![], None, Some(7)),
            ("after an answer, from its version", vec![news(9, false)], Some(Ok(9)), Some(9)),
            (
                "after a refusal, from the version known, and not at once",
                vec![answer(503, "")],
                Some(Err(NoList::Refused)),
                Some(7),
            ),
            (
                "the same for the other refusal",
                vec![news(8, true), answer(429, "later")],
                Some(Err(NoList::Refused)),
                Some(8),
            ),
            ("after garbage, the whole list", vec![answer(200, "{")], Some(Err(NoList::Garbage)), None),
            ("the same after an error", vec![answer(500, "")], Some(Err(NoList::Garbage)), None),
            ("and where versions are counted anew", vec![news(3, false)], Some(Err(NoList::Garbage)), None),
            ("but a whole list may be of any version", vec![news(3, true)], Some(Ok(3)), Some(3)),
        ];
        for (name, answers, last, since) in cases {
            let mut list = List::known(7, true);
            let mut heard = None;
            for a in answers {
                heard = Some(list.feed(&a).map(|got| got.unwrap().0.seq));
            }
            assert_eq!(heard, last, "{name}");
            match last {
                Some(Err(NoList::Refused)) => list.refused(),
                // The first time it goes on over a new connection, the second time nothing is taken for known.
                Some(Err(NoList::Garbage)) => {
                    assert_eq!((list.broken(), list.broken()), (true, false), "{name}")
                }
                _ => {}
            }
            assert_eq!(list.version(), since, "{name}");
        }
    }
}
