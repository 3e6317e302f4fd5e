//! Carries out a plan's faults: each sender's in a thread of its own, one after another, those of the others by the clock.

use super::clients::Door;
use super::plan::{Event, Kind, Plan};
use super::proxy::Mode;
use super::testbed::{SERVICE, Subject, Testbed};
use crate::error::Error;
use crate::interrupt::Stop;
use crate::standins::id::EventType;
use crate::standins::judge::Judge;
use crate::standins::receivers::{AnswerPath, Behaviour, Receivers};
use crate::standins::server::ServerActions;
use nix::sys::signal::Signal;
use scalebarrow_fault_control::{ControlWord, FULL_RATE};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// From SIGTERM to SIGKILL.
const TERM_LIMIT: Duration = Duration::from_millis(3700);
/// From the end of a process to its next start.
const START_PAUSE: Duration = Duration::from_millis(600);
const LOOK: Duration = Duration::from_millis(5);
/// One call in so many fails, and one comes short.
const SYSTEM_CALL_RATE: u64 = FULL_RATE / 40;
/// One reading of the clock in so many is followed by a hold-up.
const HOLD_UP_RATE: u64 = FULL_RATE / 25;
/// So long before and after a change on the way it is uncertain which answers arrive.
const TAKES_HOLD: Duration = Duration::from_millis(50);
/// Between two configurations in a row.
const RELOAD_PAUSE: Duration = Duration::from_millis(15);

/// When something begins or ends.
struct Step {
    at: f64,
    event: Event,
    begins: bool,
}

/// The begins and ends of events, in order.
fn steps(events: impl Iterator<Item = Event>) -> Vec<Step> {
    let both = |event: Event| {
        let ends = Step { at: event.at + event.lasts, event, begins: false };
        [Step { at: event.at, event, begins: true }, ends]
    };
    let mut steps: Vec<Step> = events.flat_map(both).collect();
    steps.sort_by(|a, b| a.at.total_cmp(&b.at));
    steps
}

/// Carries out the faults of receivers, of the list service and of the ways to the endpoints.
pub fn of_surroundings(testbed: &Testbed, plan: &Plan, began: Instant, stop: &Stop) -> Result<(), Error> {
    let events = plan.events.iter().copied().filter(|event| !event.kind.is_of_sender());
    for step in steps(events) {
        stop.sleep_until(began + Duration::from_secs_f64(step.at));
        surround(testbed, &step.event, step.begins)?;
    }
    Ok(())
}

fn surround(testbed: &Testbed, event: &Event, begins: bool) -> Result<(), Error> {
    let (target, amount) = (event.target, event.amount);
    let behaviour = |behaviour: Behaviour| begins.then_some(behaviour);
    match event.kind {
        Kind::Hang => outage(testbed, target, behaviour(Behaviour::Silent)),
        Kind::Refuse => outage(testbed, target, behaviour(Behaviour::Refuse)),
        Kind::Fail => outage(testbed, target, behaviour(Behaviour::Fail)),
        Kind::HangUp => outage(testbed, target, behaviour(Behaviour::HangUp)),
        Kind::Crash => crash(testbed, target, begins),
        Kind::Wait => {
            let wait = behaviour(Behaviour::RetryAfter(amount));
            with_receivers(testbed, move |receivers, _| {
                receivers.set_destination_behaviour(target as u32, wait)
            })
        }
        Kind::Late => endpoint(testbed, target, behaviour(Behaviour::Serve(Duration::from_secs_f64(amount)))),
        Kind::Half => endpoint(testbed, target, behaviour(Behaviour::PartialAnswer)),
        Kind::Noise => endpoint(testbed, target, behaviour(Behaviour::MalformedAnswer)),
        Kind::EndKept => endpoint(testbed, target, behaviour(Behaviour::ServeAndClose)),
        Kind::Drain => drain(testbed, target, begins),
        Kind::DiscoverySilent => {
            let told = testbed.list.with_service(move |list, _| list.set_silent(begins));
            told.ok_or_else(|| Error::Failed("the list service has ended".into()))
        }
        Kind::Cut => way(testbed, target, Mode::Cut, begins),
        Kind::LoseAnswers => way(testbed, target, Mode::LoseAnswers, begins),
        Kind::LateConnect => way(testbed, target, Mode::LateConnect, begins),
        Kind::ResetAll if begins => reset_way(testbed, target),
        _ => Ok(()),
    }
}

fn with_receivers(
    testbed: &Testbed, task: impl FnOnce(&mut Receivers, &mut ServerActions) + Send + 'static,
) -> Result<(), Error> {
    testbed.receivers.with_service(task).ok_or_else(|| Error::Failed("the receivers have ended".into()))
}

/// A destination goes out and does this, or is back.
fn outage(testbed: &Testbed, dest: usize, behaviour: Option<Behaviour>) -> Result<(), Error> {
    let (dest, rate) = (dest as u32, testbed.rate);
    with_receivers(testbed, move |receivers, _| match behaviour {
        Some(behaviour) => receivers.begin_outage(dest, behaviour, rate),
        None => receivers.end_outage(dest),
    })
}

/// The receivers of a destination end, or start anew, which the list tells as their birth.
fn crash(testbed: &Testbed, dest: usize, begins: bool) -> Result<(), Error> {
    outage(testbed, dest, begins.then_some(Behaviour::Silent))?;
    let own: Vec<_> = testbed.endpoints_of(dest).into_iter().map(|number| testbed.at[number]).collect();
    with_receivers(testbed, move |_, actions| {
        own.iter()
            .for_each(|at| if begins { actions.close_listener(*at) } else { actions.open_listener(*at) });
    })?;
    if begins {
        return Ok(());
    }
    let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |now| now.as_secs_f64() * 1e3);
    let lines = testbed.endpoints_of(dest).into_iter().map(|number| testbed.endpoints[number].clone());
    let lines =
        lines.map(|line| crate::standins::list_service::Endpoint { started_at_ms: born_ms.floor(), ..line });
    let lines: Vec<_> = lines.collect();
    let told = testbed.list.with_service(move |list, actions| list.update_endpoints(lines, actions));
    told.ok_or_else(|| Error::Failed("the list service has ended".into()))
}

fn endpoint(testbed: &Testbed, number: usize, behaviour: Option<Behaviour>) -> Result<(), Error> {
    let at = testbed.at[number];
    with_receivers(testbed, move |receivers, _| receivers.set_endpoint_behaviour(at, behaviour))
}

fn drain(testbed: &Testbed, number: usize, begins: bool) -> Result<(), Error> {
    let (mut line, record) = (testbed.endpoints[number].clone(), testbed.record.clone());
    line.health = if begins { "DRAINING" } else { "SERVING" };
    let own = number as u32;
    let told = testbed.list.with_service(move |list, actions| {
        let version = list.version() + 1;
        record.with(|judge, _| {
            if begins { judge.record_drain_listed(own, version) } else { judge.record_drain_end(own) }
        });
        list.update_endpoints(vec![line], actions);
    });
    told.ok_or_else(|| Error::Failed("the list service has ended".into()))
}

/// What passes to and from an endpoint is another from now on. While that takes hold it is uncertain which answers arrive.
fn way(testbed: &Testbed, number: usize, mode: Mode, begins: bool) -> Result<(), Error> {
    let proxy = &testbed.proxies[number];
    let mode = if begins { mode } else { Mode::Pass };
    if mode == Mode::LateConnect || proxy.mode() == Mode::LateConnect {
        proxy.set(mode);
        return Ok(());
    }
    set_way(testbed, number, AnswerPath::Uncertain)?;
    std::thread::sleep(TAKES_HOLD);
    proxy.set(mode);
    std::thread::sleep(TAKES_HOLD);
    set_way(testbed, number, if begins { AnswerPath::Broken } else { AnswerPath::Intact })
}

/// All connections to an endpoint are reset.
fn reset_way(testbed: &Testbed, number: usize) -> Result<(), Error> {
    set_way(testbed, number, AnswerPath::Uncertain)?;
    std::thread::sleep(TAKES_HOLD);
    testbed.proxies[number].reset_all();
    std::thread::sleep(TAKES_HOLD);
    set_way(testbed, number, AnswerPath::Intact)
}

fn set_way(testbed: &Testbed, number: usize, way: AnswerPath) -> Result<(), Error> {
    let at = testbed.at[number];
    with_receivers(testbed, move |receivers, _| receivers.set_answer_path(at, way))
}

/// Carries out the faults of one sender. At the end it runs and nothing fails any more.
pub fn of_sender(
    testbed: &Testbed, subject: &mut Subject, door: &Door, plan: &Plan, began: Instant, stop: &Stop,
) -> Result<u32, Error> {
    let mut restarts = 0;
    let own = usize::from(subject.me);
    let events = plan.events.iter().copied().filter(|event| event.kind.is_of_sender() && event.target == own);
    for Step { at, event, begins } in steps(events) {
        stop.sleep_until(began + Duration::from_secs_f64(at));
        if stop.is_set() {
            break;
        }
        if event.kind.ends_process() {
            restarts += if begins { end_process(testbed, subject, door, &event, stop)? } else { 0 };
        } else {
            disturb(testbed, subject, door, &event, begins, stop)?;
        }
    }
    heal(subject)?;
    if !subject.sender.runs() {
        return Err(Error::Broken(format!("sender {own} ended by itself: {}", subject.sender.log())));
    }
    Ok(restarts)
}

/// No fault of the shim goes on; the wall clock stays where it is.
fn heal(subject: &Subject) -> Result<(), Error> {
    for word in [
        ControlWord::HoldUpRate,
        ControlWord::SocketFailRate,
        ControlWord::ShortRate,
        ControlWord::FolderFault,
    ] {
        subject.control.set(word, 0)?;
    }
    Ok(())
}

fn disturb(
    testbed: &Testbed, subject: &mut Subject, door: &Door, event: &Event, begins: bool, stop: &Stop,
) -> Result<(), Error> {
    let (control, amount) = (&subject.control, event.amount);
    let rate = |rate: u64| if begins { rate } else { 0 };
    match event.kind {
        Kind::ClockStep if begins => control.set_wall_clock_offset(amount)?,
        Kind::HoldUp => {
            control.set(ControlWord::HoldUpMicros, (amount * 1e3) as u64)?;
            control.set(ControlWord::HoldUpRate, rate(HOLD_UP_RATE))?;
        }
        Kind::SystemCalls => {
            control.set(ControlWord::SocketFailRate, rate(SYSTEM_CALL_RATE))?;
            control.set(ControlWord::ShortRate, rate(SYSTEM_CALL_RATE))?;
        }
        Kind::Folder => control.set(ControlWord::FolderFault, rate(amount as u64))?,
        Kind::Reload if begins => reload(testbed, subject, amount as usize)?,
        Kind::Crowd if begins => {
            let (door, stop, lasts) = (door.clone(), stop.clone(), Duration::from_secs_f64(event.lasts));
            testbed
                .record
                .with(|judge, now| judge.record_connection_flood(door.me, now, now + lasts.as_secs_f64()));
            std::thread::spawn(move || door.crowd(amount as usize, lasts, &stop));
        }
        Kind::StopMidway if begins => {
            for _ in 0..amount as usize {
                let door = door.clone();
                std::thread::spawn(move || door.stop_midway());
            }
        }
        _ => {}
    }
    Ok(())
}

/// Several configurations in a row.
fn reload(testbed: &Testbed, subject: &mut Subject, count: usize) -> Result<(), Error> {
    for number in 0..count {
        testbed.reconfigure(subject, 100 + 50 * number)?;
        subject.sender.signal(Signal::SIGHUP)?;
        std::thread::sleep(RELOAD_PAUSE);
    }
    Ok(())
}

/// Ends the process and starts it again. Returns how often it was started.
fn end_process(
    testbed: &Testbed, subject: &mut Subject, door: &Door, event: &Event, stop: &Stop,
) -> Result<u32, Error> {
    match event.kind {
        Kind::KillBehindAnswer => {
            let id = door.id(0, EventType::AtMostOnce);
            door.client().hand_in(id, Duration::from_secs_f64(2.0));
            kill(testbed, subject)?;
        }
        Kind::Terminate => terminate(testbed, subject)?,
        Kind::ReloadAndTerminate => {
            reload(testbed, subject, 2)?;
            terminate(testbed, subject)?;
        }
        _ => kill(testbed, subject)?,
    }
    if event.kind == Kind::ClockStepBetween {
        subject.control.set_wall_clock_offset(event.amount)?;
    }
    // A folder that failed until the kill is well again.
    subject.control.set(ControlWord::FolderFault, 0)?;
    std::thread::sleep(START_PAUSE);
    start(testbed, subject)?;
    if event.kind != Kind::KillTwice {
        return Ok(1);
    }
    stop.sleep(Duration::from_secs_f64(event.amount));
    kill(testbed, subject)?;
    std::thread::sleep(START_PAUSE);
    start(testbed, subject)?;
    Ok(2)
}

fn kill(testbed: &Testbed, subject: &mut Subject) -> Result<(), Error> {
    let me = subject.me;
    testbed.record.with(|judge, now| judge.record_sender_stop(me, now));
    subject.sender.end(Signal::SIGKILL)?;
    testbed.record.with(|judge, now| Judge::record_sender_exit(judge, me, now));
    Ok(())
}

fn terminate(testbed: &Testbed, subject: &mut Subject) -> Result<(), Error> {
    let (me, began) = (subject.me, Instant::now());
    testbed.record.with(|judge, now| judge.record_sender_stop(me, now));
    subject.sender.signal(Signal::SIGTERM)?;
    while subject.sender.runs() && began.elapsed() < TERM_LIMIT {
        std::thread::sleep(LOOK);
    }
    subject.sender.end(Signal::SIGKILL)?;
    testbed.record.with(|judge, now| Judge::record_sender_exit(judge, me, now));
    Ok(())
}

fn start(testbed: &Testbed, subject: &mut Subject) -> Result<(), Error> {
    subject.sender.start()?;
    let me = subject.me;
    testbed.record.with(|judge, now| judge.record_sender_ready(me, now));
    Ok(())
}

/// Everything is well again but the senders, which see to themselves.
pub fn end_all(testbed: &Testbed) -> Result<(), Error> {
    for proxy in &testbed.proxies {
        proxy.set(Mode::Pass);
    }
    with_receivers(testbed, |receivers, _| receivers.set_default_behaviour(Behaviour::Serve(SERVICE)))
}
