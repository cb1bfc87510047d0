//! The decisions that are made about requests, as plain functions and state machines.
//!
//! Each module answers one question that arises between a caller's request and its answer:
//! may it be admitted, where is it sent, when does it start, may it be sent again, what
//! memory does it hold. No module does I/O, reads a clock or uses a hidden source of
//! randomness: the present time is an argument, and so is a seeded generator where one is
//! needed. So a test can put each decision into any situation.
//!
//! | module | process | question |
//! |---|---|---|
//! | [`connections`] | entry | which connection gives way when all are taken |
//! | [`intake`] | entry | may a body be read, and which one gives way when memory is short |
//! | [`length`] | entry | how long is the prompt, and in which class is it |
//! | [`prefix`] | entry | which prompts begin alike |
//! | [`deadline`] | entry | how much time has the request, and is that enough |
//! | [`engine`] | both | how much engine time does a prompt cost |
//! | [`admission`] | entry | is a long prompt worth the engines' time now |
//! | [`startup`] | entry | does a prompt wait just after the start of a host |
//! | [`cell`] | entry | which engines does this host prefer |
//! | [`fill`] | entry | which of several engines takes a prompt, given outdated reports |
//! | [`slots`] | entry | which short prompts get an engine's slots when these are scarce |
//! | [`limit`] | entry | is the request within its organisation's limit |
//! | [`choice`] | entry | which upstream takes the request |
//! | [`budget`] | entry | do all hosts together have a retry left |
//! | [`retry`] | entry | is a failed attempt followed by another |
//! | [`poison`] | both | does the request kill engines, and how does it run then |
//! | [`share`] | entry | does the organisation use more than its share while others wait |
//! | [`throttle`] | both | does an upstream's limit for all hosts leave room for the request |
//! | [`backoff`] | entry | has the upstream asked for a pause, or is it leaving |
//! | [`outlier`] | entry | which upstreams are slower than others, or fail |
//! | [`gate`] | sidecar | may this attempt start here, and did it |
//! | [`queue`] | sidecar | which attempt starts next |
//! | [`gang`] | both | which engines hold a prompt that is larger than one engine |
//! | [`ledger`] | sidecar | what is engine memory held for, and until when |
//!
//! The modules don't depend on each other, with two exceptions: [`admission`] uses the
//! costs of [`engine`], and [`admission`] and [`slots`] use the standings of [`share`].

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod admission;
pub mod backoff;
mod bucket;
pub mod budget;
pub mod cell;
pub mod choice;
pub mod connections;
pub mod deadline;
pub mod engine;
pub mod fill;
pub mod fleet;
pub mod gang;
pub mod gate;
pub mod intake;
pub mod ledger;
pub mod length;
pub mod limit;
pub mod outlier;
pub mod poison;
pub mod prefix;
pub mod queue;
pub mod retry;
pub mod share;
pub mod slots;
pub mod startup;
pub mod suspension;
pub mod throttle;
