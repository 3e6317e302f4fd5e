//! A discrete-event model of clients that hand webhooks in, senders that deliver them, destinations with
//! limits and outages, the endpoint list, and the network, in simulated time and without sockets, files or a
//! clock.
//!
//! A day is one simulated run. It is given by its settings ([`World`]), a seed and a policy, and always
//! produces the same event log. [`run()`] plays a day; [`policy::decision_module`] is scalebarrow's decision
//! module, and [`baselines`] are policies to compare it with. [`rules`] checks the delivery rules from the
//! event log and shares no code with any policy. All figures are of simulated clients, senders and
//! destinations.

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

pub use measure::{Counts, LittlesLaw, Window};
pub use queue::{Nanos, nanos, seconds};
pub use rules::{Rule, Violation};
pub use run::{Report, run};
pub use spec::{World, WorldError};
