//! The cases, each in a file of its own.

mod bundles;
mod pipeline;

use crate::{Failure, Run, Verdict};

type Case = fn(&Run) -> Result<Verdict, Failure>;

/// The case with this name.
pub fn by_name(name: &str) -> Option<Case> {
    match name {
        "bundles" => Some(bundles::play),
        "pipeline" => Some(pipeline::play),
        _ => None,
    }
}
