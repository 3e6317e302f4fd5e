//! A shared library that is preloaded into a process under test. It replaces functions of the C library: some
//! calls fail, transfer fewer bytes or return late, and the wall clock is stepped, as the control file of
//! `scalebarrow-fault-control` says. Without a control file all calls pass through. The library is for tests
//! only.

mod clock;
mod control;
mod files;
mod random;
mod real;
mod sockets;
