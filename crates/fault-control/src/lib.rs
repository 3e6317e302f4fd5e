//! The file through which a test tells the fault shim in a process what to do. It is a row of 64-bit words that the shim
//! maps into its memory and the test writes in place, so that a fault begins and ends while the process runs.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The environment variable that names the file.
pub const CONTROL_FILE_VARIABLE: &str = "FAULT_SHIM_CONTROL";
/// The environment variable that names the folder whose writes can be made to fail.
pub const STATE_FOLDER_VARIABLE: &str = "LB_STATE";
/// Bytes of the file.
pub const CONTROL_FILE_BYTES: usize = ControlWord::ALL.len() * 8;
/// Rates are parts of this.
pub const FULL_RATE: u64 = 1_000_000;

/// A word of the file, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum ControlWord {
    /// Nanoseconds by which the wall clock is ahead, as a signed number.
    WallStepNanos,
    /// How often a read of the monotonic clock is followed by a hold-up.
    HoldUpRate,
    /// The longest hold-up.
    HoldUpMicros,
    /// How often a call on sockets fails.
    SocketFailRate,
    /// How often a read or write on sockets comes short.
    ShortRate,
    /// What becomes of writes to the folder, as a [`FolderFault`].
    FolderFault,
    /// Chance in the process starts from this.
    Seed,
    /// Hold-ups so far, counted by the shim.
    HoldUps,
    /// Calls on sockets that failed or came short so far.
    SocketFaults,
    /// Writes to the folder that failed so far.
    FolderFaults,
}

impl ControlWord {
    /// All words, in order.
    pub const ALL: [ControlWord; 10] = [
        ControlWord::WallStepNanos,
        ControlWord::HoldUpRate,
        ControlWord::HoldUpMicros,
        ControlWord::SocketFailRate,
        ControlWord::ShortRate,
        ControlWord::FolderFault,
        ControlWord::Seed,
        ControlWord::HoldUps,
        ControlWord::SocketFaults,
        ControlWord::FolderFaults,
    ];
}

/// What becomes of writes to the folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[repr(u64)]
pub enum FolderFault {
    /// They go through.
    #[default]
    None,
    /// Nothing is written: ENOSPC.
    NoSpace,
    /// Nothing is written: EIO.
    IoError,
    /// Half is written, then ENOSPC.
    NoSpaceAfterHalf,
    /// Half is written, then EIO.
    IoErrorAfterHalf,
}

impl FolderFault {
    /// All faults but none.
    pub const FAULTS: [FolderFault; 4] = [
        FolderFault::NoSpace,
        FolderFault::IoError,
        FolderFault::NoSpaceAfterHalf,
        FolderFault::IoErrorAfterHalf,
    ];

    /// The fault that a word holds.
    pub fn from_value(word: u64) -> FolderFault {
        Self::FAULTS.into_iter().find(|fault| *fault as u64 == word).unwrap_or_default()
    }
}

/// The built shim beside a program of the same workspace, of the same build or else of the release build; an error names
/// the command that builds it.
pub fn find_shim(program: &Path) -> io::Result<PathBuf> {
    const NAME: &str = "libscalebarrow_fault_shim.so";
    let target = program.ancestors().find(|folder| folder.ends_with("target"));
    let same = program.with_file_name(NAME);
    let release = target.map(|target| target.join("release").join(NAME));
    let found = [Some(same), release].into_iter().flatten().find(|path| path.exists());
    let missing = format!("{NAME} is not built: cargo build --release -p scalebarrow-fault-shim");
    found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, missing))
}

/// The test's side of the file.
#[derive(Debug)]
pub struct ControlFile {
    path: PathBuf,
    file: File,
}

impl ControlFile {
    /// A new file in which nothing fails.
    pub fn create(path: &Path) -> io::Result<ControlFile> {
        let file = File::options().create(true).truncate(true).read(true).write(true).open(path)?;
        file.write_all_at(&[0; CONTROL_FILE_BYTES], 0)?;
        Ok(ControlFile { path: path.to_owned(), file })
    }

    /// A file that was created before, as it is.
    pub fn open(path: &Path) -> io::Result<ControlFile> {
        let file = File::options().read(true).write(true).open(path)?;
        Ok(ControlFile { path: path.to_owned(), file })
    }

    /// The file's path, for [`CONTROL_FILE_VARIABLE`].
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Sets a word. The process sees it with its next call.
    pub fn set(&self, word: ControlWord, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), word as u64 * 8)
    }

    /// Reads a word.
    pub fn get(&self, word: ControlWord) -> io::Result<u64> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, word as u64 * 8)?;
        Ok(u64::from_ne_bytes(bytes))
    }

    /// Sets how far the wall clock is ahead, in seconds; behind where it is negative.
    pub fn set_wall_clock_offset(&self, seconds: f64) -> io::Result<()> {
        self.set(ControlWord::WallStepNanos, ((seconds * 1e9) as i64).cast_unsigned())
    }
}
