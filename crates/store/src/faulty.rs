//! [`Files`] with fault injection, for tests.

use crate::files::Files;
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// A fault to inject. Operations are identified by their index, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed before this operation: it and all later operations fail and change nothing.
    KillBefore(u64),
    /// The process is killed during this operation: an append or an overwrite writes only this percentage of
    /// its bytes.
    KillWithin(u64, u8),
    /// The disk is full for `operation_count` operations from `first_operation` on: an append or an overwrite
    /// writes only `written_percent` percent of its bytes.
    Full { first_operation: u64, operation_count: u64, written_percent: u8 },
    /// All operations fail, `operation_count` of them from `first_operation` on: an append or an overwrite
    /// writes only `written_percent` percent of its bytes.
    Failing { first_operation: u64, operation_count: u64, written_percent: u8 },
    /// This single operation fails and changes nothing.
    Once(u64),
}

/// Wraps other files and injects one fault. Only operations that change files are counted; reads fail only
/// after a kill.
#[derive(Debug, Clone)]
pub struct FaultyFiles<F> {
    files: F,
    fault: Option<Fault>,
    operation_counter: Rc<Cell<u64>>,
    kill_flag: Rc<Cell<bool>>,
}

impl<F: Files> FaultyFiles<F> {
    /// Wraps `files`; without a fault every operation is passed on.
    pub fn new(files: F, fault: Option<Fault>) -> Self {
        FaultyFiles { files, fault, operation_counter: Rc::default(), kill_flag: Rc::default() }
    }

    /// Returns a shared counter of the operations that change files.
    pub fn operation_counter(&self) -> Rc<Cell<u64>> {
        self.operation_counter.clone()
    }

    /// Returns a shared flag that is set once the simulated process is killed.
    pub fn kill_flag(&self) -> Rc<Cell<bool>> {
        self.kill_flag.clone()
    }

    fn check_not_killed(&self) -> io::Result<()> {
        if self.kill_flag.get() { Err(io::Error::other("the simulated process was killed")) } else { Ok(()) }
    }

    /// Counts one operation. If the fault makes it fail, returns the percentage of bytes that an append still
    /// writes, and the error.
    fn count_operation(&mut self, needs_space: bool) -> io::Result<Option<(u8, io::Error)>> {
        self.check_not_killed()?;
        let operation = self.operation_counter.replace(self.operation_counter.get() + 1);
        match self.fault {
            Some(Fault::KillBefore(fault_operation)) if operation == fault_operation => {
                self.kill_flag.set(true);
                self.check_not_killed()?;
                Ok(None)
            }
            Some(Fault::KillWithin(fault_operation, written_percent)) if operation == fault_operation => {
                self.kill_flag.set(true);
                Ok(Some((written_percent, io::Error::other("the simulated process was killed"))))
            }
            Some(Fault::Full { first_operation, operation_count, written_percent })
                if needs_space
                    && (first_operation..first_operation + operation_count).contains(&operation) =>
            {
                Ok(Some((written_percent, ErrorKind::StorageFull.into())))
            }
            Some(Fault::Failing { first_operation, operation_count, written_percent })
                if (first_operation..first_operation + operation_count).contains(&operation) =>
            {
                Ok(Some((written_percent, io::Error::other("injected failure of several operations"))))
            }
            Some(Fault::Once(fault_operation)) if operation == fault_operation => {
                Err(io::Error::other("injected failure of a single operation"))
            }
            _ => Ok(None),
        }
    }
}

/// Returns the first `percent` percent of some bytes.
fn part(bytes: &[u8], percent: u8) -> &[u8] {
    &bytes[..bytes.len() * usize::from(percent.min(100)) / 100]
}

impl<F: Files> Files for FaultyFiles<F> {
    fn list(&self) -> io::Result<Vec<String>> {
        self.check_not_killed()?;
        self.files.list()
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        self.check_not_killed()?;
        self.files.length(name)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        match self.count_operation(true)? {
            None => self.files.create(name),
            Some((_, error)) => Err(error),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        match self.count_operation(true)? {
            None => self.files.append(name, bytes),
            Some((written_percent, error)) => {
                self.files.append(name, part(bytes, written_percent))?;
                Err(error)
            }
        }
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        match self.count_operation(true)? {
            None => self.files.write_at(name, offset, bytes),
            Some((written_percent, error)) => {
                self.files.write_at(name, offset, part(bytes, written_percent))?;
                Err(error)
            }
        }
    }

    fn read_at(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        self.check_not_killed()?;
        self.files.read_at(name, offset, buffer)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        match self.count_operation(false)? {
            None => self.files.truncate(name, length),
            Some((_, error)) => Err(error),
        }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        match self.count_operation(false)? {
            None => self.files.rename(from, to),
            Some((_, error)) => Err(error),
        }
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match self.count_operation(false)? {
            None => self.files.remove(name),
            Some((_, error)) => Err(error),
        }
    }
}
