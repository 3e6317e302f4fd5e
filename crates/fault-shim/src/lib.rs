//! A library to be preloaded into a process under test. It stands before functions of the C library and makes some of
//! their calls fail, come short or come late, and steps the wall clock, as the file of `scalebarrow-fault-control` says.
//! Without that file all calls go through. It is part of no product.

mod chance;
mod clock;
mod control;
mod files;
mod real;
mod sockets;
