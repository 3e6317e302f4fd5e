//! Scale runs of the built sender against stand-ins on loopback: what a destination, a webhook held and a sender cost,
//! how long restarts and list changes take, and whether the rules of delivery hold meanwhile.

pub mod capacity;
pub mod draws;
pub mod error;
pub mod fleet;
pub mod guard;
pub mod hollow;
pub mod interrupt;
pub mod process;
pub mod settings;
pub mod slopes;
pub mod soak;
pub mod standins;
pub mod verbs;
