//! Starts the program and speaks to it over sockets.

mod backlog;
mod clocks;
mod crossings;
mod descriptors;
mod folder;
mod helpers;
mod sockets;
mod writes;
