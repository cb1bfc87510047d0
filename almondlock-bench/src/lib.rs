//! (being written)

#![warn(clippy::unwrap_used, clippy::expect_used)]
