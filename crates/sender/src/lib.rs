//! The parts of the `scalebarrow` program, a sender of webhooks. The parts that decide and that implement
//! protocols do no I/O and can be tested without sockets: the [`bridge`] to the decision module, the state
//! machines of the program's peers ([`list`], [`notices`], [`endpoints`], [`clients`]) and the decoding of
//! HTTP messages ([`http`]). The [`journal`] stores what has to survive a restart, [`folder_lock`] keeps other processes from it, [`config`] reads the
//! configuration, and the [`driver`] connects everything to sockets, timers and signals.

pub mod backlog;
pub mod bridge;
pub mod clients;
pub mod clock;
pub mod config;
pub mod counters;
pub mod driver;
pub mod endpoints;
pub mod folder_lock;
pub mod http;
pub mod journal;
pub mod list;
pub mod notices;
pub mod withheld;
