//! Forwards HTTP requests unchanged to upstreams that the gateway calls directly.
//!
//! An entry host with this role takes requests by host and path, looks up the route, checks
//! the caller's key, chooses an upstream and passes its answer back as it arrives. Routes,
//! services and organisations come from a published configuration, the list of upstreams
//! from their heartbeats. Both are part of the replicated configuration that every process
//! holds.
//!
//! | module | decides or does |
//! |---|---|
//! | [`rules`] | the contents of a published configuration, as plain types |
//! | [`dialect`] | header names and configuration format of a platform |
//! | [`reading`] | which version is in force, and what has to be parsed of the next one |
//! | `follow` | parses published versions between requests |
//! | [`load`] | the work in progress on each upstream |
//! | [`memory`] | how a large prompt's memory is divided among engines |
//! | [`pick`] | which upstream answers, and which engines help to read the prompt |
//! | [`budget`] | whether a retry may be sent |
//! | [`share`] | what organisations have in flight, and which are over their share |
//! | [`failure`] | what a failed attempt proves, and whether a retry is allowed |
//! | [`upstream`] | HTTP/1.1 connections to upstreams, and which of them are idle |
//! | [`event`] | splits event streams into complete events |
//! | `accept` | reads and checks a caller's request |
//! | `request` | the attempts of one request, until one is answered or none is left |
//! | `attempt` | one attempt at one upstream |
//! | `outgoing` | the head of a request as sent to an upstream |
//! | `stream` | an event stream on its way to the caller |
//! | `response` | what callers receive |
//! | `resources` | what one attempt holds while it runs |
//! | `lease` | memory reserved on engines, and its release |
//! | `backoff` | upstreams that asked for a pause, or are leaving |
//! | `limit` | request rates that upstreams allow all hosts together |
//! | `placement` | where an attempt goes, and what it waits for before |
//! | `startup` | delays long prompts shortly after the host's start |
//! | `slots` | short prompts that wait for a free slot on an engine |
//! | `permit` | permits, requested from relays, for upstreams with a rate limit |
//! | `standing` | requests of organisations that are over their share |
//! | `pace` | upstreams judged by how fast and how often they answer |
//! | `suspicion` | requests during which upstreams were lost, counted over all hosts |
//! | `worker` | state that the requests of one thread share |
//! | `shared` | state that the threads of a process share |
//! | [`exchange`] | exchange of load reports between entry hosts |
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
mod intake;
mod lease;
mod limit;
pub mod load;
pub mod memory;
mod outgoing;
mod pace;
mod permit;
pub mod pick;
mod placement;
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
mod worker;

pub use almondlock_http::upstream;
