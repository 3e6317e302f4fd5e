//! The limits that a run keeps by itself: memory and processes.

use crate::error::Error;
use crate::interrupt::Stop;
use crate::process;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

const GIB: u64 = 1 << 30;
/// Between two looks at what is used.
const LOOK: Duration = Duration::from_millis(250);

/// The most that a run may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Resident memory of all processes of the run together, in bytes.
    pub memory: u64,
    /// Processes, this one among them.
    pub processes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory: 12 * GIB, processes: 200 }
    }
}

/// What the processes of a run use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    pub memory: u64,
    pub processes: usize,
}

impl Limits {
    /// Whether a run may go on with what it uses and with what it is about to add.
    pub fn admit(&self, now: Usage, added: Usage) -> Result<(), Error> {
        let memory = now.memory.saturating_add(added.memory);
        if memory > self.memory {
            let mib = |bytes: u64| bytes >> 20;
            return Err(Error::Broken(format!(
                "memory: {} MiB in use and {} MiB to come, {} MiB allowed",
                mib(now.memory),
                mib(added.memory),
                mib(self.memory)
            )));
        }
        let processes = now.processes + added.processes;
        if processes > self.processes {
            return Err(Error::Broken(format!("processes: {processes} of {} allowed", self.processes)));
        }
        Ok(())
    }
}

#[derive(Debug, Default)]
struct State {
    /// Processes that the run has started and not yet waited for.
    children: Vec<u32>,
    most: Usage,
    broken: Option<String>,
}

/// Watches over a run from a thread of its own; it stops the run where a limit is passed.
pub struct Guard {
    limits: Limits,
    state: Arc<Mutex<State>>,
    stop: Stop,
    over: Stop,
    thread: Option<JoinHandle<()>>,
}

impl Guard {
    pub fn start(limits: Limits, stop: &Stop) -> Result<Arc<Guard>, Error> {
        let (state, over) = (Arc::new(Mutex::new(State::default())), Stop::default());
        let watch = Watch { limits, state: state.clone(), stop: stop.clone(), over: over.clone() };
        let thread = std::thread::Builder::new().name("guard".into()).spawn(move || watch.run())?;
        Ok(Arc::new(Guard { limits, state, stop: stop.clone(), over, thread: Some(thread) }))
    }

    /// Asks for leave to start a process that will take so much memory at once.
    pub fn admit(&self, memory: u64) -> Result<(), Error> {
        let now = usage(&lock(&self.state).children);
        self.limits.admit(now, Usage { memory, processes: 1 })
    }

    /// A process was started.
    pub fn add(&self, child: u32) {
        lock(&self.state).children.push(child);
    }

    /// It was waited for.
    pub fn remove(&self, child: u32) {
        lock(&self.state).children.retain(|c| *c != child);
    }

    /// Tells why the run has to end, where it does.
    pub fn check(&self) -> Result<(), Error> {
        if let Some(why) = &lock(&self.state).broken {
            return Err(Error::Broken(why.clone()));
        }
        if self.stop.is_set() { Err(Error::Failed("interrupted".into())) } else { Ok(()) }
    }

    /// The run's sign to stop.
    pub fn stop(&self) -> &Stop {
        &self.stop
    }

    /// The most that was seen in use.
    pub fn most(&self) -> Usage {
        lock(&self.state).most
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.over.set();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Watch {
    limits: Limits,
    state: Arc<Mutex<State>>,
    stop: Stop,
    over: Stop,
}

impl Watch {
    fn run(&self) {
        while !self.over.is_set() {
            let children = lock(&self.state).children.clone();
            let now = usage(&children);
            let admitted = self.limits.admit(now, Usage::default());
            let mut state = lock(&self.state);
            state.most.memory = state.most.memory.max(now.memory);
            state.most.processes = state.most.processes.max(now.processes);
            if let Err(error) = admitted {
                state.broken.get_or_insert(error.to_string());
                self.stop.set();
            }
            drop(state);
            std::thread::sleep(LOOK);
        }
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What this process and its children use. A child that has just ended uses nothing.
fn usage(children: &[u32]) -> Usage {
    let all = children.iter().copied().chain([std::process::id()]);
    let memory = all.map(|id| process::memory(id).map_or(0, |m| m.resident)).sum();
    Usage { memory, processes: children.len() + 1 }
}
