//! The protocol between almondlock's own processes.
//!
//! `almondlock.capnp` is the protocol; [`almondlock_capnp`] is made from it and
//! committed, so that a build needs no schema compiler. Generated types stop
//! here: each module turns one family of messages into domain types and back,
//! checking names and numbers once, so that nothing behind this border meets a
//! value that breaks an invariant.

pub mod answer;
pub mod attempt;
pub mod error;
pub mod peer;
pub mod spread;

// Made by a generator: its habits are not ours.
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
#[path = "generated/almondlock_capnp.rs"]
pub mod almondlock_capnp;
