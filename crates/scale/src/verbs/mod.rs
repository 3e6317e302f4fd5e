//! The verbs of the command line, and what they share.

pub mod changes;
pub mod day;
pub mod load;
pub mod report;
pub mod restarts;
pub mod slope;
pub mod small;
