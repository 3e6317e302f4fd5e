//! The verb `changes`: changes the endpoint list, first one change after another and then in a burst. It
//! measures how long each sender takes to apply a change, and what the list costs the senders meanwhile.

use crate::error::Error;
use crate::fleet::{Fleet, FleetPlan};
use crate::guard::{Guard, Limits};
use crate::interrupt::StopFlag;
use crate::standins::list_service::Endpoint;
use crate::standins::receivers::Behaviour;
use crate::verbs::report::{progress_bar, quantiles};
use bpaf::Bpaf;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How long a sender may take to apply a change.
const APPLY_LIMIT: Duration = Duration::from_secs(7);
/// How long it may take until every sender has a watch on the list.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Options of `changes`
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The built sender program
    #[bpaf(long, argument("PATH"), fallback(PathBuf::from("target/release/scalebarrow")))]
    pub program: PathBuf,
    /// Real senders, each a process of the program
    #[bpaf(long, argument("N"), fallback(10), display_fallback, guard(|n| (1..=40).contains(n), "1 to 40"))]
    pub senders: usize,
    /// Hollow senders, which share processes
    #[bpaf(long, argument("N"), fallback(0), display_fallback, guard(|n| *n <= 520, "520 at most"))]
    pub hollow: usize,
    /// Destinations in the endpoint list
    #[bpaf(long, argument("N"), fallback(2000), display_fallback, guard(|n| *n > 0, "above 0"))]
    pub destinations: u32,
    /// Seconds for which the cost without any change is measured first
    #[bpaf(long, argument("SECONDS"), fallback(10.0), display_fallback, guard(|s| *s >= 0.0, "0 or more"))]
    pub idle: f64,
    /// Changes one after another; a platform makes 34 in an hour
    #[bpaf(long, argument("N"), fallback(34), display_fallback)]
    pub hour: u32,
    /// Seconds between two of these changes
    #[bpaf(long, argument("SECONDS"), fallback(1.0), display_fallback, guard(|s| *s >= 0.0, "0 or more"))]
    pub pause: f64,
    /// Changes in the burst after that
    #[bpaf(long, argument("N"), fallback(100), display_fallback)]
    pub burst: u32,
    /// Let senders request the list; otherwise an agent beside each is sent it
    #[bpaf(long)]
    pub ask: bool,
}

/// What the list has cost all senders together, up to a point in time.
#[derive(Debug, Clone, Copy)]
struct ListCost {
    measured_at: Instant,
    list_bytes: u64,
    list_calls: u64,
    cpu_secs: f64,
}

/// Makes the changes and prints delays and costs. Returns an error if a change was applied late or not at
/// all.
pub fn run(options: &Options, stop: &StopFlag) -> Result<(), Error> {
    let guard = Guard::start(Limits::default(), stop)?;
    let plan = FleetPlan {
        sender_count: options.senders,
        hollow_count: options.hollow,
        behaviour: Behaviour::Serve(Duration::ZERO),
        pulls_list: options.ask,
        ..FleetPlan::single_sender(options.program.clone(), options.destinations, 300)
    };
    let (fleet, _) = Fleet::start(&plan, &guard)?;
    let sender_count = fleet.listen_addresses.len();
    if !fleet.wait_until(WATCH_TIMEOUT, |fleet| {
        Ok(fleet.with_list_service(|list, _| list.watch_count())? == sender_count)
    })? {
        return Err(Error::Failed("not every sender has a watch on the list".into()));
    }
    let idle_start = current_cost(&fleet)?;
    stop.sleep(Duration::from_secs_f64(options.idle));
    print_cost("no change", &fleet, idle_start, 0)?;

    let bar = progress_bar(u64::from(options.hour), "changes");
    let before = current_cost(&fleet)?;
    for number in 0..options.hour {
        make_change(&fleet, number)?;
        bar.inc(1);
        stop.sleep(Duration::from_secs_f64(options.pause));
        guard.check()?;
    }
    bar.finish_and_clear();
    let sequential_result = check_changes_applied(&fleet, "one after another", options.hour, before);

    let before = current_cost(&fleet)?;
    for number in 0..options.burst {
        make_change(&fleet, options.hour + number)?;
    }
    let burst_result = check_changes_applied(&fleet, "in a burst", options.burst, before);
    sequential_result.and(burst_result)
}

/// Makes one change: an endpoint drains, or serves again.
fn make_change(fleet: &Fleet, number: u32) -> Result<(), Error> {
    let count = fleet.endpoints.len();
    let entry = &fleet.endpoints[number as usize % count];
    let round = number as usize / count;
    let health = if round.is_multiple_of(2) { "DRAINING" } else { "SERVING" };
    let entry = Endpoint { health, ..entry.clone() };
    fleet.with_list_service(move |list, actions| list.update_endpoints(vec![entry], actions))
}

/// Waits until every sender has applied the last change, and prints how long each change took. Returns an
/// error if a change was applied late or not at all.
fn check_changes_applied(
    fleet: &Fleet, label: &str, change_count: u32, before: ListCost,
) -> Result<(), Error> {
    if change_count == 0 {
        return Ok(());
    }
    let sender_count = fleet.listen_addresses.len();
    let all_applied = fleet.wait_until(2 * APPLY_LIMIT, |fleet| {
        Ok(fleet.with_list_service(|list, _| list.up_to_date_senders())? == sender_count)
    })?;
    let mut delays_secs = fleet.with_list_service(|list, _| list.take_propagation_delays())?;
    let count = delays_secs.len();
    print_cost(label, fleet, before, change_count)?;
    let Some([p50, p99, worst]) = quantiles(&mut delays_secs) else {
        return Err(Error::Broken(format!("{label}: no sender applied any change")));
    };
    println!(
        "{label}: {change_count} changes in force on {sender_count} senders: p50 {p50:.3} s, p99 {p99:.3} s, worst {worst:.3} s"
    );
    let expected = change_count as usize * sender_count;
    if !all_applied || count != expected {
        return Err(Error::Broken(format!("{label}: {count} of {expected} changes were applied")));
    }
    if worst > APPLY_LIMIT.as_secs_f64() {
        return Err(Error::Broken(format!(
            "{label}: a sender took {worst:.3} s to apply a change, {APPLY_LIMIT:?} allowed"
        )));
    }
    Ok(())
}

/// What the list has cost all senders so far.
fn current_cost(fleet: &Fleet) -> Result<ListCost, Error> {
    let traffic = fleet.with_list_service(|list, _| list.total_traffic())?;
    let real_secs: f64 = fleet.senders.iter().map(|sender| sender.cpu_secs()).sum();
    let hollow_secs: f64 = fleet.hollow_senders.iter().map(|group| group.cpu_secs()).sum();
    let cpu_secs = real_secs + hollow_secs;
    Ok(ListCost {
        measured_at: Instant::now(),
        list_bytes: traffic.list_bytes,
        list_calls: traffic.list_calls,
        cpu_secs,
    })
}

/// Prints what the list has cost a sender on average since `before`, and for each change if there were any.
fn print_cost(label: &str, fleet: &Fleet, before: ListCost, change_count: u32) -> Result<(), Error> {
    let (after, sender_count) = (current_cost(fleet)?, fleet.listen_addresses.len() as f64);
    let secs = (after.measured_at - before.measured_at).as_secs_f64();
    let (list_bytes, list_calls) =
        ((after.list_bytes - before.list_bytes) as f64, (after.list_calls - before.list_calls) as f64);
    let cpu_secs = after.cpu_secs - before.cpu_secs;
    println!(
        "{label}: a sender makes {:.2} list calls and is sent {:.0} B a second, at {:.3}% of a core",
        list_calls / sender_count / secs,
        list_bytes / sender_count / secs,
        cpu_secs / sender_count / secs * 100.0
    );
    if change_count > 0 {
        let applied_changes = sender_count * f64::from(change_count);
        println!(
            "{label}: {:.0} B and {:.0} us a sender and change",
            list_bytes / applied_changes,
            cpu_secs * 1e6 / applied_changes
        );
    }
    Ok(())
}
