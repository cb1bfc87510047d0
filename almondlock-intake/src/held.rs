//! A body that was collected, on its way to the caller.
//!
//! The HTTP library keeps what it is given until its caller has read it. So a large body is
//! given to it in pieces, each once the ones before are nearly sent, and its memory is given
//! back with the last one.

use std::{
    error::Error,
    rc::Rc,
    task::{Context, Poll},
};

use ntex::{
    http::body::{self, BodySize, MessageBody},
    util::Bytes,
};

use crate::{bodies::Hold, connections::Busy};

/// Size of a piece, in bytes. Smaller bodies are given to the library at once.
const PIECE_BYTES: usize = 32 * 1024;

/// A body of which a part waits until the caller has read what was sent before.
struct Body<G> {
    /// Bytes of all of it.
    length: u64,
    /// What is left.
    rest: Bytes,
    /// The memory of all of it.
    _hold: Option<Hold>,
    busy: Busy,
    /// Dropped once the body was sent.
    _guard: G,
}

/// Returns the body of a response. Its memory, the request on its connection and `guard` are
/// kept until it was sent.
pub fn body<G>(bytes: Bytes, hold: Option<Hold>, busy: Busy, guard: G) -> body::Body
where
    G: 'static,
{
    if bytes.len() <= PIECE_BYTES {
        return body::Body::from(bytes);
    }
    body::Body::from_message(Body {
        length: bytes.len() as u64,
        rest: bytes,
        _hold: hold,
        busy,
        _guard: guard,
    })
}

impl<G> MessageBody for Body<G>
where
    G: 'static,
{
    fn size(&self) -> BodySize {
        BodySize::Sized(self.length)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        self.busy.serve();
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        self.busy.send();
        let piece = self.rest.split_to(PIECE_BYTES.min(self.rest.len()));
        Poll::Ready(Some(Ok(piece)))
    }
}
