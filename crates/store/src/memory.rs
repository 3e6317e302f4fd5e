//! [`Files`] in memory.

use crate::files::Files;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// A folder in memory. Clones share its content, like successive processes that use the same folder.
#[derive(Debug, Clone, Default)]
pub struct MemoryFiles(Rc<RefCell<BTreeMap<String, Vec<u8>>>>);

impl MemoryFiles {
    /// Returns the sum of all file lengths.
    pub fn total_bytes(&self) -> u64 {
        self.0.borrow().values().map(|bytes| bytes.len() as u64).sum()
    }

    /// Returns an independent folder with the same content.
    pub fn deep_copy(&self) -> Self {
        MemoryFiles(Rc::new(RefCell::new(self.0.borrow().clone())))
    }

    fn with_file<T>(
        &self, name: &str, operation: impl FnOnce(&mut Vec<u8>) -> io::Result<T>,
    ) -> io::Result<T> {
        let mut files = self.0.borrow_mut();
        operation(files.get_mut(name).ok_or(ErrorKind::NotFound)?)
    }
}

impl Files for MemoryFiles {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().keys().cloned().collect())
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        self.with_file(name, |bytes| Ok(bytes.len() as u64))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.0.borrow_mut().insert(name.to_owned(), Vec::new());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.with_file(name, |file| {
            file.extend_from_slice(bytes);
            Ok(())
        })
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.with_file(name, |file| {
            let rest = file.get_mut(offset as usize..).ok_or(ErrorKind::UnexpectedEof)?;
            rest.get_mut(..bytes.len()).ok_or(ErrorKind::UnexpectedEof)?.copy_from_slice(bytes);
            Ok(())
        })
    }

    fn read_at(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        self.with_file(name, |file| {
            let available = file.get(offset as usize..).ok_or(ErrorKind::UnexpectedEof)?;
            buffer.copy_from_slice(available.get(..buffer.len()).ok_or(ErrorKind::UnexpectedEof)?);
            Ok(())
        })
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.with_file(name, |file| {
            file.truncate(length as usize);
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut files = self.0.borrow_mut();
        let bytes = files.remove(from).ok_or(ErrorKind::NotFound)?;
        files.insert(to.to_owned(), bytes);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.borrow_mut().remove(name).map(drop).ok_or(ErrorKind::NotFound.into())
    }
}
