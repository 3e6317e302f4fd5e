//! The verbs of the command line, one module each.

pub mod load;
pub mod report;
pub mod slope;
