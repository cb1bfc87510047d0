//! The sidecar: one small process beside an upstream, and its only way in.

pub mod openai;
pub mod plain;
pub mod protocol;
