//! The state that all replicas agree on, as plain data and pure functions.
//!
//! A command goes in, a reply comes out, and two replicas that apply the same
//! commands in the same order hold the same state: nothing here reads a clock
//! or draws a random number. The part of the state that every process of the
//! system needs, [`config`], is kept apart from the part that only the
//! replicas hold (claims, plans, history), because the first is spread to
//! hundreds of processes and the second changes with the traffic.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod api;
pub mod blob;
pub mod claim;
pub mod command;
pub mod config;
pub mod document;
pub mod evacuation;
pub mod history;
pub mod instance;
pub mod intent;
pub mod limit;
pub mod machine;
pub mod operator;
pub mod order;
pub mod placement;
pub mod plan;
pub mod poison;
pub mod registration;
pub mod replica;
pub mod tables;
