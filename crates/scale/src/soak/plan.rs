//! What one run of the soak does: its settings, and the faults that it injects.

use std::fmt;
use std::str::FromStr;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// The sender gets SIGKILL and is started again 0.6 s later.
    Kill,
    /// The sender gets SIGKILL, is started again, and gets SIGKILL again up to 1.5 s later.
    KillTwice,
    /// The sender gets SIGKILL right after the answer that accepts a webhook.
    KillBehindAnswer,
    /// The sender gets SIGTERM, and SIGKILL 3.7 s later if its process has not ended.
    Terminate,
    /// The sender gets several configurations one right after another, each with SIGHUP.
    Reload,
    /// The sender gets SIGHUP and right after it SIGTERM.
    ReloadAndTerminate,
    /// The wall clock is stepped while the sender runs.
    ClockStep,
    /// The sender gets SIGKILL, and the wall clock is stepped before it is started again.
    ClockStepBetween,
    /// Threads of the sender pause after some reads of the monotonic clock.
    HoldUp,
    /// Some system calls on the sender's sockets fail, or transfer fewer bytes than requested.
    SystemCalls,
    /// Writes to the sender's state folder fail.
    Folder,
    /// A destination accepts calls and never answers.
    Hang,
    /// A destination answers 503.
    Refuse,
    /// A destination answers 429 with a Retry-After.
    Wait,
    /// A destination answers 500.
    Fail,
    /// A destination refuses connections, and is cold when it is back.
    Crash,
    /// A destination closes each connection without an answer.
    HangUp,
    /// An endpoint answers late.
    Late,
    /// An endpoint sends half an answer and closes the connection.
    Half,
    /// An endpoint sends bytes that are not an HTTP response.
    Noise,
    /// An endpoint closes connections that were to be kept alive.
    EndKept,
    /// An endpoint drains for a while.
    Drain,
    /// The list service does not answer calls for the list.
    DiscoverySilent,
    /// Nothing passes between the senders and an endpoint.
    Cut,
    /// The answers of an endpoint get lost.
    LoseAnswers,
    /// All connections to an endpoint are reset.
    ResetAll,
    /// New connections to an endpoint are accepted late.
    LateConnect,
    /// Many clients connect to the sender and send nothing.
    Crowd,
    /// Clients stop in the middle of a request and keep the connection open.
    StopMidway,
    /// Answers of an endpoint come a second time on their connection.
    CopyAnswers,
    /// An endpoint sends an interim answer before each answer.
    InterimAnswers,
    /// An endpoint sends its answers in many segments.
    SplitAnswers,
    /// An endpoint sends more bytes than its answers say.
    ExtraBytes,
    /// An endpoint sends fewer bytes than its answers say.
    MissingBytes,
    /// The platform acknowledges each notice twice.
    CopyAcknowledgements,
    /// The platform closes some connections with a notice, before or after reading it, without an answer.
    CutNotices,
    /// Answers of the list service come a second time on their connection.
    CopyLists,
    /// Clients write each request twice.
    RepeatRequests,
    /// Clients write their requests in pieces.
    SplitRequests,
}

impl FaultKind {
    /// The kinds that disturb the order of requests and answers, with their names. They are drawn apart from
    /// the others, so that the other faults of a seed stay the same without them.
    pub const OF_MESSAGES: [(FaultKind, &'static str); 10] = [
        (FaultKind::CopyAnswers, "copy-answers"),
        (FaultKind::InterimAnswers, "interim-answers"),
        (FaultKind::SplitAnswers, "split-answers"),
        (FaultKind::ExtraBytes, "extra-bytes"),
        (FaultKind::MissingBytes, "missing-bytes"),
        (FaultKind::CopyAcknowledgements, "copy-acknowledgements"),
        (FaultKind::CutNotices, "cut-notices"),
        (FaultKind::CopyLists, "copy-lists"),
        (FaultKind::RepeatRequests, "repeat-requests"),
        (FaultKind::SplitRequests, "split-requests"),
    ];

    /// The other kinds with their names on the command line and in reports.
    pub const OTHERS: [(FaultKind, &'static str); 29] = [
        (FaultKind::Kill, "kill"),
        (FaultKind::KillTwice, "kill-twice"),
        (FaultKind::KillBehindAnswer, "kill-behind-answer"),
        (FaultKind::Terminate, "terminate"),
        (FaultKind::Reload, "reload"),
        (FaultKind::ReloadAndTerminate, "reload-and-terminate"),
        (FaultKind::ClockStep, "clock-step"),
        (FaultKind::ClockStepBetween, "clock-step-between"),
        (FaultKind::HoldUp, "hold-up"),
        (FaultKind::SystemCalls, "system-calls"),
        (FaultKind::Folder, "folder"),
        (FaultKind::Hang, "hang"),
        (FaultKind::Refuse, "refuse"),
        (FaultKind::Wait, "wait"),
        (FaultKind::Fail, "fail"),
        (FaultKind::Crash, "crash"),
        (FaultKind::HangUp, "hang-up"),
        (FaultKind::Late, "late"),
        (FaultKind::Half, "half"),
        (FaultKind::Noise, "noise"),
        (FaultKind::EndKept, "end-kept"),
        (FaultKind::Drain, "drain"),
        (FaultKind::DiscoverySilent, "discovery-silent"),
        (FaultKind::Cut, "cut"),
        (FaultKind::LoseAnswers, "lose-answers"),
        (FaultKind::ResetAll, "reset-all"),
        (FaultKind::LateConnect, "late-connect"),
        (FaultKind::Crowd, "crowd"),
        (FaultKind::StopMidway, "stop-midway"),
    ];

    /// All kinds with their names.
    pub fn all() -> impl Iterator<Item = (FaultKind, &'static str)> {
        FaultKind::OTHERS.into_iter().chain(FaultKind::OF_MESSAGES)
    }

    /// The name on the command line and in reports.
    pub fn name(self) -> &'static str {
        FaultKind::all().find(|(kind, _)| *kind == self).map_or("", |(_, name)| name)
    }

    /// Whether it ends a sender's process.
    pub fn ends_process(self) -> bool {
        use FaultKind::{ClockStepBetween, Kill, KillBehindAnswer, KillTwice, ReloadAndTerminate, Terminate};
        matches!(
            self,
            Kill | KillTwice | KillBehindAnswer | Terminate | ReloadAndTerminate | ClockStepBetween
        )
    }

    /// Whether its target is a sender.
    pub fn targets_sender(self) -> bool {
        use FaultKind::{
            ClockStep, Crowd, Folder, HoldUp, Reload, RepeatRequests, SplitRequests, StopMidway, SystemCalls,
        };
        let others = [ClockStep, Crowd, Folder, HoldUp, Reload, StopMidway, SystemCalls];
        self.ends_process() || others.contains(&self) || matches!(self, RepeatRequests | SplitRequests)
    }

    /// Whether its target is the platform.
    pub fn targets_platform(self) -> bool {
        use FaultKind::{CopyAcknowledgements, CopyLists, CutNotices, DiscoverySilent};
        matches!(self, DiscoverySilent | CopyAcknowledgements | CutNotices | CopyLists)
    }

    /// Whether it changes what an endpoint answers.
    pub fn is_endpoint_behaviour(self) -> bool {
        use FaultKind::{EndKept, ExtraBytes, Half, InterimAnswers, Late, MissingBytes, Noise, SplitAnswers};
        matches!(
            self,
            Late | Half | Noise | EndKept | InterimAnswers | SplitAnswers | ExtraBytes | MissingBytes
        )
    }

    /// Whether it is an outage of a whole destination, which is cold afterwards.
    pub fn is_outage(self) -> bool {
        use FaultKind::{Crash, Fail, Hang, HangUp, Refuse};
        matches!(self, Hang | Refuse | Fail | Crash | HangUp)
    }

    /// Whether it disturbs the connections between the senders and an endpoint.
    pub fn is_connection_fault(self) -> bool {
        use FaultKind::{Cut, LateConnect, LoseAnswers, ResetAll};
        matches!(self, Cut | LoseAnswers | ResetAll | LateConnect)
    }
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = FaultKind::all().find(|(_, name)| *name == text).map(|(kind, _)| kind);
        let names = || FaultKind::all().map(|(_, name)| name).collect::<Vec<_>>().join(", ");
        found.ok_or_else(|| format!("--without: unknown kind of fault {text}; the kinds are {}", names()))
    }
}

/// One fault of a run. Times are seconds since the load began.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// When it begins.
    pub start_secs: f64,
    /// How long it lasts; 0 if it happens at one moment.
    pub duration_secs: f64,
    /// What goes wrong.
    pub kind: FaultKind,
    /// The number of the sender, destination or endpoint.
    pub target: usize,
    /// Its size, in the unit that its kind defines: seconds of a clock step, a wait, a late answer, the
    /// longest lag of a copy or the time until the second kill, milliseconds of a pause, a count of clients or configurations, or the
    /// number of a `FolderFault`.
    pub amount: f64,
}

impl Fault {
    /// Whether it is active at a time, or began or ended at most `margin_secs` away from it.
    pub fn is_near(&self, at_secs: f64, margin_secs: f64) -> bool {
        self.start_secs - margin_secs <= at_secs
            && at_secs <= self.start_secs + self.duration_secs + margin_secs
    }

    /// Whether two faults are active at the same time, or are less than `margin_secs` apart.
    pub fn overlaps(&self, other: &Fault, margin_secs: f64) -> bool {
        self.start_secs < other.start_secs + other.duration_secs + margin_secs
            && other.start_secs < self.start_secs + self.duration_secs + margin_secs
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let Fault { start_secs, duration_secs, kind, target, amount } = self;
        write!(formatter, "{start_secs:7.3} s {:<20} of {target}", kind.name())?;
        if *duration_secs > 0.0 {
            write!(formatter, " for {duration_secs:.3} s")?;
        }
        if *amount != 0.0 { write!(formatter, " ({amount:.3})") } else { Ok(()) }
    }
}

/// The settings of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunSettings {
    /// Sender processes.
    pub sender_count: usize,
    /// Destinations in the endpoint list.
    pub destination_count: u32,
    /// Webhooks that clients hand in to each sender, per second.
    pub webhooks_per_sec: f64,
    /// Calls that a destination can take per second.
    pub calls_per_sec: f64,
    /// TTL of all webhooks.
    pub ttl_secs: f64,
    /// How long destinations recognize an idempotency key.
    pub repeat_window_secs: f64,
    /// Whether some webhooks have an ordering key.
    pub ordered: bool,
    /// Whether senders request the endpoint list; otherwise it is pushed to them.
    pub pulls_list: bool,
    /// Calls that a sender may have in flight at once.
    pub slots: usize,
    /// Webhooks that a sender may hold at once.
    pub max_pending: usize,
    /// Webhooks that a call may carry.
    pub max_batch: usize,
}

/// A run, as its seed determines it.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The seed that it was generated from.
    pub seed: u64,
    /// How long clients hand in webhooks, in seconds.
    pub load_secs: f64,
    /// What stays the same during the run.
    pub settings: RunSettings,
    /// The faults, in the order in which they begin.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Plan {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let RunSettings {
            sender_count,
            destination_count,
            webhooks_per_sec,
            calls_per_sec,
            ttl_secs,
            repeat_window_secs,
            ordered,
            pulls_list,
            slots,
            max_pending,
            max_batch,
        } = &self.settings;
        writeln!(
            formatter,
            "seed {}: {:.0} s, {sender_count} senders, {destination_count} destinations that take {calls_per_sec:.0} a \
             second, {webhooks_per_sec:.0} webhooks a second each, time to live {ttl_secs:.2} s, window \
             {repeat_window_secs:.2} s, ordered {ordered}, lists asked for {pulls_list}, {slots} slots, \
             {max_pending} held, {max_batch} in a call",
            self.seed, self.load_secs
        )?;
        self.faults.iter().try_for_each(|fault| writeln!(formatter, "  {fault}"))
    }
}
