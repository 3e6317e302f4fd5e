//! Files that fail when a test wants them to.

use crate::files::Files;
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process ends before the operation of this number: it and all later ones fail and change nothing.
    KillBefore(u64),
    /// The process ends within the operation of this number: of an append only so many hundredths are written.
    KillWithin(u64, u8),
    /// From `first_operation` on, for `operation_count` operations, nothing more can be written: an append writes
    /// `written_percent` percent of its bytes.
    Full { first_operation: u64, operation_count: u64, written_percent: u8 },
    /// The operation of this number fails once and changes nothing.
    Once(u64),
}

/// Files with one fault. Operations that change something are counted from 0; reads fail only after a kill.
#[derive(Debug, Clone)]
pub struct FaultyFiles<F> {
    files: F,
    fault: Option<Fault>,
    count: Rc<Cell<u64>>,
    killed: Rc<Cell<bool>>,
}

impl<F: Files> FaultyFiles<F> {
    pub fn new(files: F, fault: Option<Fault>) -> Self {
        FaultyFiles { files, fault, count: Rc::default(), killed: Rc::default() }
    }

    /// How many operations that change something there were.
    pub fn operation_counter(&self) -> Rc<Cell<u64>> {
        self.count.clone()
    }

    /// Whether the process has ended.
    pub fn kill_flag(&self) -> Rc<Cell<bool>> {
        self.killed.clone()
    }

    fn alive(&self) -> io::Result<()> {
        if self.killed.get() { Err(io::Error::other("the process has ended")) } else { Ok(()) }
    }

    /// Counts one operation. The hundredths of an append that are written where it fails; nothing where it does not.
    fn fails(&mut self, writes: bool) -> io::Result<Option<(u8, io::Error)>> {
        self.alive()?;
        let number = self.count.replace(self.count.get() + 1);
        match self.fault {
            Some(Fault::KillBefore(at)) if number == at => {
                self.killed.set(true);
                self.alive()?;
                Ok(None)
            }
            Some(Fault::KillWithin(at, written_percent)) if number == at => {
                self.killed.set(true);
                Ok(Some((written_percent, io::Error::other("the process has ended"))))
            }
            Some(Fault::Full { first_operation, operation_count, written_percent })
                if writes && (first_operation..first_operation + operation_count).contains(&number) =>
            {
                Ok(Some((written_percent, ErrorKind::StorageFull.into())))
            }
            Some(Fault::Once(at)) if number == at => Err(io::Error::other("failed once")),
            _ => Ok(None),
        }
    }
}

impl<F: Files> Files for FaultyFiles<F> {
    fn list(&self) -> io::Result<Vec<String>> {
        self.alive()?;
        self.files.list()
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        self.alive()?;
        self.files.length(name)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        match self.fails(true)? {
            None => self.files.create(name),
            Some((_, error)) => Err(error),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        match self.fails(true)? {
            None => self.files.append(name, bytes),
            Some((hundredths, error)) => {
                self.files.append(name, &bytes[..bytes.len() * usize::from(hundredths.min(100)) / 100])?;
                Err(error)
            }
        }
    }

    fn read_at(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        self.alive()?;
        self.files.read_at(name, offset, buffer)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        match self.fails(false)? {
            None => self.files.truncate(name, length),
            Some((_, error)) => Err(error),
        }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        match self.fails(false)? {
            None => self.files.rename(from, to),
            Some((_, error)) => Err(error),
        }
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match self.fails(false)? {
            None => self.files.remove(name),
            Some((_, error)) => Err(error),
        }
    }
}
