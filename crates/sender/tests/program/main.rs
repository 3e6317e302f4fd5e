//! Runs the built sender and tests it from outside, over loopback sockets and through its files.

mod answers;
mod backlog;
mod batches;
mod clocks;
mod crossings;
mod descriptors;
mod folder;
mod helpers;
mod sockets;
mod writes;
