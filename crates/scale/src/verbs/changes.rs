//! The verb `changes`: the list changes an hour's worth of times, one after another, then in a burst; how long until each
//! change is in force on every sender, and what control costs meanwhile.

use crate::error::Error;
use crate::fleet::{Fleet, Plan};
use crate::guard::{Guard, Limits};
use crate::interrupt::Stop;
use crate::standins::list_service::Endpoint;
use crate::standins::receivers::Behaviour;
use crate::verbs::report::{progress, quantiles};
use bpaf::Bpaf;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// A change has to be in force everywhere by then.
const LIMIT: Duration = Duration::from_secs(7);
/// Watches stand everywhere by then.
const WATCHING: Duration = Duration::from_secs(30);

/// What `changes` is told.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The built program
    #[bpaf(long, argument("PATH"), fallback(PathBuf::from("target/release/scalebarrow")))]
    pub program: PathBuf,
    /// Senders
    #[bpaf(long, argument("N"), fallback(10), display_fallback, guard(|n| (1..=40).contains(n), "1 to 40"))]
    pub senders: usize,
    /// Senders beside them that share processes of the run's own
    #[bpaf(long, argument("N"), fallback(0), display_fallback, guard(|n| *n <= 520, "520 at most"))]
    pub hollow: usize,
    /// Destinations listed
    #[bpaf(long, argument("N"), fallback(2000), display_fallback, guard(|n| *n > 0, "above 0"))]
    pub destinations: u32,
    /// Seconds in which control without any change is measured first
    #[bpaf(long, argument("SECONDS"), fallback(10.0), display_fallback, guard(|s| *s >= 0.0, "0 or more"))]
    pub idle: f64,
    /// Changes one after another: an hour's worth is 34
    #[bpaf(long, argument("N"), fallback(34), display_fallback)]
    pub hour: u32,
    /// Seconds between two of them
    #[bpaf(long, argument("SECONDS"), fallback(1.0), display_fallback, guard(|s| *s >= 0.0, "0 or more"))]
    pub pause: f64,
    /// Changes at once after that
    #[bpaf(long, argument("N"), fallback(100), display_fallback)]
    pub burst: u32,
    /// Senders ask for the list; otherwise an agent beside each is sent it
    #[bpaf(long)]
    pub ask: bool,
}

/// What control has cost all senders so far.
#[derive(Debug, Clone, Copy)]
struct Cost {
    at: Instant,
    bytes: u64,
    calls: u64,
    processor: f64,
}

/// Plays it and prints delays and costs; an error where a change was late.
pub fn run(options: &Options, stop: &Stop) -> Result<(), Error> {
    let guard = Guard::start(Limits::default(), stop)?;
    let plan = Plan {
        senders: options.senders,
        hollow: options.hollow,
        behaviour: Behaviour::Serve(Duration::ZERO),
        asks: options.ask,
        ..Plan::one(options.program.clone(), options.destinations, 300)
    };
    let (fleet, _) = Fleet::start(&plan, &guard)?;
    let senders = fleet.listen.len();
    if !fleet.wait(WATCHING, |fleet| Ok(fleet.list(|list, _| list.watch_count())? == senders))? {
        return Err(Error::Failed("not every sender watches the list".into()));
    }
    let idle = cost(&fleet)?;
    stop.sleep(Duration::from_secs_f64(options.idle));
    tell_cost("no change", &fleet, idle, 0)?;

    let bar = progress(u64::from(options.hour), "changes");
    let before = cost(&fleet)?;
    for number in 0..options.hour {
        change(&fleet, number)?;
        bar.inc(1);
        stop.sleep(Duration::from_secs_f64(options.pause));
        guard.check()?;
    }
    bar.finish_and_clear();
    let hour = in_force(&fleet, "one after another", options.hour, before);

    let before = cost(&fleet)?;
    for number in 0..options.burst {
        change(&fleet, options.hour + number)?;
    }
    let burst = in_force(&fleet, "in a burst", options.burst, before);
    hour.and(burst)
}

/// One endpoint drains, or serves again.
fn change(fleet: &Fleet, number: u32) -> Result<(), Error> {
    let count = fleet.endpoints.len();
    let line = &fleet.endpoints[number as usize % count];
    let round = number as usize / count;
    let health = if round.is_multiple_of(2) { "DRAINING" } else { "SERVING" };
    let line = Endpoint { health, ..line.clone() };
    fleet.list(move |list, actions| list.update_endpoints(vec![line], actions))
}

/// Waits until the last change is in force everywhere, and tells how long each took.
fn in_force(fleet: &Fleet, what: &str, changes: u32, before: Cost) -> Result<(), Error> {
    if changes == 0 {
        return Ok(());
    }
    let senders = fleet.listen.len();
    let all =
        fleet.wait(2 * LIMIT, |fleet| Ok(fleet.list(|list, _| list.up_to_date_senders())? == senders))?;
    let mut delays = fleet.list(|list, _| list.take_propagation_delays())?;
    let count = delays.len();
    tell_cost(what, fleet, before, changes)?;
    let Some([p50, p99, worst]) = quantiles(&mut delays) else {
        return Err(Error::Broken(format!("{what}: no change is in force on any sender")));
    };
    println!(
        "{what}: {changes} changes in force on {senders} senders: p50 {p50:.3} s, p99 {p99:.3} s, worst {worst:.3} s"
    );
    let wanted = changes as usize * senders;
    if !all || count != wanted {
        return Err(Error::Broken(format!("{what}: {count} of {wanted} changes are in force")));
    }
    if worst > LIMIT.as_secs_f64() {
        return Err(Error::Broken(format!(
            "{what}: a change took {worst:.3} s to be in force, {LIMIT:?} allowed"
        )));
    }
    Ok(())
}

fn cost(fleet: &Fleet) -> Result<Cost, Error> {
    let total = fleet.list(|list, _| list.total_traffic())?;
    let real: f64 = fleet.senders.iter().map(|sender| sender.processor_time()).sum();
    let hollow: f64 = fleet.hollow.iter().map(|group| group.processor_time()).sum();
    let processor = real + hollow;
    Ok(Cost { at: Instant::now(), bytes: total.list_bytes, calls: total.list_calls, processor })
}

fn tell_cost(what: &str, fleet: &Fleet, before: Cost, changes: u32) -> Result<(), Error> {
    let (after, senders) = (cost(fleet)?, fleet.listen.len() as f64);
    let seconds = (after.at - before.at).as_secs_f64();
    let (bytes, calls) = ((after.bytes - before.bytes) as f64, (after.calls - before.calls) as f64);
    let processor = after.processor - before.processor;
    println!(
        "{what}: a sender makes {:.2} list calls and is sent {:.0} B a second, at {:.3}% of a core",
        calls / senders / seconds,
        bytes / senders / seconds,
        processor / senders / seconds * 100.0
    );
    if changes > 0 {
        let each = senders * f64::from(changes);
        println!("{what}: {:.0} B and {:.0} us a sender and change", bytes / each, processor * 1e6 / each);
    }
    Ok(())
}
