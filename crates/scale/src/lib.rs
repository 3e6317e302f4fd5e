//! Scale and fault tests of the built sender against stand-ins on loopback. They measure what each listed
//! destination, pending webhook and sender costs, and how long restarts and list changes take, and check the
//! delivery rules meanwhile.

pub mod capacity;
pub mod error;
pub mod fleet;
pub mod guard;
pub mod hollow;
pub mod interrupt;
pub mod process;
pub mod random;
pub mod settings;
pub mod slopes;
pub mod soak;
pub mod standins;
pub mod verbs;
