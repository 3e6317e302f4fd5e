//! Scale runs of the built sender against stand-ins on loopback: what a destination, a webhook held and a sender cost,
//! how long restarts and list changes take, and whether the rules of delivery hold meanwhile.

pub mod capacity;
pub mod error;
pub mod slopes;
