//! The state machine of the replicated log, as plain data and pure functions.
//!
//! Applying a [`command`] to the [`machine`] changes the state and returns a reply.
//! Replicas that apply the same commands in the same order hold the same state: no code
//! here that they run reads a clock or draws a random number.
//!
//! The part of the state that all processes need, [`config`], is separate from the part
//! that only the replicas hold (claims, plans, history), because the former is distributed
//! to hundreds of processes and the latter changes with the traffic.

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
