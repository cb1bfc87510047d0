//! The sidecar: one small process beside an upstream, and its only way in.
//!
//! Work waits here and not inside the engine, because only what waits here can
//! be withdrawn and proved not run, and re-ordered when something shorter
//! comes. A request's body stays with its entry host until the engine has room
//! for it, so that waiting costs next to no memory.
//!
//! [`table`] decides, [`service`] acts on it, `rpc` is how entry hosts reach
//! it, and [`protocol`] is how it reaches an upstream of whatever kind.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod announce;
mod body;
mod death;
mod maintenance;
pub mod memory;
pub mod openai;
pub mod orders;
mod outcome;
pub mod output;
mod parts;
pub mod plain;
pub mod protocol;
mod rpc;
pub mod sidecar;
pub mod stop;
pub mod table;
mod ticket;
