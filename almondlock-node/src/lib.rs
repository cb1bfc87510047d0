//! What every almondlock process has, whatever its roles: an inner listener
//! with a bootstrap interface, a view of the configuration in force that is
//! kept up to date from other processes, and links to peers.

#![warn(clippy::unwrap_used, clippy::expect_used)]

mod exchange;
mod fetch;
pub mod handle;
pub mod links;
pub mod node;
pub mod replicas;
mod server;
mod session;

pub use almondlock_transport::clock;
pub use handle::{Handle, Vouch};
pub use node::{Config, Node, Pace, Parts, Sidecars};
