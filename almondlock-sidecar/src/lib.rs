//! The sidecar: one small process beside an upstream, and its only way in.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod openai;
pub mod plain;
pub mod protocol;
