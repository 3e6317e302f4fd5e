//! The error that ends a verb.

use std::fmt;

/// Why a verb failed. The kind decides the exit status.
#[derive(Debug)]
pub enum Error {
    /// The command line or an input file cannot be used. The text names the file, the line and the field.
    Input(String),
    /// A delivery rule was broken, or a limit of the run was exceeded.
    Broken(String),
    /// The run could not be carried out, because a process, a socket or a file failed.
    Failed(String),
}

impl Error {
    /// The exit status: 2 for bad input, 1 for everything else.
    pub fn exit_code(&self) -> u8 {
        if matches!(self, Error::Input(_)) { 2 } else { 1 }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Error::Input(text) | Error::Broken(text) | Error::Failed(text) => formatter.write_str(text),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Error::Failed(error.to_string())
    }
}
