//! Stand-ins for what almondlock routes to: a model engine and a plain service.
//!
//! Both speak HTTP on loopback, run on the caller's own ntex runtime and are
//! handled through a value that can stop, kill and revive them, so that one
//! test process can hold a whole fleet. The engine does no inference. Its
//! answers are hashes of the prompt ([`answer`]), which lets a test tell a
//! whole and right answer from a truncated, doubled or foreign one; its time is
//! a model of continuous batching ([`engine::Config`]), which lets an
//! experiment see queueing, memory and cache effects without an accelerator.
//!
//! Not for sizing real engines: step times are settings, not measurements, and
//! attention costs the same at every length.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod answer;
mod batch;
mod cache;
pub mod client;
mod complete;
pub mod engine;
pub mod failing;
pub mod framing;
mod http;
mod kv;
mod listener;
mod order;
mod report;
mod route;
mod running;
pub mod service;
mod stream;
