//! The parts of the `scalebarrow` program. What decides is free of input and output and can be driven without sockets:
//! the [`bridge`] to the decision module, the state machines of the peers ([`list`], [`notices`], [`endpoints`],
//! [`clients`]) and the framing of messages ([`http`]). The [`journal`] keeps what outlives the process, [`config`]
//! reads what the platform hands over, and the [`driver`] joins all of it with sockets, timers and signals.

pub mod backlog;
pub mod bridge;
pub mod clients;
pub mod clock;
pub mod config;
pub mod counters;
pub mod driver;
pub mod endpoints;
pub mod http;
pub mod journal;
pub mod list;
pub mod notices;
pub mod withheld;
