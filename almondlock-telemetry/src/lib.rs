//! Logs, spans and metrics: what people see of a running system.
//!
//! - [`log`] sets up structured logging through `tracing`, as text or JSON.
//! - [`trace`] holds the identifiers of W3C Trace Context, so that the hops of
//!   one request are joined over processes.
//! - [`spans`] writes finished hops to a file, by setting.
//! - [`metrics`] sends counters and timers to a statsd address over UDP.
//! - [`figures`] keeps counters and histograms that are fetched as text.
//! - [`throttle`] bounds lines that others can cause at will.
//! - [`secret`] wraps what must never be printed.
//!
//! Nothing here may slow a request: what can't be written at once is dropped
//! and counted.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod figures;
pub mod log;
pub mod metrics;
pub mod secret;
pub mod spans;
pub mod throttle;
pub mod trace;

pub use log::init;
pub use secret::Secret;
