//! Bounds on what callers make a process hold.
//!
//! A caller costs memory before it is known who it is: a connection, the head of a request,
//! a body. Every listener that callers reach bounds these for the process as a whole, with
//! limits that follow from the memory and the descriptors that the process has.
//!
//! | module | bounds |
//! |---|---|
//! | [`bodies`] | the bodies of all requests, as one budget of bytes |
//! | [`connections`] | open connections |
//! | [`held`] | collected bodies that callers don't read |
//! | [`listener`] | heads and socket buffers of each connection |
//! | [`reading`] | what reading a JSON text may take |
//! | [`turns`] | requests that are sent ahead on one connection |
//! | [`host`] | tells what the process has, and derives the limits |

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod bodies;
pub mod connections;
pub mod held;
pub mod host;
pub mod listener;
pub mod reading;
pub mod turns;
