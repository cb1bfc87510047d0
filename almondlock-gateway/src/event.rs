//! Event streams, cut into whole events.
//!
//! Only whole events are passed on. When an upstream stops in the middle of
//! one, the caller has got nothing of it, and another run can go on after the
//! last whole event without a piece missing or doubled.

use bytes::{Bytes, BytesMut};

/// Ends an event.
const EVENT_END: &[u8] = b"\n\n";
/// Begins the line with an event's number.
const ID_PREFIX: &[u8] = b"id:";

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
        let end = self
            .rest
            .windows(EVENT_END.len())
            .rposition(|w| w == EVENT_END)?;
        let whole = self.rest.split_to(end + EVENT_END.len()).freeze();
        if let Some(last) = last_number(&whole) {
            self.last = Some(last);
        }
        Some(whole)
    }

    /// The number of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Whether nothing of an unfinished event is held.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Takes what is left at the end of a stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Drops the unfinished event of a run that broke off.
    pub fn discard_rest(&mut self) {
        self.rest.clear();
    }
}

/// The number of the last event among whole ones.
fn last_number(events: &[u8]) -> Option<u64> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(ID_PREFIX))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
