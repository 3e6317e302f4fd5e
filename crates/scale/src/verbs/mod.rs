//! The verbs of the command line, one module each.

pub mod changes;
pub mod day;
pub mod load;
pub mod report;
pub mod restarts;
pub mod slope;
pub mod small;
