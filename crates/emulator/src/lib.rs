//! A model of what a sender serves: clients that hand webhooks in, senders that decide, destinations with limits and
//! outages, the list of endpoints, and the network between them, played event by event in simulated time. No sockets,
//! no files, no clock: a day is a value ([`World`]), a seed and a policy, and gives the same event log each time.
//!
//! [`run`] plays a day; [`policy::decision_module`] is scalebarrow's decision module, [`baselines`] are what it is measured
//! against. The rules are checked from the event log by [`rules`], which shares nothing with any policy. All figures are
//! of simulated clients, senders and destinations.

pub mod baselines;
pub mod events;
mod faults;
mod fleet;
mod host;
mod measure;
pub mod policy;
mod queue;
pub mod random;
pub mod rules;
mod run;
pub mod spec;

pub use measure::{Counts, Little, Window};
pub use queue::{Nanos, nanos, seconds};
pub use rules::{Rule, Violation};
pub use run::{Report, run};
pub use spec::{World, WorldError};
