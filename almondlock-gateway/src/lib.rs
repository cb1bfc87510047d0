//! Forwards HTTP requests, unchanged, to upstreams that are called directly.
//!
//! An entry host of this kind takes requests by host and path, looks up the
//! route, checks the caller's key, chooses an upstream, and passes the answer
//! back as it comes. What the routes are, a published configuration says; which
//! upstreams there are, their heartbeats say; both come with the replicated
//! configuration that every process holds.
//!
//! | module | decides or does |
//! |---|---|
//! | [`rules`] | what a published configuration says, as plain types |
//! | [`dialect`] | the names of headers, and who reads a published configuration |
//! | [`reading`] | which version is in force, and what has to be read of the next |
//! | `follow` | reads published versions between requests |
//! | [`load`] | what is under way on each upstream |
//! | [`memory`] | how much of a large prompt is held by which engine |
//! | [`pick`] | which upstream, and with which helpers |
//! | [`budget`] | whether another attempt may be sent |
//! | [`share`] | what organisations have in flight, and which are over their share |
//! | [`failure`] | what a failed attempt proves, and what may follow |
//! | [`upstream`] | one HTTP/1.1 connection to an upstream |
//! | [`pool`] | connections that wait for their next request |
//! | [`event`] | event streams, cut into whole events |
//! | `lease` | memory set aside on engines, and given back |
//! | `backoff` | upstreams that ask for a pause, or leave |
//! | `limit` | limits that upstreams name for all hosts |
//! | `placement` | where an attempt goes, and what it waits for before |
//! | `slots` | short prompts that wait for an engine's free slot |
//! | `permit` | permits for upstreams that name one, asked of relays |
//! | `standing` | requests of organisations that are over their share |
//! | `pace` | upstreams judged by how fast and how often they answer |
//! | `suspicion` | requests that upstreams were lost with, counted over all hosts |
//! | `request` | one request from its arrival to the end of its answer |
//! | [`exchange`] | loads told from entry host to entry host |
//! | [`server`] | the listeners |
//!
//! The deciding modules ([`rules`] to [`failure`]) do no I/O and read no clock.

#![warn(clippy::unwrap_used, clippy::expect_used)]

mod accept;
mod attempt;
mod backoff;
pub mod budget;
pub mod dialect;
pub mod event;
pub mod exchange;
pub mod failure;
mod follow;
mod lease;
mod limit;
pub mod load;
pub mod memory;
mod outgoing;
mod pace;
mod permit;
pub mod pick;
mod placement;
pub mod pool;
pub mod reading;
mod request;
mod resources;
mod response;
pub mod rules;
pub mod server;
pub mod share;
mod shared;
mod slots;
mod standing;
mod startup;
mod stream;
mod suspicion;
pub mod upstream;
mod worker;
