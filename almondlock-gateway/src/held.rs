//! The body of a complete answer on its way to the caller.
//!
//! The HTTP library keeps what it is given until its caller has read it. So a large body is
//! given to it in pieces, each once the ones before are nearly sent, and its memory is given
//! back with the last one.

use std::{
    error::Error,
    rc::Rc,
    task::{Context, Poll},
};

use almondlock_intake::{bodies::Hold, connections::Busy};
use ntex::{
    http::body::{BodySize, MessageBody},
    util::Bytes,
};

use crate::shared::Active;

/// Size of a piece, in bytes. Smaller bodies are given to the library at once.
pub(crate) const PIECE_BYTES: usize = 32 * 1024;

/// A body of which a part waits until the caller has read what was sent before.
pub(crate) struct Body {
    /// Bytes of all of it.
    length: u64,
    /// What is left.
    rest: Bytes,
    /// The memory of all of it.
    _hold: Option<Hold>,
    /// Counts the request as active until the body was sent.
    _active: Active,
    busy: Busy,
}

impl Body {
    pub(crate) fn new(body: Bytes, hold: Option<Hold>, active: Active, busy: Busy) -> Body {
        Body {
            length: body.len() as u64,
            rest: body,
            _hold: hold,
            _active: active,
            busy,
        }
    }
}

impl MessageBody for Body {
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
