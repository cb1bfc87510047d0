//! The interface between a sidecar and an upstream of any kind.
//!
//! Each kind of upstream has one implementation of [`Protocol`], in a file of
//! its own. The sidecar decides what runs and when; an implementation only
//! sends requests and reports their results. It never sends a request a second
//! time, because whether that is safe is the sidecar's decision.

use std::{fmt, future::Future};

use almondlock_base::unit::Tokens;
use almondlock_policy::ledger::Kind;
use almondlock_wire::{
    answer::{Part, Usage},
    attempt::{Head, Segment},
};
use futures::channel::mpsc;
use ntex::util::Bytes;

/// Number of chunks of a request's body that are buffered for the upstream.
const FEED_CAPACITY_CHUNKS: usize = 2;

/// A chunk of a body, or the error of the entry host's session that ended it.
pub type Chunk = Result<Bytes, capnp::Error>;

/// Receives a request's body as it arrives from the entry host.
pub type Feed = mpsc::Receiver<Chunk>;

/// Sends a request's body to the upstream's connection.
pub type Feeder = mpsc::Sender<Chunk>;

/// Creates a bounded channel for the body of a request.
pub fn feed_channel() -> (Feeder, Feed) {
    mpsc::channel(FEED_CAPACITY_CHUNKS)
}

/// One run of a request on an upstream.
#[derive(Debug)]
pub struct Run<'a> {
    /// Head of the attempt.
    pub head: &'a Head,
    /// Trace context that is sent to the upstream.
    pub traceparent: &'a str,
    /// Identifies the run at the upstream. Never used again.
    pub id: &'a str,
    /// Lower values run first, if the upstream supports priorities.
    pub priority: u8,
}

/// A part of a prompt that is larger than one engine's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece<'a> {
    /// Identifies the part at the engine. Never used again.
    pub id: &'a str,
    /// Length in tokens.
    pub tokens: Tokens,
    /// Text as it stands in the request body: the inside of a JSON string.
    /// `None` if the engine is told the length only.
    pub text: Option<Vec<u8>>,
    /// Lower values run first.
    pub priority: u8,
}

/// Receives the parts of an answer in order.
pub trait Output {
    /// Passes on a part of `count` units. Waits while the caller reads slowly,
    /// and fails if the answer is no longer wanted.
    fn put(&mut self, count: u32, part: Part) -> impl Future<Output = Result<(), Closed>>;
}

/// The error of an output whose receiver no longer wants the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// An item that takes engine memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Identifier that the sidecar gave it.
    pub id: String,
    /// What the memory is held for.
    pub kind: Kind,
    /// Size in tokens.
    pub tokens: Tokens,
}

/// The reason why a run didn't end with a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be made, so the upstream received nothing.
    Unreachable,
    /// The upstream refused the request before running any of it, with an HTTP
    /// status and a text.
    Refused(u16, String),
    /// The upstream answered with an error and may have run the request; with
    /// an HTTP status and a text.
    Failed(u16, String),
    /// The connection broke; whether the request ran is unknown.
    Broken,
    /// The answer ended without its closing record, or a record was unreadable.
    Truncated,
    /// The receiver of the answer is gone.
    OutputClosed,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unreachable => f.write_str("the upstream can't be reached"),
            Failure::Refused(status, text) => write!(f, "refused with {status}: {text}"),
            Failure::Failed(status, text) => write!(f, "failed with {status}: {text}"),
            Failure::Broken => f.write_str("the connection to the upstream broke"),
            Failure::Truncated => f.write_str("the upstream's answer broke off"),
            Failure::OutputClosed => f.write_str("the answer is no longer wanted"),
        }
    }
}

impl std::error::Error for Failure {}

/// The protocol of a kind of upstream.
pub trait Protocol: 'static {
    /// Runs a request and passes its answer on. Dropping the future closes the
    /// connection, but only [`Protocol::cancel`] makes sure that the run has
    /// ended.
    fn run<O>(
        &self,
        job: Run<'_>,
        body: Feed,
        output: &mut O,
    ) -> impl Future<Output = Result<Usage, Failure>>
    where
        O: Output;

    /// Ends a run and frees its memory. Idempotent. Returns true once the
    /// upstream confirmed it.
    fn cancel(&self, id: &str) -> impl Future<Output = bool>;

    /// Processes a part of a prompt and keeps the result until it is cancelled.
    fn process_segment(&self, piece: Piece<'_>) -> impl Future<Output = Result<Segment, Failure>>;

    /// Orders the upstream to load a version of a model.
    fn load_model(
        &self,
        model: &str,
        version: &str,
        fence: u64,
    ) -> impl Future<Output = Result<(), Failure>>;

    /// Lists what takes memory on the upstream. Returns `None` if the upstream
    /// doesn't answer.
    fn list_allocations(&self) -> impl Future<Output = Option<Vec<Allocation>>>;

    /// Returns whether the upstream answers.
    fn is_alive(&self) -> impl Future<Output = bool>;
}
