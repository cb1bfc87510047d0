//! Whether a body that ends with its connection was cut, judged by its content.

use super::Head;

/// Content type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// What is known of a body's content at the point that was read.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Content {
    is_event_stream: bool,
    /// Number of line ends after the last byte of another kind. An event ends with two.
    line_ends: usize,
}

impl Content {
    /// Begins with the body that follows `head`.
    pub(super) fn new(head: &Head) -> Content {
        let content_type = head.text("content-type").unwrap_or_default();
        let essence = content_type.split(';').next().unwrap_or_default();
        Content {
            is_event_stream: essence.trim().eq_ignore_ascii_case(EVENT_STREAM),
            ..Content::default()
        }
    }

    /// Adds the next bytes of the body.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let last = bytes.iter().rposition(|byte| !is_line_end(byte));
        let ends = &bytes[last.map_or(0, |last| last + 1)..];
        let count = ends.iter().filter(|byte| **byte == b'\n').count();
        self.line_ends = match last {
            Some(_) => count,
            None => self.line_ends + count,
        };
    }

    /// Returns whether the body would be incomplete if it ended here. Only event streams
    /// tell; one without any event does not say that it is complete.
    pub(super) fn is_cut(&self) -> bool {
        self.is_event_stream && self.line_ends < 2
    }
}
