//! Stand-ins for the parties that a sender talks to: the platform's list service, the receivers of the
//! destinations, and the clients; and a judge that checks what these recorded against the delivery rules.

pub mod clients;
pub mod id;
pub mod judge;
pub mod list_service;
pub mod message;
pub mod receivers;
pub mod server;
