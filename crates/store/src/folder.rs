//! Files in a folder of the file system.

use crate::files::Files;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

/// A folder. It holds two descriptors at most: of the file last appended to and of the file last read.
#[derive(Debug)]
pub struct FolderFiles {
    folder: PathBuf,
    appended: Option<(String, File)>,
    read: Option<(String, File)>,
}

impl FolderFiles {
    /// Files in a folder that exists.
    pub fn new(folder: impl Into<PathBuf>) -> Self {
        FolderFiles { folder: folder.into(), appended: None, read: None }
    }

    /// Lets go of the handles of a file that is renamed, removed or replaced.
    fn forget(&mut self, name: &str) {
        self.appended.take_if(|(n, _)| n == name);
        self.read.take_if(|(n, _)| n == name);
    }
}

impl Files for FolderFiles {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            // A name that is no text is none of ours.
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
        self.forget(name);
        // The old handle goes first, so that there are never three.
        self.appended = None;
        let path = self.folder.join(name);
        drop(OpenOptions::new().create(true).write(true).truncate(true).open(&path)?);
        let file = OpenOptions::new().append(true).open(&path)?;
        self.appended = Some((name.to_owned(), file));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.appended.as_ref().is_none_or(|(n, _)| n != name) {
            self.appended = None;
            let file = OpenOptions::new().append(true).open(self.folder.join(name))?;
            self.appended = Some((name.to_owned(), file));
        }
        match &mut self.appended {
            Some((_, file)) => file.write_all(bytes),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn read_at(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        if self.read.as_ref().is_none_or(|(n, _)| n != name) {
            self.read = None;
            self.read = Some((name.to_owned(), File::open(self.folder.join(name))?));
        }
        match &self.read {
            Some((_, file)) => file.read_exact_at(buffer, offset),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        if let Some((_, file)) = self.appended.as_ref().filter(|(n, _)| n == name) {
            return file.set_len(length);
        }
        self.appended = None;
        OpenOptions::new().write(true).open(self.folder.join(name))?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.forget(from);
        self.forget(to);
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.forget(name);
        fs::remove_file(self.folder.join(name))
    }
}
