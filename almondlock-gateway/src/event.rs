//! Event streams, cut into whole events.
//!
//! Only whole events are passed on. When an upstream stops in the middle of
//! one, the caller has got nothing of it, and another run can go on after the
//! last whole event without a piece missing or doubled.

use bytes::{Bytes, BytesMut};

/// Ends an event.
const END: &[u8] = b"\n\n";
/// Begins the line with an event's number.
const ID: &[u8] = b"id:";

/// Cuts bytes into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    // The beginning of an event that isn't whole.
    rest: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// A cutter at the beginning of a stream.
    pub fn new() -> Splitter {
        Splitter::default()
    }

    /// Takes in bytes; gives all events that are whole now, as one piece.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.rest.extend_from_slice(bytes);
        let end = self.rest.windows(END.len()).rposition(|w| w == END)?;
        let whole = self.rest.split_to(end + END.len()).freeze();
        if let Some(last) = number(&whole) {
            self.last = Some(last);
        }
        Some(whole)
    }

    /// The number of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether nothing of an unfinished event is held.
    pub fn is_whole(&self) -> bool {
        self.rest.is_empty()
    }

    /// Takes what is left at the end of a stream.
    pub fn finish(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Drops the unfinished event of a run that broke off.
    pub fn drop_rest(&mut self) {
        self.rest.clear();
    }
}

/// The number of the last event among whole ones.
fn number(events: &[u8]) -> Option<u64> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(ID))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
