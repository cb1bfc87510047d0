//! The replica role: the replicated log served to processes and operators.
//!
//! [`replica`] runs the log and the state machine on a disk, [`admin`] serves
//! operators, [`backend`] joins the two, and [`driver`] carries out plans.
//! [`directory`] is for deployments that publish one configuration text and
//! call upstreams directly.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod admin;
pub mod backend;
pub mod directory;
pub mod driver;
pub mod replica;
