//! What the policy knows, as plain records: no decisions and no figures here.

use crate::RepeatSafety;
use crate::index::Timers;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

pub(crate) type Name = Rc<str>;

#[derive(Default)]
pub(crate) struct EventType {
    pub target_latency: f64,
    pub ttl: f64,
    pub value: f64,
    pub late_value_share: f64,
    pub value_halves: bool,
    pub effect: RepeatSafety,
    pub repeat_window: f64,
    pub known_by_all: bool,
    pub ordered: bool,
}

#[derive(Default)]
pub(crate) struct Webhook {
    pub event_type: Name,
    pub dest: u64,
    pub key: Option<Name>,
    pub over: bool,
    pub target_at: f64,
    pub ttl_at: f64,
    pub tries: u32,
    pub out: Option<Name>,
    /// First attempt that may have run: the zone of its endpoint and when it was sent.
    pub ran: Option<(Name, f64)>,
    pub not_before: f64,
    pub ended: bool,
}

#[derive(Default)]
pub(crate) struct Call {
    pub at: f64,
    pub trial: bool,
    pub judged: bool,
    pub called_off: bool,
    pub idle: bool,
    pub webhooks: BTreeSet<u64>,
}

pub(crate) struct Sample {
    pub at: f64,
    pub good: bool,
    pub incident: bool,
    pub took: f64,
}

#[derive(Default)]
pub(crate) struct Route {
    pub dest: u64,
    pub kind: Name,
    pub zone: Name,
    pub batch: usize,
    pub apart: bool,
    pub rate: f64,
    pub way: f64,
    pub ready: bool,
    pub window: f64,
    pub calls: Vec<Call>,
    pub samples: VecDeque<Sample>,
    /// What the samples say: how long answers take at the slow end, and the score.
    pub slow: f64,
    pub score: f64,
    pub bad_row: u32,
    /// When the first call of the row, or of the outage, went wrong.
    pub bad_since: f64,
    pub open: bool,
    pub trial_at: f64,
    pub cooling: f64,
    /// Refused, while others of its destination could be asked: left to them until then.
    pub aside: f64,
    /// When its last call ended, if it did not go well.
    pub unwell_at: Option<f64>,
    pub answered: f64,
    pub used: f64,
    /// When the last call went out, and how long after the one before.
    pub call_at: f64,
    pub call_gap: f64,
    /// Connections are short: the window stays as it is until then.
    pub short_until: f64,
    /// Connections open at most, and when none could be had.
    pub links: usize,
    pub no_link_at: Option<f64>,
    /// Back from an outage that this sender saw, or still in one, and when it answered again.
    pub outage: bool,
    /// Its last start, where the list tells one.
    pub born: f64,
    pub back: Option<f64>,
}

/// What shares a limit, waits and outages: a destination, or one route of it where routes are apart.
pub(crate) type Scope = (u64, Option<Name>);
/// What decides how held webhooks of a destination are treated alike: event type, whether beyond their
/// customer's share, and the zone that alone knows them for a repeat.
pub(crate) type Group = (Name, bool, Option<Name>);

/// Late or not, the value with its sign turned, the target time: least first.
pub(crate) type Rank = (u8, f64, f64);

/// Most calls out at once, webhooks held and attempts for one, and whether calls may be called off.
#[derive(Default)]
pub(crate) struct Caps {
    pub slots: usize,
    pub holds: usize,
    pub attempts: u32,
    pub may_call_off: bool,
}

/// When routes have been unused for the time in which they age, those that have, and when they are looked at.
#[derive(Default)]
pub(crate) struct Ages {
    pub timers: Timers<Name>,
    pub due: BTreeSet<Name>,
    pub next: f64,
}

/// How the list is followed.
#[derive(Default)]
pub(crate) struct Watch {
    /// It has to be asked for, within which time, and after which pause at most once a call has failed.
    pub ask: bool,
    pub within: f64,
    pub pause: f64,
    pub watching: bool,
    pub ask_at: f64,
    pub refusals: u32,
}

#[derive(Default)]
pub(crate) struct Meter {
    pub wait_until: f64,
    pub sent: VecDeque<f64>,
    /// Its share of the limit, and the least that refusals leave of it.
    pub share: f64,
    pub least: f64,
    pub full_row: u32,
    pub full_since: f64,
    /// When its limit was last full though it takes calls.
    pub full_at: f64,
    pub limits: VecDeque<(f64, f64)>,
    pub left: Option<(f64, f64)>,
    /// When this sender's part of the cold budget has room for the next call.
    pub cold_due: f64,
    /// When a call was last delivered there.
    pub well_at: Option<f64>,
    /// The calls that failed since.
    pub failing: Option<Failing>,
}

/// Calls that failed one after another, in whatever way, with none delivered between.
#[derive(Clone, Copy)]
pub(crate) struct Failing {
    /// When the first of them failed.
    pub since: f64,
    /// It, and those that were sent since then.
    pub calls: u32,
    /// Of these, ones that were not turned away.
    pub lost: u32,
}

/// What a destination takes after an outage: `from` of its capacity, all of it after `warm` seconds. It falls over when
/// sent more than `multiple` times what it can do for `span` seconds.
#[derive(Clone, Copy)]
pub(crate) struct Cold {
    pub initial_share: f64,
    pub warm_up: f64,
    pub overload_multiple: f64,
    pub overload_span: f64,
}

impl Cold {
    /// The share of its capacity that it has so many seconds after its return.
    pub fn part(&self, since: f64) -> f64 {
        (self.initial_share + (1.0 - self.initial_share) * since / self.warm_up).min(1.0)
    }
}

impl Default for Cold {
    fn default() -> Self {
        Cold { initial_share: 1.0, warm_up: 0.0, overload_multiple: f64::INFINITY, overload_span: 1.0 }
    }
}

/// What a rule's condition found for its effect to act on.
pub(crate) enum Pick {
    Webhook(u64),
    Send(u64, Name),
    Route(Name),
    At(f64),
    Any,
}
