//! Injects the faults of a plan. Each sender has a thread that injects its faults one after another; one more
//! thread injects those of the environment, which is everything but the senders.

use super::clients::ClientFactory;
use super::plan::{Fault, FaultKind, Plan};
use super::proxy::Mode;
use super::testbed::{SERVICE_TIME, SenderUnderTest, Testbed};
use crate::error::Error;
use crate::interrupt::StopFlag;
use crate::standins::clients::RequestForm;
use crate::standins::id::EventType;
use crate::standins::judge::Judge;
use crate::standins::list_service::ListService;
use crate::standins::receivers::{AnswerPath, Behaviour, Receivers};
use crate::standins::server::ServerActions;
use nix::sys::signal::Signal;
use scalebarrow_fault_control::{ControlWord, FULL_RATE};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long after SIGTERM a sender gets SIGKILL if its process has not ended.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3700);
/// The pause between the end of a sender's process and its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(600);
/// How often it is checked whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The rate at which system calls on sockets fail, and the rate at which they transfer too few bytes.
const SOCKET_FAULT_RATE: u64 = FULL_RATE / 40;
/// The rate at which a read of the monotonic clock is followed by a pause.
const CLOCK_PAUSE_RATE: u64 = FULL_RATE / 25;
/// How long before and after a change of a proxy's mode it is uncertain which answers arrive.
const MODE_CHANGE_MARGIN: Duration = Duration::from_millis(50);
/// The pause between two configurations of one reload.
const RELOAD_PAUSE: Duration = Duration::from_millis(15);

/// The begin or the end of a fault.
struct FaultChange {
    /// Seconds since the load began.
    at_secs: f64,
    fault: Fault,
    begins: bool,
}

/// The begins and ends of faults, in order of time.
fn fault_changes(faults: impl Iterator<Item = Fault>) -> Vec<FaultChange> {
    let begin_and_end = |fault: Fault| {
        let end = FaultChange { at_secs: fault.start_secs + fault.duration_secs, fault, begins: false };
        [FaultChange { at_secs: fault.start_secs, fault, begins: true }, end]
    };
    let mut changes: Vec<FaultChange> = faults.flat_map(begin_and_end).collect();
    changes.sort_by(|a, b| a.at_secs.total_cmp(&b.at_secs));
    changes
}

/// Injects the faults of the receivers, of the list service and of the connections to the endpoints.
pub fn inject_environment_faults(
    testbed: &Testbed, plan: &Plan, began_at: Instant, stop: &StopFlag,
) -> Result<(), Error> {
    let faults = plan.faults.iter().copied().filter(|fault| !fault.kind.targets_sender());
    for change in fault_changes(faults) {
        stop.sleep_until(began_at + Duration::from_secs_f64(change.at_secs));
        apply_environment_fault(testbed, &change.fault, change.begins)?;
    }
    Ok(())
}

/// Begins or ends one fault of the environment.
fn apply_environment_fault(testbed: &Testbed, fault: &Fault, begins: bool) -> Result<(), Error> {
    let (target, amount) = (fault.target, fault.amount);
    let behaviour = |behaviour: Behaviour| begins.then_some(behaviour);
    match fault.kind {
        FaultKind::Hang => set_outage(testbed, target, behaviour(Behaviour::Silent)),
        FaultKind::Refuse => set_outage(testbed, target, behaviour(Behaviour::Refuse)),
        FaultKind::Fail => set_outage(testbed, target, behaviour(Behaviour::Fail)),
        FaultKind::HangUp => set_outage(testbed, target, behaviour(Behaviour::HangUp)),
        FaultKind::Crash => set_crash(testbed, target, begins),
        FaultKind::Wait => {
            let wait = behaviour(Behaviour::RetryAfter(amount));
            with_receivers(testbed, move |receivers, _| {
                receivers.set_destination_behaviour(target as u32, wait)
            })
        }
        FaultKind::Late => set_endpoint_behaviour(
            testbed,
            target,
            behaviour(Behaviour::Serve(Duration::from_secs_f64(amount))),
        ),
        FaultKind::Half => set_endpoint_behaviour(testbed, target, behaviour(Behaviour::PartialAnswer)),
        FaultKind::Noise => set_endpoint_behaviour(testbed, target, behaviour(Behaviour::MalformedAnswer)),
        FaultKind::EndKept => set_endpoint_behaviour(testbed, target, behaviour(Behaviour::ServeAndClose)),
        FaultKind::Drain => set_drain(testbed, target, begins),
        FaultKind::DiscoverySilent => with_list_service(testbed, move |list, _| list.set_silent(begins)),
        FaultKind::Cut => set_proxy_mode(testbed, target, Mode::Cut, begins),
        FaultKind::LoseAnswers => set_proxy_mode(testbed, target, Mode::LoseAnswers, begins),
        FaultKind::LateConnect => {
            let address = testbed.receiver_addresses[target];
            let duration = Duration::from_secs_f64(fault.duration_secs);
            with_receivers(testbed, move |receivers, _| receivers.record_late_connects(address, duration))?;
            set_proxy_mode(testbed, target, Mode::LateConnect, begins)
        }
        FaultKind::ResetAll if begins => reset_connections(testbed, target),
        FaultKind::InterimAnswers => {
            set_endpoint_behaviour(testbed, target, behaviour(Behaviour::InterimAnswer))
        }
        FaultKind::SplitAnswers => set_endpoint_behaviour(testbed, target, behaviour(Behaviour::SplitAnswer)),
        FaultKind::ExtraBytes => set_endpoint_behaviour(testbed, target, behaviour(Behaviour::ExtraBytes)),
        FaultKind::MissingBytes => {
            set_endpoint_behaviour(testbed, target, behaviour(Behaviour::MissingBytes))
        }
        FaultKind::CopyAnswers => {
            let (address, lag) = (testbed.receiver_addresses[target], Duration::from_secs_f64(amount));
            with_receivers(testbed, move |receivers, _| {
                receivers.set_copy_lag(address, begins.then_some(lag))
            })
        }
        FaultKind::CopyAcknowledgements => {
            let lag = begins.then(|| Duration::from_secs_f64(amount));
            with_list_service(testbed, move |list, _| list.set_acknowledgement_copy_lag(lag))
        }
        FaultKind::CutNotices => with_list_service(testbed, move |list, _| list.set_cuts_notices(begins)),
        FaultKind::CopyLists => {
            let lag = begins.then(|| Duration::from_secs_f64(amount));
            with_list_service(testbed, move |list, _| list.set_list_copy_lag(lag))
        }
        _ => Ok(()),
    }
}

/// Runs a task on the receivers, in their thread.
fn with_receivers(
    testbed: &Testbed, task: impl FnOnce(&mut Receivers, &mut ServerActions) + Send + 'static,
) -> Result<(), Error> {
    testbed.receivers.with_service(task).ok_or_else(|| Error::Failed("the receivers have stopped".into()))
}

/// Runs a task on the list service, in its thread.
fn with_list_service(
    testbed: &Testbed, task: impl FnOnce(&mut ListService, &mut ServerActions) + Send + 'static,
) -> Result<(), Error> {
    let result = testbed.list_service.with_service(task);
    result.ok_or_else(|| Error::Failed("the list service has stopped".into()))
}

/// Begins an outage, in which the destination shows this behaviour; or ends it if there is none.
fn set_outage(testbed: &Testbed, destination: usize, behaviour: Option<Behaviour>) -> Result<(), Error> {
    let (destination, calls_per_sec) = (destination as u32, testbed.calls_per_sec);
    with_receivers(testbed, move |receivers, _| match behaviour {
        Some(behaviour) => receivers.begin_outage(destination, behaviour, calls_per_sec),
        None => receivers.end_outage(destination),
    })
}

/// Begins a crash by closing the listeners of a destination, or ends it by opening them again. At the end the
/// list is updated, too, with the present as the time at which the endpoints started.
fn set_crash(testbed: &Testbed, destination: usize, begins: bool) -> Result<(), Error> {
    set_outage(testbed, destination, begins.then_some(Behaviour::Silent))?;
    let addresses: Vec<_> = testbed
        .endpoints_of(destination)
        .into_iter()
        .map(|number| testbed.receiver_addresses[number])
        .collect();
    with_receivers(testbed, move |_, actions| {
        addresses.iter().for_each(|address| {
            if begins { actions.close_listener(*address) } else { actions.open_listener(*address) }
        });
    })?;
    if begins {
        return Ok(());
    }
    let started_at_ms =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |now| now.as_secs_f64() * 1e3);
    let entries =
        testbed.endpoints_of(destination).into_iter().map(|number| testbed.endpoints[number].clone());
    let entries = entries.map(|entry| crate::standins::list_service::Endpoint {
        started_at_ms: started_at_ms.floor(),
        ..entry
    });
    let entries: Vec<_> = entries.collect();
    with_list_service(testbed, move |list, actions| list.update_endpoints(entries, actions))
}

/// Sets how an endpoint answers. `None` returns to the default.
fn set_endpoint_behaviour(
    testbed: &Testbed, number: usize, behaviour: Option<Behaviour>,
) -> Result<(), Error> {
    let address = testbed.receiver_addresses[number];
    with_receivers(testbed, move |receivers, _| receivers.set_endpoint_behaviour(address, behaviour))
}

/// Lists an endpoint as draining, or as serving again.
fn set_drain(testbed: &Testbed, number: usize, begins: bool) -> Result<(), Error> {
    let (mut entry, judge) = (testbed.endpoints[number].clone(), testbed.judge.clone());
    entry.health = if begins { "DRAINING" } else { "SERVING" };
    let endpoint = number as u32;
    with_list_service(testbed, move |list, actions| {
        let version = list.version() + 1;
        judge.with(|judge, _| {
            if begins {
                judge.record_drain_listed(endpoint, version)
            } else {
                judge.record_drain_end(endpoint)
            }
        });
        list.update_endpoints(vec![entry], actions);
    })
}

/// Changes the mode of an endpoint's proxy, or returns to passing everything. Around the change it is
/// uncertain which answers arrive.
fn set_proxy_mode(testbed: &Testbed, number: usize, mode: Mode, begins: bool) -> Result<(), Error> {
    let proxy = &testbed.proxies[number];
    let mode = if begins { mode } else { Mode::Pass };
    if mode == Mode::LateConnect || proxy.mode() == Mode::LateConnect {
        proxy.set_mode(mode);
        return Ok(());
    }
    set_answer_path(testbed, number, AnswerPath::Uncertain)?;
    std::thread::sleep(MODE_CHANGE_MARGIN);
    proxy.set_mode(mode);
    std::thread::sleep(MODE_CHANGE_MARGIN);
    set_answer_path(testbed, number, if begins { AnswerPath::Broken } else { AnswerPath::Intact })
}

/// Resets all connections to an endpoint. Around the reset it is uncertain which answers arrive.
fn reset_connections(testbed: &Testbed, number: usize) -> Result<(), Error> {
    set_answer_path(testbed, number, AnswerPath::Uncertain)?;
    std::thread::sleep(MODE_CHANGE_MARGIN);
    testbed.proxies[number].reset_all();
    std::thread::sleep(MODE_CHANGE_MARGIN);
    set_answer_path(testbed, number, AnswerPath::Intact)
}

/// Sets whether the answers of an endpoint reach the senders.
fn set_answer_path(testbed: &Testbed, number: usize, answer_path: AnswerPath) -> Result<(), Error> {
    let address = testbed.receiver_addresses[number];
    with_receivers(testbed, move |receivers, _| receivers.set_answer_path(address, answer_path))
}

/// Injects the faults of one sender. At the end its process runs and no fault of the shim is active except
/// the step of the wall clock. Returns how often the process was started again.
pub fn inject_sender_faults(
    testbed: &Testbed, subject: &mut SenderUnderTest, factory: &ClientFactory, plan: &Plan,
    began_at: Instant, stop: &StopFlag,
) -> Result<u32, Error> {
    let mut restarts = 0;
    let sender = usize::from(subject.number);
    let faults =
        plan.faults.iter().copied().filter(|fault| fault.kind.targets_sender() && fault.target == sender);
    for FaultChange { at_secs, fault, begins } in fault_changes(faults) {
        stop.sleep_until(began_at + Duration::from_secs_f64(at_secs));
        if stop.is_set() {
            break;
        }
        if fault.kind.ends_process() {
            restarts += if begins { restart_process(testbed, subject, factory, &fault, stop)? } else { 0 };
        } else {
            apply_sender_fault(testbed, subject, factory, &fault, begins, stop)?;
        }
    }
    clear_shim_faults(subject)?;
    if !subject.process.is_running() {
        return Err(Error::Broken(format!(
            "sender {sender} exited unexpectedly: {}",
            subject.process.log_tail()
        )));
    }
    Ok(restarts)
}

/// Ends all faults of the shim except the step of the wall clock.
fn clear_shim_faults(subject: &SenderUnderTest) -> Result<(), Error> {
    for word in [
        ControlWord::HoldUpRate,
        ControlWord::SocketFailRate,
        ControlWord::ShortRate,
        ControlWord::FolderFault,
    ] {
        subject.shim_control.set(word, 0)?;
    }
    Ok(())
}

/// Begins or ends one fault of a sender whose process goes on.
fn apply_sender_fault(
    testbed: &Testbed, subject: &mut SenderUnderTest, factory: &ClientFactory, fault: &Fault, begins: bool,
    stop: &StopFlag,
) -> Result<(), Error> {
    let (shim_control, amount) = (&subject.shim_control, fault.amount);
    let if_begins = |value: u64| if begins { value } else { 0 };
    match fault.kind {
        FaultKind::ClockStep if begins => shim_control.set_wall_clock_offset(amount)?,
        FaultKind::HoldUp => {
            shim_control.set(ControlWord::HoldUpMicros, (amount * 1e3) as u64)?;
            shim_control.set(ControlWord::HoldUpRate, if_begins(CLOCK_PAUSE_RATE))?;
        }
        FaultKind::SystemCalls => {
            shim_control.set(ControlWord::SocketFailRate, if_begins(SOCKET_FAULT_RATE))?;
            shim_control.set(ControlWord::ShortRate, if_begins(SOCKET_FAULT_RATE))?;
        }
        FaultKind::Folder => shim_control.set(ControlWord::FolderFault, if_begins(amount as u64))?,
        FaultKind::Reload if begins => reload(testbed, subject, amount as usize)?,
        FaultKind::RepeatRequests => {
            factory.set_request_form(if begins { RequestForm::Repeated } else { RequestForm::Usual })
        }
        FaultKind::SplitRequests => {
            factory.set_request_form(if begins { RequestForm::Split } else { RequestForm::Usual })
        }
        FaultKind::Crowd if begins => {
            let (factory, stop, duration) =
                (factory.clone(), stop.clone(), Duration::from_secs_f64(fault.duration_secs));
            testbed.judge.with(|judge, now| {
                judge.record_connection_flood(factory.sender, now, now + duration.as_secs_f64())
            });
            std::thread::spawn(move || factory.open_idle_connections(amount as usize, duration, &stop));
        }
        FaultKind::StopMidway if begins => {
            for _ in 0..amount as usize {
                let factory = factory.clone();
                std::thread::spawn(move || factory.run_stalled_client());
            }
        }
        _ => {}
    }
    Ok(())
}

/// Reloads several configurations, each with another limit of pending webhooks.
fn reload(testbed: &Testbed, subject: &mut SenderUnderTest, count: usize) -> Result<(), Error> {
    for index in 0..count {
        testbed.reconfigure(subject, 100 + 50 * index)?;
        subject.process.send_signal(Signal::SIGHUP)?;
        std::thread::sleep(RELOAD_PAUSE);
    }
    Ok(())
}

/// Ends a sender's process and starts it again. Returns how often it was started.
fn restart_process(
    testbed: &Testbed, subject: &mut SenderUnderTest, factory: &ClientFactory, fault: &Fault, stop: &StopFlag,
) -> Result<u32, Error> {
    match fault.kind {
        FaultKind::KillBehindAnswer => {
            let id = factory.new_id(0, EventType::AtMostOnce);
            factory.client().hand_in(id, Duration::from_secs_f64(2.0));
            kill_process(testbed, subject)?;
        }
        FaultKind::Terminate => terminate_process(testbed, subject)?,
        FaultKind::ReloadAndTerminate => {
            reload(testbed, subject, 2)?;
            terminate_process(testbed, subject)?;
        }
        _ => kill_process(testbed, subject)?,
    }
    if fault.kind == FaultKind::ClockStepBetween {
        subject.shim_control.set_wall_clock_offset(fault.amount)?;
    }
    // A fault of the state folder that was active until the kill ends with the process.
    subject.shim_control.set(ControlWord::FolderFault, 0)?;
    std::thread::sleep(RESTART_PAUSE);
    start_process(testbed, subject)?;
    if fault.kind != FaultKind::KillTwice {
        return Ok(1);
    }
    stop.sleep(Duration::from_secs_f64(fault.amount));
    kill_process(testbed, subject)?;
    std::thread::sleep(RESTART_PAUSE);
    start_process(testbed, subject)?;
    Ok(2)
}

/// Kills a sender's process.
fn kill_process(testbed: &Testbed, subject: &mut SenderUnderTest) -> Result<(), Error> {
    let sender = subject.number;
    testbed.judge.with(|judge, now| judge.record_sender_stop(sender, now));
    subject.process.signal_and_wait(Signal::SIGKILL)?;
    testbed.judge.with(|judge, now| Judge::record_sender_exit(judge, sender, now));
    Ok(())
}

/// Asks a sender's process to terminate, and kills it after the timeout.
fn terminate_process(testbed: &Testbed, subject: &mut SenderUnderTest) -> Result<(), Error> {
    let (sender, began_at) = (subject.number, Instant::now());
    testbed.judge.with(|judge, now| judge.record_sender_stop(sender, now));
    subject.process.send_signal(Signal::SIGTERM)?;
    while subject.process.is_running() && began_at.elapsed() < TERMINATION_TIMEOUT {
        std::thread::sleep(POLL_INTERVAL);
    }
    subject.process.signal_and_wait(Signal::SIGKILL)?;
    testbed.judge.with(|judge, now| Judge::record_sender_exit(judge, sender, now));
    Ok(())
}

/// Starts a sender's process and waits until it is ready.
fn start_process(testbed: &Testbed, subject: &mut SenderUnderTest) -> Result<(), Error> {
    subject.process.start()?;
    let sender = subject.number;
    testbed.judge.with(|judge, now| judge.record_sender_ready(sender, now));
    Ok(())
}

/// Ends the faults that may still be active at the proxies and receivers; those of the senders end with their
/// threads.
pub fn clear_environment_faults(testbed: &Testbed) -> Result<(), Error> {
    for proxy in &testbed.proxies {
        proxy.set_mode(Mode::Pass);
    }
    with_list_service(testbed, |list, _| {
        list.set_acknowledgement_copy_lag(None);
        list.set_cuts_notices(false);
        list.set_list_copy_lag(None);
    })?;
    with_receivers(testbed, |receivers, _| receivers.set_default_behaviour(Behaviour::Serve(SERVICE_TIME)))
}
