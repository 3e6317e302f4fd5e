//! The file operations that a [`Store`](crate::Store) needs.

use std::io;

/// The files of one folder, by name. Offsets and lengths are in bytes.
///
/// An operation that returns an error may be partly done: a failed append may have written some of its bytes.
pub trait Files {
    /// Returns the names of all files, in any order.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the length of a file; fails with `NotFound` if it does not exist.
    fn length(&self, name: &str) -> io::Result<u64>;

    /// Creates an empty file and replaces an existing one of this name.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to an existing file. After a successful append, even of no bytes, further appends to this file
    /// need only disk space (no new file descriptor) until another file is appended to.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Overwrites bytes of an existing file in place, within its present length.
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Fills the whole buffer from an offset in a file; fails with `UnexpectedEof` if the file ends earlier.
    fn read_at(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()>;

    /// Shortens a file to a length no greater than its current one.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file and atomically replaces an existing file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; fails with `NotFound` if it does not exist.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}
