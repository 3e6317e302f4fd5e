//! Containers that hold and order what the policy looks through, so that it need not look at all of it after every
//! input. They decide nothing and know no figure: when a thing is due, and what it is grouped by, the policy says.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A time that can be ordered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Moment(pub f64);

impl Eq for Moment {}
impl PartialOrd for Moment {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Moment {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The middle one.
pub(crate) fn median(of: impl Iterator<Item = f64>) -> Option<f64> {
    let mut all: Vec<f64> = of.collect();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied()
}

/// Things that wait for a time each: a thing has one time at most.
#[derive(Debug)]
pub(crate) struct Timers<K> {
    by_time: BTreeSet<(Moment, K)>,
    times: BTreeMap<K, Moment>,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Timers { by_time: BTreeSet::new(), times: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> Timers<K> {
    /// Sets the time of a thing, instead of the one it had; none for a time without end.
    pub fn set(&mut self, key: K, at: f64) {
        self.remove(&key);
        if at < f64::INFINITY {
            self.by_time.insert((Moment(at), key.clone()));
            self.times.insert(key, Moment(at));
        }
    }

    pub fn remove(&mut self, key: &K) {
        if let Some(at) = self.times.remove(key) {
            self.by_time.remove(&(at, key.clone()));
        }
    }

    /// The earliest time.
    pub fn next(&self) -> f64 {
        self.by_time.first().map_or(f64::INFINITY, |(at, _)| at.0)
    }

    /// Takes out the earliest thing whose time has come.
    pub fn due(&mut self, now: f64) -> Option<K> {
        if self.by_time.first().is_none_or(|(at, _)| now < at.0) {
            return None;
        }
        let (_, key) = self.by_time.pop_first()?;
        self.times.remove(&key);
        Some(key)
    }
}

/// What the policy says of a webhook when it is held.
#[derive(Clone, Debug)]
pub(crate) struct Facts<G> {
    pub dest: u64,
    /// From then on it is out of time.
    pub late_at: f64,
    /// From then on it may not be sent any more; at once, for a time that is past.
    pub spent_at: f64,
    /// Until then it may not be sent yet.
    pub own_at: f64,
    /// Those of one group differ only by what they are ordered by, and by their place.
    pub group: G,
    pub target_at: f64,
}

/// Webhooks of one destination and group that may be sent as far as they themselves decide it.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// By target time, then place.
    pub by_target: BTreeSet<(Moment, u64)>,
    /// Ids by place: the order in which they were held.
    pub by_place: BTreeMap<u64, u64>,
}

impl Queue {
    /// The place and id of the first by rank: of those whose target time is not before `at` the soonest; else, where
    /// `value` never falls with the target time, the one with the latest, or the first of all that are worth as much.
    pub fn first(&self, at: f64, value: impl Fn(u64) -> f64) -> Option<(u64, u64)> {
        let from = |at: Moment| self.by_target.range((at, 0)..).next();
        let with_id = |x: &(Moment, u64)| Some((x.1, *self.by_place.get(&x.1)?));
        if let Some(on_time) = from(Moment(at)) {
            return with_id(on_time);
        }
        let worth = |x: &(Moment, u64)| self.by_place.get(&x.1).map_or(0.0, |id| value(*id));
        let (first, last) = (self.by_target.first()?, self.by_target.last()?);
        let most = worth(last);
        if worth(first) == most {
            return with_id(first);
        }
        // Those before `low`, and it, are worth less; those from `high` on as much as the last.
        let (mut low, mut high) = (first.0.0, last.0.0);
        let before = self.by_target.range(..(last.0, 0)).next_back();
        let mut more = before.is_some_and(|x| worth(x) == most);
        // 60 halvings leave less than any two times differ by.
        for _ in 0..60 {
            let middle = low + (high - low) / 2.0;
            more = more && low < middle && middle < high;
            match from(Moment(middle)).filter(|_| more) {
                Some(x) if worth(x) == most => high = middle,
                Some(x) => low = x.0.0,
                None => break,
            }
        }
        from(Moment(high)).and_then(with_id)
    }
}

/// All webhooks that are held.
#[derive(Debug)]
pub(crate) struct Held<G> {
    next_place: u64,
    facts: BTreeMap<u64, (u64, Facts<G>)>,
    /// By destination, in the order in which they were held. One with nothing held has no entry.
    lines: BTreeMap<u64, BTreeMap<u64, u64>>,
    lates: Timers<u64>,
    spents: Timers<u64>,
    owns: Timers<u64>,
    late: BTreeSet<(u64, u64, u64)>,
    spent: BTreeSet<(u64, u64, u64)>,
    /// By destination and group, where any may be sent.
    pub ready: BTreeMap<u64, BTreeMap<G, Queue>>,
    /// Destinations whose line began or ended, or whose ready ones changed, since the policy asked.
    pub changed: BTreeSet<u64>,
}

impl<G> Default for Held<G> {
    fn default() -> Self {
        Held {
            next_place: 0,
            facts: BTreeMap::new(),
            lines: BTreeMap::new(),
            lates: Timers::default(),
            spents: Timers::default(),
            owns: Timers::default(),
            late: BTreeSet::new(),
            spent: BTreeSet::new(),
            ready: BTreeMap::new(),
            changed: BTreeSet::new(),
        }
    }
}

impl<G: Ord + Clone> Held<G> {
    /// Holds a webhook behind all others, or anew in its old place if it is held.
    pub fn put(&mut self, id: u64, facts: Facts<G>) {
        let place = match self.facts.get(&id) {
            Some((place, _)) => *place,
            None => self.next_place,
        };
        self.take(id);
        self.next_place = self.next_place.max(place + 1);
        self.lates.set(id, facts.late_at);
        self.spents.set(id, facts.spent_at);
        self.owns.set(id, facts.own_at);
        self.lines.entry(facts.dest).or_default().insert(place, id);
        self.changed.insert(facts.dest);
        self.facts.insert(id, (place, facts));
    }

    /// Takes a webhook out.
    pub fn take(&mut self, id: u64) {
        let Some((place, f)) = self.facts.remove(&id) else { return };
        self.lates.remove(&id);
        self.spents.remove(&id);
        self.owns.remove(&id);
        self.late.remove(&(f.dest, place, id));
        self.spent.remove(&(f.dest, place, id));
        if let Some(line) = self.lines.get_mut(&f.dest) {
            line.remove(&place);
            if line.is_empty() {
                self.lines.remove(&f.dest);
            }
        }
        if let Some(groups) = self.ready.get_mut(&f.dest) {
            if let Some(q) = groups.get_mut(&f.group) {
                q.by_target.remove(&(Moment(f.target_at), place));
                q.by_place.remove(&place);
                if q.by_place.is_empty() {
                    groups.remove(&f.group);
                }
            }
            if groups.is_empty() {
                self.ready.remove(&f.dest);
            }
        }
        self.changed.insert(f.dest);
    }

    /// Moves on what a time has come for.
    pub fn pass(&mut self, now: f64) {
        while let Some(id) = self.lates.due(now) {
            let (place, f) = &self.facts[&id];
            self.late.insert((f.dest, *place, id));
        }
        while let Some(id) = self.spents.due(now) {
            let (place, f) = &self.facts[&id];
            self.spent.insert((f.dest, *place, id));
        }
        while let Some(id) = self.owns.due(now) {
            let (place, f) = &self.facts[&id];
            let q = self.ready.entry(f.dest).or_default().entry(f.group.clone()).or_default();
            q.by_target.insert((Moment(f.target_at), *place));
            q.by_place.insert(*place, id);
            self.changed.insert(f.dest);
        }
    }

    /// The first webhook, by destination and place, that is out of time, and the first that is spent.
    pub fn first_late(&self) -> Option<u64> {
        self.late.first().map(|x| x.2)
    }

    pub fn first_spent(&self) -> Option<u64> {
        self.spent.first().map(|x| x.2)
    }

    /// When the next one is late, spent or may be sent.
    pub fn next(&self) -> f64 {
        self.lates.next().min(self.spents.next()).min(self.owns.next())
    }

    pub fn has(&self, id: u64) -> bool {
        self.facts.contains_key(&id)
    }

    pub fn any_for(&self, dest: u64) -> bool {
        self.lines.contains_key(&dest)
    }

    /// How many of a destination may be sent.
    pub fn waiting(&self, dest: u64) -> usize {
        self.ready.get(&dest).into_iter().flat_map(|groups| groups.values()).map(|q| q.by_place.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// All of them, by destination and place.
    pub fn ids(&self) -> impl Iterator<Item = &u64> {
        self.lines.values().flat_map(|l| l.values())
    }
}

/// Destinations with something to send, by whether and when one of their routes takes a call.
#[derive(Debug, Default)]
pub(crate) struct Gates {
    open: BTreeSet<u64>,
    opens: Timers<u64>,
    again: Timers<u64>,
}

impl Gates {
    /// A destination has a route that takes a call now; another one opens at `next`; and all of it is to be looked
    /// at again at `again`.
    pub fn set(&mut self, dest: u64, open: bool, next: f64, again: f64) {
        if open {
            self.open.insert(dest);
        } else {
            self.open.remove(&dest);
        }
        self.opens.set(dest, next);
        self.again.set(dest, again);
    }

    /// Takes out a destination that is to be looked at again.
    pub fn due(&mut self, now: f64) -> Option<u64> {
        self.opens.due(now).or_else(|| self.again.due(now))
    }

    /// When the next route opens.
    pub fn next(&self) -> f64 {
        self.opens.next()
    }

    pub fn open(&self) -> &BTreeSet<u64> {
        &self.open
    }

    /// Those that are open were looked at, and nothing can be sent until something changes.
    pub fn seen(&mut self) {
        self.open.clear();
    }
}

/// Things in two sets each, by kind.
#[derive(Debug)]
pub(crate) struct Kinds<K>(BTreeMap<K, [BTreeSet<K>; 2]>);

impl<K> Default for Kinds<K> {
    fn default() -> Self {
        Kinds(BTreeMap::new())
    }
}

impl<K: Ord + Clone> Kinds<K> {
    /// Which of its kind's sets a thing is in from now on.
    pub fn set(&mut self, kind: &K, key: &K, is_in: [bool; 2]) {
        if !self.0.contains_key(kind) {
            self.0.insert(kind.clone(), Default::default());
        }
        let sets = self.0.get_mut(kind).into_iter().flatten();
        for (set, is_in) in sets.zip(is_in) {
            if !is_in {
                set.remove(key);
            } else if !set.contains(key) {
                set.insert(key.clone());
            }
        }
    }

    /// The first of all things in the set that `which` names for each kind.
    pub fn first(&self, which: impl Fn(&K) -> Option<usize>) -> Option<K> {
        let firsts = self.0.iter().filter_map(|(kind, sets)| sets.get(which(kind)?)?.first());
        firsts.min().cloned()
    }
}

#[cfg(test)]
mod tests;
