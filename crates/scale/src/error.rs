//! Why a verb ended without success.

use std::fmt;

/// The ways in which a verb can fail; each has an exit status of its own.
#[derive(Debug)]
pub enum Error {
    /// The command line or a file handed in cannot be used; the text names file, line and field.
    Input(String),
    /// A rule of delivery, or a limit that the run has to keep, was broken.
    Broken(String),
    /// The run could not be done: a process, a socket or a file failed.
    Failed(String),
}

impl Error {
    /// The exit status: 2 for bad input, 1 for everything else.
    pub fn exit_code(&self) -> u8 {
        if matches!(self, Error::Input(_)) { 2 } else { 1 }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::Input(text) | Error::Broken(text) | Error::Failed(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Error::Failed(error.to_string())
    }
}
