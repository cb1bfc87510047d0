//! The sidecar: a process next to an upstream through which all requests to
//! that upstream pass.
//!
//! Attempts are queued here and not inside the engine, because only an attempt
//! that the engine has not received can be withdrawn, proved not to have run,
//! or moved behind a shorter one. The body of a request stays with its entry
//! host until the engine has room for the request, so a queued attempt takes
//! little memory here.
//!
//! [`table`] decides which attempts run, [`sidecar`] carries the decisions out,
//! `rpc` serves the requests of entry hosts, and [`protocol`] is the interface
//! to upstreams of each kind. [`announce`] takes the announcements of upstreams
//! and starts a sidecar for each.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod announce;
mod body;
mod client;
mod death;
mod maintenance;
pub mod memory;
pub mod openai;
pub mod orders;
mod outcome;
pub mod output;
mod parts;
mod passages;
pub mod plain;
mod prefixes;
pub mod protocol;
mod rpc;
pub mod sidecar;
pub mod stop;
pub mod table;
mod ticket;
