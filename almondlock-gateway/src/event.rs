//! Splits event streams into complete events.
//!
//! Only complete events are passed on. If an upstream stops in the middle of an event, the
//! caller has received nothing of it, and another run can continue after the last complete
//! event with nothing missing or repeated. A stream that ends in the middle of an event is
//! incomplete, however its end was marked.

use bytes::{Bytes, BytesMut};

/// Start of the line with an event's number.
const ID_PREFIX: &[u8] = b"id:";

/// Maximum size of an event, in bytes. An event holds a few tokens.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits bytes into complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Start of an event that isn't complete.
    rest: BytesMut,
    /// Number of the last complete event.
    last: Option<u64>,
}

impl Splitter {
    /// Creates a splitter for the beginning of a stream.
    pub fn new() -> Splitter {
        Splitter::default()
    }

    /// Adds bytes, and returns all events that they complete, in one piece.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let known = self.rest.len();
        self.rest.extend_from_slice(bytes);
        let end = end_of_events(&self.rest, known)?;
        let whole = self.rest.split_to(end).freeze();
        if let Some(last) = last_number(&whole) {
            self.last = Some(last);
        }
        Some(whole)
    }

    /// Returns the number of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of bytes held of an incomplete event.
    pub fn incomplete_bytes(&self) -> usize {
        self.rest.len()
    }

    /// Returns whether the event that isn't complete is longer than any can be.
    pub fn is_overlong(&self) -> bool {
        self.rest.len() > MAX_EVENT_BYTES
    }

    /// Discards the incomplete event of a run that was interrupted.
    pub fn discard_rest(&mut self) {
        self.rest.clear();
    }
}

/// Returns where the last complete event ends: behind an empty line. Lines end with a line
/// feed, or with a carriage return and a line feed. No event ends within the first `known`
/// bytes.
fn end_of_events(bytes: &[u8], known: usize) -> Option<usize> {
    let is_end = |end: &usize| {
        let line = &bytes[..*end];
        line.ends_with(b"\n\n") || line.ends_with(b"\n\r\n")
    };
    (known + 1..=bytes.len()).rev().find(is_end)
}

/// Returns the number of the last numbered event.
fn last_number(events: &[u8]) -> Option<u64> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(ID_PREFIX))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
