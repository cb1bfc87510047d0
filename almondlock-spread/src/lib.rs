//! Distributes configuration revisions to every process.
//!
//! Processes form a tree whose roots are the control replicas, the sources.
//! Each process sends a long-polling request for new changes to one parent, and
//! reports with it which revisions are in force in its own subtree. So a change
//! reaches every process within a few hops, and a source can tell when it is in
//! force everywhere, while no process serves more than a few others.
//!
//! - [`view`] holds the configuration in force, with the last changes in a
//!   [`ring`]; [`snapshot`] sends and receives a whole configuration in pieces;
//! - [`parent`] selects the process to ask, [`children`] decides which processes to
//!   serve and what to report;
//! - [`pacer`] limits the rate at which a source sends whole configurations to
//!   processes that are not its children;
//! - [`recency`] tracks how recent the configuration in force is known to be.
//!
//! Nothing here does I/O or reads a clock. `docs/spreading.md` weighs this
//! against gossip and argues why it is safe.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod children;
pub mod pacer;
pub mod parent;
pub mod recency;
pub mod ring;
pub mod snapshot;
pub mod view;
