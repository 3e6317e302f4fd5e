//! Starts the program and speaks to it over sockets.

mod backlog;
mod crossings;
mod descriptors;
mod helpers;
mod sockets;
mod writes;
