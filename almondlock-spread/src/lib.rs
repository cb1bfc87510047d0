//! Spreading configuration revisions to every process.
//!
//! Processes form a tree whose roots are the control replicas, the sources.
//! Each process asks one parent for what is new and waits there for the answer,
//! and tells it with each question what is in force in its own subtree. So a
//! change reaches everyone within a few steps, and a source can say that it is
//! in force everywhere, while no process serves more than a few others.
//!
//! - [`view`] is the configuration in force, with the last changes in a
//!   [`ring`] and the whole in pieces by [`snapshot`];
//! - [`parent`] decides whom to ask, [`children`] whom to serve and what to
//!   report;
//! - [`pacer`] decides when a source tells the whole to those that it doesn't serve;
//! - [`recency`] decides whether what is in force is known to be recent.
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
