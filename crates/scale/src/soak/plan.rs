//! What a run of the soak does: its settings, and its faults in the order in which they begin.

use std::fmt;
use std::str::FromStr;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// SIGKILL, and a start 0.6 s later.
    Kill,
    /// SIGKILL, a start, and SIGKILL again within a second or two.
    KillTwice,
    /// SIGKILL right behind the answer that takes a webhook on.
    KillBehindAnswer,
    /// SIGTERM, SIGKILL 3.7 s later if the process is still there.
    Terminate,
    /// New configurations in a row with SIGHUP.
    Reload,
    /// SIGHUP, and SIGTERM right behind.
    ReloadAndTerminate,
    /// The wall clock is stepped in a life.
    ClockStep,
    /// SIGKILL, and the wall clock is stepped before the start.
    ClockStepBetween,
    /// The process is held up behind readings of its clock.
    HoldUp,
    /// System calls on sockets fail or come short.
    SystemCalls,
    /// Writes to the folder fail.
    Folder,
    /// A destination takes calls and answers none.
    Hang,
    /// It answers 503.
    Refuse,
    /// It answers 429 and tells a wait.
    Wait,
    /// It answers 500.
    Fail,
    /// It refuses connections, and comes back cold.
    Crash,
    /// It ends each connection without an answer.
    HangUp,
    /// An endpoint answers late.
    Late,
    /// An endpoint writes half an answer.
    Half,
    /// An endpoint writes what is no answer.
    Noise,
    /// An endpoint ends connections that were to be kept.
    EndKept,
    /// An endpoint drains for a while.
    Drain,
    /// The list service answers nothing.
    DiscoverySilent,
    /// Nothing passes between senders and an endpoint.
    Cut,
    /// Answers of an endpoint get lost.
    LoseAnswers,
    /// All connections to an endpoint are reset.
    ResetAll,
    /// New connections to an endpoint come up late.
    LateConnect,
    /// Many clients connect and say nothing.
    Crowd,
    /// Clients stop in the middle of a request and stay.
    StopMidway,
}

impl Kind {
    /// All kinds with their names.
    pub const ALL: [(Kind, &'static str); 29] = [
        (Kind::Kill, "kill"),
        (Kind::KillTwice, "kill-twice"),
        (Kind::KillBehindAnswer, "kill-behind-answer"),
        (Kind::Terminate, "terminate"),
        (Kind::Reload, "reload"),
        (Kind::ReloadAndTerminate, "reload-and-terminate"),
        (Kind::ClockStep, "clock-step"),
        (Kind::ClockStepBetween, "clock-step-between"),
        (Kind::HoldUp, "hold-up"),
        (Kind::SystemCalls, "system-calls"),
        (Kind::Folder, "folder"),
        (Kind::Hang, "hang"),
        (Kind::Refuse, "refuse"),
        (Kind::Wait, "wait"),
        (Kind::Fail, "fail"),
        (Kind::Crash, "crash"),
        (Kind::HangUp, "hang-up"),
        (Kind::Late, "late"),
        (Kind::Half, "half"),
        (Kind::Noise, "noise"),
        (Kind::EndKept, "end-kept"),
        (Kind::Drain, "drain"),
        (Kind::DiscoverySilent, "discovery-silent"),
        (Kind::Cut, "cut"),
        (Kind::LoseAnswers, "lose-answers"),
        (Kind::ResetAll, "reset-all"),
        (Kind::LateConnect, "late-connect"),
        (Kind::Crowd, "crowd"),
        (Kind::StopMidway, "stop-midway"),
    ];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        Kind::ALL.iter().find(|(kind, _)| *kind == self).map_or("", |(_, name)| name)
    }

    /// It ends a sender's process.
    pub fn ends_process(self) -> bool {
        use Kind::{ClockStepBetween, Kill, KillBehindAnswer, KillTwice, ReloadAndTerminate, Terminate};
        matches!(
            self,
            Kill | KillTwice | KillBehindAnswer | Terminate | ReloadAndTerminate | ClockStepBetween
        )
    }

    /// It is done to a sender.
    pub fn is_of_sender(self) -> bool {
        use Kind::{ClockStep, Crowd, Folder, HoldUp, Reload, StopMidway, SystemCalls};
        let others = [ClockStep, Crowd, Folder, HoldUp, Reload, StopMidway, SystemCalls];
        self.ends_process() || others.contains(&self)
    }

    /// It is done to a whole destination, which is cold afterwards.
    pub fn is_outage(self) -> bool {
        use Kind::{Crash, Fail, Hang, HangUp, Refuse};
        matches!(self, Hang | Refuse | Fail | Crash | HangUp)
    }

    /// It is done on the way between senders and an endpoint.
    pub fn is_on_the_way(self) -> bool {
        use Kind::{Cut, LateConnect, LoseAnswers, ResetAll};
        matches!(self, Cut | LoseAnswers | ResetAll | LateConnect)
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Kind::ALL.iter().find(|(_, name)| *name == text).map(|(kind, _)| *kind);
        let names = || Kind::ALL.map(|(_, name)| name).join(", ");
        found.ok_or_else(|| format!("--without: {text} is no kind of fault; there are {}", names()))
    }
}

/// One fault. Times are seconds since the load began.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Event {
    pub at: f64,
    /// How long it lasts; 0 where it is over at once.
    pub lasts: f64,
    pub kind: Kind,
    /// The number of the sender, destination or endpoint.
    pub target: usize,
    /// What the kind says: seconds of a step or wait, milliseconds of a hold-up, a count of clients or configurations, the
    /// number of a folder's fault.
    pub amount: f64,
}

impl Event {
    /// It lasts at that time, or not much longer ago than a margin.
    pub fn is_near(&self, at: f64, margin: f64) -> bool {
        self.at - margin <= at && at <= self.at + self.lasts + margin
    }

    /// The two last at the same time, or closer than a margin.
    pub fn meets(&self, other: &Event, margin: f64) -> bool {
        self.at < other.at + other.lasts + margin && other.at < self.at + self.lasts + margin
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Event { at, lasts, kind, target, amount } = self;
        write!(f, "{at:7.3} s {:<20} of {target}", kind.name())?;
        if *lasts > 0.0 {
            write!(f, " for {lasts:.3} s")?;
        }
        if *amount != 0.0 { write!(f, " ({amount:.3})") } else { Ok(()) }
    }
}

/// What a run is set to. Times are seconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    pub senders: usize,
    pub destinations: u32,
    /// Webhooks a second for each sender.
    pub rate: f64,
    /// Calls a second that a destination takes.
    pub takes: f64,
    pub ttl: f64,
    pub window: f64,
    /// Webhooks of one type keep their order by key.
    pub ordered: bool,
    pub asks: bool,
    pub slots: usize,
    pub holds: usize,
}

/// A run, as its seed draws it.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    pub seed: u64,
    /// Seconds of load.
    pub seconds: f64,
    pub settings: Settings,
    /// In the order in which they begin.
    pub events: Vec<Event>,
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Settings { senders, destinations, rate, takes, ttl, window, ordered, asks, slots, holds } =
            &self.settings;
        writeln!(
            f,
            "seed {}: {:.0} s, {senders} senders, {destinations} destinations that take {takes:.0} a second, \
             {rate:.0} webhooks a second each, time to live {ttl:.2} s, window {window:.2} s, ordered {ordered}, \
             lists asked for {asks}, {slots} slots, {holds} held",
            self.seed, self.seconds
        )?;
        self.events.iter().try_for_each(|event| writeln!(f, "  {event}"))
    }
}
