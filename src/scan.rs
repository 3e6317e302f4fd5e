//! The indexes against plain scans of all that is held, before every rule that fires on random days.

use super::*;
use proptest::prelude::*;

/// Held: handed in or back, and neither out nor over.
fn held(l: &Logic) -> Vec<(u64, u64)> {
    let mut all: Vec<(u64, u64)> = l.held.ids().map(|id| (l.webhooks[id].dest, *id)).collect();
    let out = l.webhooks.iter().filter(|(_, w)| w.out.is_some()).count();
    assert_eq!(all.len() + out, l.webhooks.len(), "each webhook is either held or out");
    all.sort_by_key(|x| x.0);
    all
}

fn may_repeat(l: &Logic, w: &Webhook, zone: &str) -> bool {
    let (Some(t), Some((first, _))) = (l.types.get(&w.event_type), &w.ran) else { return w.ran.is_none() };
    let known = t.effect != RepeatSafety::Tokened || t.known_by_all || **first == *zone;
    known && l.now < l.repeat_until(w)
}

fn able(l: &Logic, id: u64) -> bool {
    let w = &l.webhooks[&id];
    l.now >= w.not_before.max(l.turn_at(id, w))
}

fn late(l: &Logic) -> Option<u64> {
    held(l).into_iter().map(|x| x.1).find(|id| l.now >= l.webhooks[id].ttl_at - 0.005)
}

fn spent(l: &Logic) -> Option<u64> {
    let over = |id: &u64| {
        let w = &l.webhooks[id];
        l.now >= l.repeat_until(w) || w.tries >= l.caps.attempts || !l.types.contains_key(&w.event_type)
    };
    held(l).into_iter().map(|x| x.1).find(over)
}

fn sendable(l: &Logic) -> Option<(u64, Name)> {
    let mut best: Option<(Rank, u64, Name)> = None;
    for (dest, id) in held(l) {
        let routes = l.routes_now(dest);
        let Some(first) = routes.first() else { continue };
        let w = &l.webhooks[&id];
        let rank = l.rank(w, Logic::slow_end(&l.routes[*first].samples));
        let fits = |ep: &&&Name| may_repeat(l, w, &l.routes[**ep].zone);
        if let Some(ep) = routes.iter().find(fits).filter(|_| able(l, id))
            && best.as_ref().is_none_or(|b| rank < b.0)
        {
            best = Some((rank, id, (*ep).clone()));
        }
    }
    best.map(|b| (b.1, b.2))
}

fn trial(l: &Logic) -> Option<(u64, Name)> {
    let all = held(l);
    for (dest, eps) in &l.dests {
        for ep in eps {
            let r = &l.routes[ep];
            if !r.open || l.free_at(ep, r) > l.now {
                continue;
            }
            let fits =
                |x: &&(u64, u64)| x.0 == *dest && able(l, x.1) && may_repeat(l, &l.webhooks[&x.1], &r.zone);
            let harm = |x: &&(u64, u64)| {
                let effect = l.types.get(&l.webhooks[&x.1].event_type).map(|t| t.effect);
                (effect == Some(RepeatSafety::AtMostOnce), effect == Some(RepeatSafety::Tokened))
            };
            if let Some(x) = all.iter().filter(fits).min_by_key(harm) {
                return Some((x.1, ep.clone()));
            }
        }
    }
    None
}

fn next(l: &Logic) -> f64 {
    let mut at = if l.watch.ask && !l.watch.watching { l.watch.ask_at } else { f64::INFINITY };
    for (dest, id) in held(l) {
        let eps = l.dests.get(&dest).into_iter().flatten();
        let times = eps.map(|ep| l.free_at(ep, &l.routes[ep])).filter(|t| *t > l.now);
        let w = &l.webhooks[&id];
        let own = w.not_before.max(l.turn_at(id, w));
        let route = if own > l.now { own } else { times.fold(f64::INFINITY, f64::min) };
        at = at.min(l.repeat_until(w)).min(w.ttl_at - 0.005).min(route);
    }
    if l.busy >= l.caps.slots && !l.held.is_empty() && l.caps.may_call_off {
        at = l.patience_ends().map(|c| c.0).fold(at, f64::min);
    }
    at.max(l.now + 0.01)
}

fn spare(l: &Logic) -> Option<Name> {
    let all = held(l);
    let is = |r: &Route| {
        let (until, good) = l.thrift.get(&r.kind).copied().unwrap_or((l.now, 0));
        let rare = good < 30 && r.call_gap > l.idle_for;
        r.links > r.calls.len() && (l.now < until || rare) && !all.iter().any(|x| x.0 == r.dest)
    };
    l.routes.iter().find(|(_, r)| is(r)).map(|x| x.0.clone())
}

#[derive(Default)]
struct Desk {
    out: Vec<(u64, String, f64)>,
}

impl ActionSink for Desk {
    fn start_attempt(&mut self, webhook_id: u64, endpoint: &str, _: f64) {
        self.out.push((webhook_id, endpoint.into(), 0.0));
    }
    fn cancel_attempt(&mut self, _: u64, _: u32) {}
    fn reject(&mut self, _: u64, _: f64) {}
    fn dead_letter(&mut self, _: u64) {}
    fn schedule_wake(&mut self, _: f64, _: u64) {}
    fn watch_list(&mut self, _: bool) {}
    fn close_idle_connections(&mut self, _: &str) {}
    fn log(&mut self, text: &str) {
        panic!("{text}");
    }
}

/// Goes through the rules as `settle` does, with each index compared before each firing.
fn settle(l: &mut Logic, desk: &mut Desk) {
    let picked = |p: Option<Pick>| match p {
        Some(Pick::Webhook(id)) => Some((id, Name::from(""))),
        Some(Pick::Send(id, ep)) => Some((id, ep)),
        Some(Pick::Route(ep)) => Some((0, ep)),
        _ => None,
    };
    loop {
        l.refresh();
        let alone = |id: Option<u64>| id.map(|id| (id, Name::from("")));
        assert_eq!(picked(l.out_of_time()), alone(late(l)), "out of time");
        if late(l).is_none() {
            assert_eq!(picked(l.spent()), alone(spent(l)), "spent");
        }
        if late(l).is_none() && spent(l).is_none() {
            assert_eq!(picked(l.trial_due()), trial(l), "trial");
            assert_eq!(picked(l.sendable()), sendable(l), "send");
            assert_eq!(picked(l.spare_links()), spare(l).map(|ep| (0, ep)), "links");
            let (indexed, scanned) = (l.next_at(), next(l));
            assert!(indexed == scanned, "next wake {indexed}, by scan {scanned}");
        }
        let found = RULES.iter().find_map(|r| (r.when)(l).map(|p| (r, p)));
        match found {
            Some((rule, pick)) => (rule.then)(l, pick, desk),
            None => break,
        }
    }
    if l.busy < l.caps.slots {
        l.gates.seen();
    }
}

fn open(ask: bool, slots: usize) -> Logic {
    let mut l = Logic::new(0.0, 5, 1, 3);
    let types = [
        ("idem", RepeatSafety::Idempotent, false, false, true),
        ("token", RepeatSafety::Tokened, false, false, false),
        ("once", RepeatSafety::AtMostOnce, false, false, true),
        ("line", RepeatSafety::Tokened, true, true, true),
    ];
    for (name, effect, known_by_all, ordered, value_halves) in types {
        let (target_latency, ttl, value, late_value_share, repeat_window) = (1.0, 6.0, 1.0, 0.3, 4.0);
        let event_type = EventType {
            target_latency,
            ttl,
            value,
            late_value_share,
            value_halves,
            effect,
            repeat_window,
            known_by_all,
            ordered,
        };
        l.types.insert(name.into(), event_type);
    }
    l.kinds.insert("plain".into(), (1, false));
    l.kinds.insert("apart".into(), (3, true));
    l.customers.insert("c".into(), (2.0, 0.5, VecDeque::new()));
    (l.caps.slots, l.caps.holds, l.caps.attempts, l.caps.may_call_off) = (slots, 60, 5, true);
    l.cold = Cold { initial_share: 0.3, warm_up: 4.0, overload_multiple: 1.5, overload_span: 1.5 };
    (l.idle_for, l.key_rest, l.watch.ask, l.watch.within) = (2.0, 0.4, ask, 5.0);
    l
}

fn list(l: &mut Logic, mode: ListUpdate, gone: usize) {
    let names: Vec<String> = (0..10).map(|i| format!("e{i}")).collect();
    let now = l.now;
    let entry = |i: usize| ListedEndpoint {
        endpoint: &names[i],
        zone: ["x", "y"][i % 2],
        destination_kind: if i < 6 { "plain" } else { "apart" },
        destination: [1, 1, 1, 2, 2, 3, 4, 4, 5, 5][i],
        ready: i != gone,
        rate_limit: [6.0, 20.0, 0.0][i % 3],
        started_at: [0.0, now - 1.0][i % 2],
    };
    let entries: Vec<ListedEndpoint> =
        (0..10).filter(|i| mode != ListUpdate::Changes || *i == gone).map(entry).collect();
    l.list(l.now, mode, &entries);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn indexes_find_what_scans_find(
        ask in any::<bool>(), slots in 1_usize..10,
        steps in prop::collection::vec((0_u8..12, 0_usize..1_000, 0.0..0.3_f64), 20..300),
    ) {
        let (mut l, mut desk, mut id) = (open(ask, slots), Desk::default(), 0);
        list(&mut l, ListUpdate::Remembered, 99);
        settle(&mut l, &mut desk);
        for (what, n, after) in steps {
            let now = l.now + if n % 3 == 0 { 0.0 } else { after };
            l.now = now;
            match what {
                0..=5 => {
                    id += 1;
                    let event_type = ["idem", "token", "once", "line", "token", "idem", "token", "unknown"][n % 8];
                    let key = (n % 8 == 3).then_some(["a", "b"][n % 2]);
                    let left = if n % 11 == 0 { 0.3 } else { 6.0 };
                    l.webhook(now, id, event_type, 1 + (n as u64 % 6).min(4), key, (n % 7 == 0).then_some("c"), left);
                    if n % 13 == 0 {
                        l.resumed(id, n as u32 % 5, (n % 2 == 0).then_some(("x", now - 1.0)));
                    }
                }
                6..=8 if !desk.out.is_empty() => {
                    let (webhook, ep, _) = desk.out.remove(n % desk.out.len());
                    let outcome = match n % 9 {
                        0 => Outcome::Failed,
                        1 => Outcome::Full(0.0),
                        2 => Outcome::Full(0.7),
                        3 => Outcome::TimedOut,
                        4 => Outcome::ConnectFailed,
                        5 => Outcome::Reset,
                        6 => Outcome::Moot(true),
                        _ => Outcome::Delivered,
                    };
                    let report = (n % 4 == 0).then_some((0.4, 8.0));
                    l.outcome(now, webhook, &ep, outcome, 0.1, outcome == Outcome::Delivered, report);
                }
                9 => list(&mut l, [ListUpdate::Changes, ListUpdate::Whole, ListUpdate::Refused][n % 3], n % 10),
                10 => l.withdrawn(now, 1 + n as u64 % id.max(1)),
                _ => l.woken(now, 0),
            }
            settle(&mut l, &mut desk);
        }
    }
}
