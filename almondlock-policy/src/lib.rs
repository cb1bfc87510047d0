//! Decisions about requests, and nothing else.
//!
//! Every module here answers one question that comes up between a caller's
//! request and its answer: may it be admitted, where does it go, when does it
//! start, may it be sent again, what memory does it hold. None of them does
//! I/O, reads a clock or draws from a hidden random source. The present time is
//! an argument, so is a seeded generator where one is needed, and so each
//! decision is a plain function that a test can put into any situation.
//!
//! | module | process | question |
//! |---|---|---|
//! | [`length`] | entry | how long is the prompt, which class is it in |
//! | [`prefix`] | entry | which prompts begin alike |
//! | [`deadline`] | entry | how long may it take, and will that do |
//! | [`engine`] | both | what does work on an engine cost |
//! | [`admission`] | entry | is a long prompt worth the engines' time now |
//! | [`startup`] | entry | does a prompt wait in the first moments of a host |
//! | [`cell`] | entry | which engines come first for this host |
//! | [`fill`] | entry | which of several engines, on knowledge that is old |
//! | [`slots`] | entry | which short prompts get an engine's slots when these are scarce |
//! | [`limit`] | entry | does the organisation have room for it |
//! | [`choice`] | entry | which upstream |
//! | [`retry`] | entry | is a failed attempt followed by another |
//! | [`poison`] | both | does it kill engines, and how does it run then |
//! | [`share`] | entry | has the organisation more than its share while others wait |
//! | [`throttle`] | both | does an upstream's limit for all hosts leave room for it |
//! | [`backoff`] | entry | has an upstream asked for a pause, or does it leave |
//! | [`outlier`] | entry | which upstreams are slower than others, or fail |
//! | [`gate`] | sidecar | may this attempt start here, and did it |
//! | [`queue`] | sidecar | which attempt starts next |
//! | [`gang`] | both | how is a prompt larger than an engine given room on several |
//! | [`ledger`] | sidecar | what is engine memory held for, and until when |
//!
//! Each module stands alone, but that [`admission`] reckons in the costs of
//! [`engine`], and that it and [`slots`] read the standings of [`share`].

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod admission;
pub mod backoff;
mod bucket;
pub mod cell;
pub mod choice;
pub mod deadline;
pub mod engine;
pub mod fill;
pub mod gang;
pub mod gate;
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
pub mod throttle;
