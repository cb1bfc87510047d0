//! How a stand-in marks the end of its answers.
//!
//! An answer in HTTP/1.1 may come with neither a length nor chunks and end with its
//! connection. Whoever reads it can't tell from the framing whether it was cut.

use std::{
    error::Error,
    rc::Rc,
    task::{Context, Poll},
};

use ntex::{
    http::{
        ConnectionType, Response,
        body::{Body, BodySize, MessageBody, ResponseBody},
    },
    util::Bytes,
};

/// How answers are framed, and how they end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// With a length or in chunks, and complete.
    #[default]
    Marked,
    /// With neither, and complete: the connection is closed after the body.
    Unmarked,
    /// With neither; the connection is closed after this many bytes of the body.
    Cut(usize),
    /// With neither; the connection is reset after this many bytes of the body, or after its
    /// end.
    Reset(usize),
}

impl Framing {
    /// Reads `marked`, `unmarked`, `cut:BYTES` or `reset:BYTES`.
    pub fn parse(text: &str) -> Option<Framing> {
        match text.split_once(':') {
            Some(("cut", bytes)) => bytes.parse().ok().map(Framing::Cut),
            Some(("reset", bytes)) => bytes.parse().ok().map(Framing::Reset),
            None if text == "marked" => Some(Framing::Marked),
            None if text == "unmarked" => Some(Framing::Unmarked),
            _ => None,
        }
    }

    /// Returns whether connections are reset instead of closed.
    pub(crate) fn has_reset(self) -> bool {
        matches!(self, Framing::Reset(_))
    }

    /// Frames an answer.
    pub(crate) fn apply(self, response: Response) -> Response {
        let left = match self {
            Framing::Marked => return response,
            Framing::Unmarked => usize::MAX,
            Framing::Cut(bytes) | Framing::Reset(bytes) => bytes,
        };
        response.map_body(|head, body| {
            head.no_chunking(true);
            head.set_connection_type(ConnectionType::Close);
            ResponseBody::Body(Body::from_message(Unmarked { body, left }))
        })
    }
}

/// A body without a marked end.
struct Unmarked {
    body: ResponseBody<Body>,
    /// Bytes until the body is cut.
    left: usize,
}

impl MessageBody for Unmarked {
    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let left = &mut self.left;
        self.body.poll_next_chunk(cx).map_ok(|mut bytes| {
            bytes.truncate(*left);
            *left -= bytes.len();
            bytes
        })
    }
}
