//! Connections between almondlock's own processes.
//!
//! One TCP connection carries one Cap'n Proto session, each side offering a
//! bootstrap `Node`. Sessions are bound to the thread that made them.
//!
//! From the outside in, a session is a TCP stream, inside a [`Layer`] (nothing
//! in production, faults in tests), inside mutual TLS or nothing
//! ([`Security`]), with a bound on the size of a message. [`link`] dials and
//! [`listen`] serves; [`pool`] keeps one session per address and thread.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod backoff;
pub mod clock;
pub mod fault;
pub mod layer;
pub mod link;
pub mod listen;
pub mod pool;
pub mod security;
mod stream;

pub use layer::{Direct, Layer};
pub use link::{Dialer, Link};
pub use listen::serve;
pub use pool::Pool;
pub use security::{Identity, Security};
