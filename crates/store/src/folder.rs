//! [`Files`] in a directory of the file system.

use crate::files::Files;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

/// The files of a directory. At most two are kept open: the file last appended to and the file last read.
#[derive(Debug)]
pub struct FolderFiles {
    folder: PathBuf,
    last_appended: Option<(String, File)>,
    last_read: Option<(String, File)>,
}

impl FolderFiles {
    /// Uses a directory, which must exist.
    pub fn new(folder: impl Into<PathBuf>) -> Self {
        FolderFiles { folder: folder.into(), last_appended: None, last_read: None }
    }

    /// Closes the handles of a file that is about to be renamed, removed or replaced.
    fn close_handles(&mut self, name: &str) {
        self.last_appended.take_if(|(open_name, _)| open_name == name);
        self.last_read.take_if(|(open_name, _)| open_name == name);
    }
}

impl Files for FolderFiles {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            // A file name that is not valid UTF-8 cannot belong to the store.
            if let (true, Ok(name)) = (entry.file_type()?.is_file(), entry.file_name().into_string()) {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        Ok(fs::metadata(self.folder.join(name))?.len())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.close_handles(name);
        // Close the old handle first, so that no more than two files are open at once.
        self.last_appended = None;
        let path = self.folder.join(name);
        drop(OpenOptions::new().create(true).write(true).truncate(true).open(&path)?);
        let file = OpenOptions::new().append(true).open(&path)?;
        self.last_appended = Some((name.to_owned(), file));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.last_appended.as_ref().is_none_or(|(open_name, _)| open_name != name) {
            self.last_appended = None;
            let file = OpenOptions::new().append(true).open(self.folder.join(name))?;
            self.last_appended = Some((name.to_owned(), file));
        }
        match &mut self.last_appended {
            Some((_, file)) => file.write_all(bytes),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        // A handle for appending would ignore the offset. It is closed first, so that no more than two files
        // are open at once.
        self.last_appended = None;
        OpenOptions::new().write(true).open(self.folder.join(name))?.write_all_at(bytes, offset)
    }

    fn read_at(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        if self.last_read.as_ref().is_none_or(|(open_name, _)| open_name != name) {
            self.last_read = None;
            self.last_read = Some((name.to_owned(), File::open(self.folder.join(name))?));
        }
        match &self.last_read {
            Some((_, file)) => file.read_exact_at(buffer, offset),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        if let Some((_, file)) = self.last_appended.as_ref().filter(|(open_name, _)| open_name == name) {
            return file.set_len(length);
        }
        self.last_appended = None;
        OpenOptions::new().write(true).open(self.folder.join(name))?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close_handles(from);
        self.close_handles(to);
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close_handles(name);
        fs::remove_file(self.folder.join(name))
    }
}
