//! A log-structured key-value store: each `u64` key has a value and a small state, kept in a folder of
//! checksummed segment files.
//!
//! Records are only appended, to the newest segment. A full segment is sealed with a checkpoint, a list of
//! its records without their payloads, so that opening the store reads the checkpoints and the unsealed tail
//! but no other payloads. Compaction reclaims space: it copies the live records of the oldest segment to the
//! newest one and then removes the oldest. Segments are removed strictly oldest first, so a tombstone is
//! never needed longer than the records that it deletes.
//!
//! In memory, a value takes up its key and the position of its record. Records that were appended before the
//! process was killed are found when the store is opened again. Nothing is synced to disk: a power failure
//! may lose the last records.
//!
//! - [`Store`] reads and writes segments through [`Files`], as the [`planner`] decides.
//! - [`planner`] decides when to seal, compact and remove segments; it does no I/O.
//! - [`FolderFiles`], [`MemoryFiles`] and, for tests, [`FaultyFiles`] implement [`Files`].

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
