//! The file operations that a store needs.

use std::io;

/// Files of one folder, by name. Offsets and lengths are in bytes.
///
/// An operation that returns an error may have been done in part: an append may have written some of its bytes.
pub trait Files {
    /// The names of all files, in any order.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The length of a file; `NotFound` where there is none.
    fn length(&self, name: &str) -> io::Result<u64>;

    /// Makes a new, empty file, in place of one that has this name.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Writes at the end of a file that exists. Once that has worked, also with no bytes at all, it takes nothing but room
    /// until another file is appended to.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Fills the whole buffer from a place in a file; `UnexpectedEof` where the file ends before.
    fn read_at(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()>;

    /// Cuts a file to a length that it has or exceeds.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Gives a file another name, in place of one that has it; at every moment one of the two has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    fn remove(&mut self, name: &str) -> io::Result<()>;
}
