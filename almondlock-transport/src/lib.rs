//! Connections between almondlock's own processes.
//!
//! One TCP connection carries one Cap'n Proto session, each side offering a
//! bootstrap `Node`. Sessions are bound to the thread that made them.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod link;
pub mod security;

pub use link::Link;
pub use security::Security;
