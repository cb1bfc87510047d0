//! A body that was collected, on its way to the caller.
//!
//! The HTTP library keeps what it is given until its caller has read it. So a large body is
//! given to it in pieces, each once the ones before are nearly sent, and its memory is given
//! back with the last one.

use futures::stream;
use ntex::{
    http::body::{Body, SizedStream},
    util::Bytes,
};

use crate::{bodies::Hold, connections::Busy};

/// Size of a piece, in bytes. Smaller bodies are given to the library at once.
const PIECE_BYTES: usize = 32 * 1024;

/// Returns the body of a response. Its memory, the request on its connection and `guard` are
/// kept until it was sent.
pub fn body<G>(bytes: Bytes, hold: Option<Hold>, busy: Busy, guard: G) -> Body
where
    G: 'static,
{
    if bytes.len() <= PIECE_BYTES {
        return Body::from(bytes);
    }
    let length = bytes.len() as u64;
    let state = (bytes, busy, (hold, guard));
    let pieces = stream::unfold(state, async |(mut rest, busy, kept)| {
        busy.serve();
        if rest.is_empty() {
            return None;
        }
        // The library asks for the next piece once its caller has read most of this one.
        busy.send();
        let piece = rest.split_to(PIECE_BYTES.min(rest.len()));
        Some((Ok(piece), (rest, busy, kept)))
    });
    Body::from(SizedStream::new(length, Box::pin(pieces)))
}
