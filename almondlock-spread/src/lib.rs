//! Spreading configuration revisions to every process.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod view;
