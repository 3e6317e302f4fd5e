//! Limits the memory and the processes of a run, so that it does not exhaust the machine.

use crate::error::Error;
use crate::interrupt::StopFlag;
use crate::process;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

const GIB: u64 = 1 << 30;
/// How often the usage is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The most that a run may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Resident memory of all processes of the run together.
    pub memory_bytes: u64,
    /// Processes, including this one.
    pub processes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_bytes: 12 * GIB, processes: 200 }
    }
}

/// What the processes of a run use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory of all processes together.
    pub memory_bytes: u64,
    /// Processes, including this one.
    pub processes: usize,
}

impl Limits {
    /// Checks that the present usage plus what is about to be added keeps the limits.
    pub fn admit(&self, current: Usage, added: Usage) -> Result<(), Error> {
        let memory_bytes = current.memory_bytes.saturating_add(added.memory_bytes);
        if memory_bytes > self.memory_bytes {
            let mib = |bytes: u64| bytes >> 20;
            return Err(Error::Broken(format!(
                "memory: {} MiB in use and {} MiB to come, {} MiB allowed",
                mib(current.memory_bytes),
                mib(added.memory_bytes),
                mib(self.memory_bytes)
            )));
        }
        let processes = current.processes + added.processes;
        if processes > self.processes {
            return Err(Error::Broken(format!("processes: {processes} of {} allowed", self.processes)));
        }
        Ok(())
    }
}

#[derive(Debug, Default)]
struct State {
    /// Ids of the processes that the run has started and not yet waited for.
    children: Vec<u32>,
    /// The most that was in use at any check.
    peak_usage: Usage,
    /// Which limit was exceeded, if any was.
    exceeded: Option<String>,
}

/// Checks the usage of a run in a thread of its own, and stops the run when a limit is exceeded.
pub struct Guard {
    limits: Limits,
    state: Arc<Mutex<State>>,
    /// Stops the run.
    stop: StopFlag,
    /// Stops the thread.
    shutdown: StopFlag,
    thread: Option<JoinHandle<()>>,
}

impl Guard {
    /// Starts the checks. `stop` is the flag that stops the run.
    pub fn start(limits: Limits, stop: &StopFlag) -> Result<Arc<Guard>, Error> {
        let (state, shutdown) = (Arc::new(Mutex::new(State::default())), StopFlag::default());
        let monitor =
            Monitor { limits, state: state.clone(), stop: stop.clone(), shutdown: shutdown.clone() };
        let thread = std::thread::Builder::new().name("guard".into()).spawn(move || monitor.run())?;
        Ok(Arc::new(Guard { limits, state, stop: stop.clone(), shutdown, thread: Some(thread) }))
    }

    /// Checks that a process may be started that uses this much memory right away.
    pub fn admit(&self, memory_bytes: u64) -> Result<(), Error> {
        let current = usage(&lock(&self.state).children);
        self.limits.admit(current, Usage { memory_bytes, processes: 1 })
    }

    /// Counts a process that was started, by its id.
    pub fn add_child(&self, child: u32) {
        lock(&self.state).children.push(child);
    }

    /// Stops counting a process that was waited for.
    pub fn remove_child(&self, child: u32) {
        lock(&self.state).children.retain(|known| *known != child);
    }

    /// Returns an error that names the reason if the run has to end.
    pub fn check(&self) -> Result<(), Error> {
        if let Some(reason) = &lock(&self.state).exceeded {
            return Err(Error::Broken(reason.clone()));
        }
        if self.stop.is_set() { Err(Error::Failed("interrupted".into())) } else { Ok(()) }
    }

    /// The flag that stops the run.
    pub fn stop_flag(&self) -> &StopFlag {
        &self.stop
    }

    /// The most that was in use at any check.
    pub fn peak_usage(&self) -> Usage {
        lock(&self.state).peak_usage
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shutdown.set();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The part of the guard that its thread runs.
struct Monitor {
    limits: Limits,
    state: Arc<Mutex<State>>,
    stop: StopFlag,
    shutdown: StopFlag,
}

impl Monitor {
    fn run(&self) {
        while !self.shutdown.is_set() {
            let children = lock(&self.state).children.clone();
            let current = usage(&children);
            let admitted = self.limits.admit(current, Usage::default());
            let mut state = lock(&self.state);
            state.peak_usage.memory_bytes = state.peak_usage.memory_bytes.max(current.memory_bytes);
            state.peak_usage.processes = state.peak_usage.processes.max(current.processes);
            if let Err(error) = admitted {
                state.exceeded.get_or_insert(error.to_string());
                self.stop.set();
            }
            drop(state);
            std::thread::sleep(CHECK_INTERVAL);
        }
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What this process and its children use now. A child that has just ended counts as a process without
/// memory.
fn usage(children: &[u32]) -> Usage {
    let process_ids = children.iter().copied().chain([std::process::id()]);
    let memory_bytes =
        process_ids.map(|id| process::process_memory(id).map_or(0, |memory| memory.resident_bytes)).sum();
    Usage { memory_bytes, processes: children.len() + 1 }
}
