//! The entry role.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod answer;
pub mod attempt;
pub mod body;
pub mod caller;
pub mod failure;
