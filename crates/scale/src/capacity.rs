//! Makes the table of the capacity page from the file of slopes.

use crate::error::Error;
use bpaf::Bpaf;

/// What `capacity` is told.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {}

/// Makes the table.
pub fn run(_options: &Options) -> Result<(), Error> {
    Err(Error::Failed("not there yet".into()))
}
