//! A log-structured store: numbered values, each with a small state beside it, in a folder of checksummed segments.
//!
//! Records are only ever appended, to the newest segment. A segment that is full is sealed with a checkpoint, the list
//! of its records without their payloads, so that a start reads checkpoints and the unsealed tail but no payloads.
//! Space is won back by compaction: the oldest segment's live records are copied to the newest, then it is removed.
//! As segments go strictly oldest first, the record of a removal is never needed longer than what it removes.
//!
//! In memory a value takes its number and the position of its record. What a process that is killed had appended is
//! there at the next start; nothing is synced, so a machine that loses power may lose the last records.
//!
//! - [`Store`] does as the [`planner`] says, through a [`Files`].
//! - [`planner`] decides about segments and does no I/O.
//! - [`FolderFiles`], [`MemoryFiles`] and, for tests, [`FaultyFiles`] are the files.

mod faulty;
mod files;
mod folder;
mod frame;
mod memory;
pub mod planner;
mod store;

pub use faulty::{Fault, FaultyFiles};
pub use files::Files;
pub use folder::FolderFiles;
pub use frame::{Record, RecordKind, RecordPosition};
pub use memory::MemoryFiles;
pub use store::{OnError, OpenSummary, ReplayedRecord, Store};
