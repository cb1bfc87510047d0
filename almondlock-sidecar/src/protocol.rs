//! What a sidecar asks of an upstream, whatever the upstream's own protocol.
//!
//! One kind of upstream is one implementation of [`Protocol`] in one file. The
//! sidecar decides what runs and when; an implementation only carries orders
//! out and tells what came of them. In particular it never sends anything a
//! second time: whether that is safe is not its decision.

use std::{error, fmt, future::Future, rc::Rc};

use almondlock_base::unit::Tokens;
use almondlock_policy::ledger::Kind;
use almondlock_wire::{
    answer::{Part, Usage},
    attempt::{Head, Segment},
};
use futures::channel::mpsc;
use ntex::util::Bytes;

/// Chunks of a request's body that wait for the upstream at most.
const FEED_CAPACITY_CHUNKS: usize = 2;

/// A chunk of a body, or why there is none; in the form the HTTP client wants.
pub type Chunk = Result<Bytes, Rc<dyn error::Error>>;

/// A request's body, as it arrives from the entry host.
pub type Feed = mpsc::Receiver<Chunk>;

/// The end into which a body is fed.
pub type Feeder = mpsc::Sender<Chunk>;

/// Makes a body that is fed while it is read.
pub fn feed_channel() -> (Feeder, Feed) {
    mpsc::channel(FEED_CAPACITY_CHUNKS)
}

/// One run of a request on an upstream.
#[derive(Debug)]
pub struct Run<'a> {
    /// The attempt's head.
    pub head: &'a Head,
    /// The trace context of the upstream's hop.
    pub traceparent: &'a str,
    /// The name under which the upstream knows the run; unique for ever.
    pub id: &'a str,
    /// Lower runs first, where the upstream honours it.
    pub priority: u8,
}

/// A part of a prompt larger than one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece<'a> {
    /// The name under which the engine keeps it; unique for ever.
    pub id: &'a str,
    /// Its length in tokens.
    pub tokens: Tokens,
    /// Its text, as it stands in the body: the inside of a JSON string. `None`
    /// when the engine is told the length only.
    pub text: Option<Vec<u8>>,
    /// Lower runs first.
    pub priority: u8,
}

/// Where an answer's parts go, in order. Waits while the caller is slow.
pub trait Output {
    /// Passes on a part of `count` units.
    fn put(&mut self, count: u32, part: Part) -> impl Future<Output = Result<(), Closed>>;
}

/// Nobody wants the rest of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// Something that takes engine memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// The name it was given.
    pub id: String,
    /// What it is held for.
    pub kind: Kind,
    /// Its size.
    pub tokens: Tokens,
}

/// Why a run didn't end with a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused: nothing was handed on.
    Unreachable,
    /// The upstream refused before it ran anything, with an HTTP status.
    Refused(u16, String),
    /// The upstream answered with an error after it may have run.
    Failed(u16, String),
    /// The connection broke: the run's fate is unknown.
    Broken,
    /// The answer ended without its closing record.
    Truncated,
    /// Whoever wanted the answer is gone.
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

/// An upstream's own protocol.
pub trait Protocol: 'static {
    /// Runs a request and passes its answer on. Dropping the future ends the
    /// connection; [`Protocol::cancel`] makes sure of the run.
    fn run<O>(
        &self,
        job: Run<'_>,
        body: Feed,
        output: &mut O,
    ) -> impl Future<Output = Result<Usage, Failure>>
    where
        O: Output;

    /// Ends a run and frees its memory. Idempotent; true when confirmed.
    fn cancel(&self, id: &str) -> impl Future<Output = bool>;

    /// Processes a part of a prompt and keeps it until it is cancelled.
    fn process_segment(&self, piece: Piece<'_>) -> impl Future<Output = Result<Segment, Failure>>;

    /// Orders the upstream to load a version of a model.
    fn load_model(
        &self,
        model: &str,
        version: &str,
        fence: u64,
    ) -> impl Future<Output = Result<(), Failure>>;

    /// Lists what takes memory on the upstream, `None` when it doesn't answer.
    fn list_allocations(&self) -> impl Future<Output = Option<Vec<Allocation>>>;

    /// Whether the upstream answers at all.
    fn is_alive(&self) -> impl Future<Output = bool>;
}
