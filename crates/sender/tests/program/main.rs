//! Starts the program and speaks to it over sockets.

mod crossings;
mod helpers;
mod sockets;
