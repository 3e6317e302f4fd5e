//! Stand-ins for those that a sender speaks to: the platform's list service, the destinations' receivers and the
//! clients; and the judge of the rules, which sees only what these record.

pub mod clients;
pub mod id;
pub mod judge;
pub mod list_service;
pub mod message;
pub mod receivers;
pub mod server;
