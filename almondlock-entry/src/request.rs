//! A request as the entry host handles it, once it has been read and checked.

use std::time::Duration;

use almondlock_base::{
    id::{Fingerprint, Organisation},
    time::Mono,
    unit::Tokens,
};
use almondlock_telemetry::trace::Context;
use almondlock_wire::attempt::Target;

use crate::body::Rope;

/// Something that a caller wants answered.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, told to the caller.
    pub id: String,
    /// Whose it is.
    pub organisation: Organisation,
    /// The organisation's share. At least 1.
    pub share: u32,
    /// Where to.
    pub target: Target,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query, as the upstream shall see it.
    pub path: String,
    /// The body's type.
    pub content_type: String,
    /// The body.
    pub body: Rope,
    /// What it is told by.
    pub fingerprint: Fingerprint,
    /// A hash of path and body, for its claim.
    pub digest: [u8; 32],
    /// Length of the prompt in the body, in bytes; 0 where there is none.
    pub prompt_bytes: usize,
    /// Where it stands in the body, quotes included, if it is one string.
    pub prompt_span: Option<(usize, usize)>,
    /// Its estimated length.
    pub prompt: Tokens,
    /// Upper bound of the answer.
    pub output: Tokens,
    /// Hashes of the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Fingerprints of the passages that it begins with, shortest first.
    pub passages: Vec<Fingerprint>,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The idempotency key.
    pub key: Option<String>,
    /// When its time is over.
    pub deadline: Mono,
    /// When it arrived.
    pub arrived: Mono,
    /// Where its hop on this host belongs in its trace.
    pub context: Context,
}

impl Request {
    /// Time left.
    pub fn left(&self, now: Mono) -> Duration {
        self.deadline.since(now)
    }
}
