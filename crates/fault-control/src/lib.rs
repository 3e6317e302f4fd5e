//! The control file of the fault shim: a test writes it to tell the shim in a process under test which faults
//! to inject. The file consists of 64-bit words. The shim maps it into its memory, so that faults can begin
//! and end while the process runs.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The environment variable with the path of the control file.
pub const CONTROL_FILE_VARIABLE: &str = "FAULT_SHIM_CONTROL";
/// The environment variable with the path of the state folder, the only one whose writes the shim can let
/// fail.
pub const STATE_FOLDER_VARIABLE: &str = "LB_STATE";
/// The size of the control file.
pub const CONTROL_FILE_BYTES: usize = ControlWord::ALL.len() * 8;
/// The rate of a fault that happens at every call. Lower rates are fractions of it.
pub const FULL_RATE: u64 = 1_000_000;

/// A word of the control file. The value of a variant is the index of the word in the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum ControlWord {
    /// Nanoseconds by which the wall clock is ahead of the real one, as a signed number.
    WallStepNanos,
    /// The rate at which a read of the monotonic clock is followed by a pause of the calling thread.
    HoldUpRate,
    /// The longest such pause, in microseconds.
    HoldUpMicros,
    /// The rate at which calls on sockets fail.
    SocketFailRate,
    /// The rate at which reads and writes on sockets transfer fewer bytes than requested.
    ShortRate,
    /// How writes to the state folder fail, as a [`FolderFault`].
    FolderFault,
    /// The seed of the shim's random numbers.
    Seed,
    /// Pauses after reads of the clock so far, counted by the shim.
    HoldUps,
    /// Calls on sockets that failed or were shortened so far, counted by the shim.
    SocketFaults,
    /// Calls on the state folder that failed or were shortened so far, counted by the shim.
    FolderFaults,
}

impl ControlWord {
    /// All words, in the order of the file.
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

/// How writes to the state folder fail. With every variant except `None`, creating, truncating, syncing and
/// renaming its files fails as well, with the same error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[repr(u64)]
pub enum FolderFault {
    /// They succeed.
    #[default]
    None,
    /// Nothing is written, and the call fails with ENOSPC.
    NoSpace,
    /// Nothing is written, and the call fails with EIO.
    IoError,
    /// Each write transfers half of its bytes; a write of a single byte fails with ENOSPC.
    NoSpaceAfterHalf,
    /// Each write transfers half of its bytes; a write of a single byte fails with EIO.
    IoErrorAfterHalf,
}

impl FolderFault {
    /// All variants except `None`.
    pub const FAULTS: [FolderFault; 4] = [
        FolderFault::NoSpace,
        FolderFault::IoError,
        FolderFault::NoSpaceAfterHalf,
        FolderFault::IoErrorAfterHalf,
    ];

    /// The fault with this value in the control file; `None` for an unknown value.
    pub fn from_value(value: u64) -> FolderFault {
        Self::FAULTS.into_iter().find(|fault| *fault as u64 == value).unwrap_or_default()
    }
}

/// Finds the built shim for a program of this workspace: the shim of the same build profile, or else of the
/// release build. The error names the command that builds it.
pub fn find_shim(program: &Path) -> io::Result<PathBuf> {
    const FILE_NAME: &str = "libscalebarrow_fault_shim.so";
    let target_folder = program.ancestors().find(|folder| folder.ends_with("target"));
    let same_profile = program.with_file_name(FILE_NAME);
    let release = target_folder.map(|target_folder| target_folder.join("release").join(FILE_NAME));
    let found = [Some(same_profile), release].into_iter().flatten().find(|path| path.exists());
    let error_text = format!("{FILE_NAME} is not built: cargo build --release -p scalebarrow-fault-shim");
    found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, error_text))
}

/// A control file, as the test uses it.
#[derive(Debug)]
pub struct ControlFile {
    path: PathBuf,
    file: File,
}

impl ControlFile {
    /// Creates a file with all words 0, which injects no faults.
    pub fn create(path: &Path) -> io::Result<ControlFile> {
        let file = File::options().create(true).truncate(true).read(true).write(true).open(path)?;
        file.write_all_at(&[0; CONTROL_FILE_BYTES], 0)?;
        Ok(ControlFile { path: path.to_owned(), file })
    }

    /// Opens a file that exists, and leaves its words as they are.
    pub fn open(path: &Path) -> io::Result<ControlFile> {
        let file = File::options().read(true).write(true).open(path)?;
        Ok(ControlFile { path: path.to_owned(), file })
    }

    /// The file's path, for [`CONTROL_FILE_VARIABLE`].
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Sets a word. It has effect on the next call of the process.
    pub fn set(&self, word: ControlWord, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), word as u64 * 8)
    }

    /// Reads a word.
    pub fn get(&self, word: ControlWord) -> io::Result<u64> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, word as u64 * 8)?;
        Ok(u64::from_ne_bytes(bytes))
    }

    /// Sets by how many seconds the wall clock is ahead, or behind if negative.
    pub fn set_wall_clock_offset(&self, offset_secs: f64) -> io::Result<()> {
        self.set(ControlWord::WallStepNanos, ((offset_secs * 1e9) as i64).cast_unsigned())
    }
}
