//! The entry role: from a caller's HTTP request to its answer.
//!
//! [`http`] reads and checks, [`life`] carries a request through its attempts,
//! [`claimed`] through those that run at most once, [`attempt`] talks to one
//! sidecar. What worker threads share is in [`shared`].

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod answer;
pub mod attempt;
pub mod body;
pub mod caller;
pub mod claimed;
mod course;
pub mod debt;
pub mod explain;
pub mod failure;
pub mod gang;
pub mod http;
pub mod journal;
pub mod life;
pub mod probe;
pub mod request;
mod reservation;
mod running;
mod send;
pub mod server;
pub mod shared;
