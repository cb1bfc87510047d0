//! The replica role: the replicated log served to processes and operators.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod admin;
pub mod replica;
