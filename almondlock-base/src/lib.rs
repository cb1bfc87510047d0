//! Identifiers, units and numbered result codes.
//!
//! Every almondlock package speaks of the same few things: hosts, failure
//! domains, organisations, upstreams, attempts, revisions, tokens. They are
//! small newtypes here, so that a function which takes a host's name can't be
//! handed an organisation's. Constructors check; whatever holds a value of one
//! of these types may rely on the invariant that stands beside its field.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod code;
pub mod id;
pub mod time;
pub mod unit;

pub use code::{Code, Ran};
