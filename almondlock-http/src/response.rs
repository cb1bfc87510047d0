//! Responses to callers: how the end of a streamed body is marked, and how one is broken off.
//!
//! A body of unknown length is sent in chunks, and its last chunk says that it is complete.
//! HTTP/1.0 has no chunks: there a body ends with its connection, and only its content can
//! show that it was cut.

use std::{future::pending, io};

use ntex::{
    http::{ResponseBuilder, Version},
    io::IoRef,
    util::Bytes,
    web::HttpRequest,
};

/// The beginning of a comment line. An event stream that ends with it ends inside an event,
/// and parsers of event streams drop it.
const INCOMPLETE_EVENT: &[u8] = b":";

/// What marks the end of a streamed body.
#[derive(Clone, Debug)]
pub enum Delimiter {
    /// The last chunk. Without a connection there is no caller.
    LastChunk(Option<IoRef>),
    /// The end of the connection.
    Connection,
}

impl Delimiter {
    /// Returns what marks the end of a streamed response to `request`.
    pub fn of(request: &HttpRequest) -> Delimiter {
        match request.version() < Version::HTTP_11 {
            true => Delimiter::Connection,
            false => Delimiter::LastChunk(request.io().cloned()),
        }
    }

    /// Sets the headers that go with the delimiter.
    pub fn apply(&self, builder: &mut ResponseBuilder) {
        if let Delimiter::Connection = self {
            builder.no_chunking().force_close();
        }
    }

    /// Breaks an event stream off so that its caller notices. Returns the last bytes to send.
    ///
    /// A chunked body is broken off by closing the connection. Otherwise the HTTP library
    /// would write the error's own response into the unfinished body, where the caller could
    /// take it for a part of the body. Where the connection's end marks the body's, the
    /// stream ends inside an event.
    pub async fn abort(self, error: &io::Error) -> Option<Bytes> {
        match self {
            Delimiter::LastChunk(Some(io)) => {
                io.close();
                pending().await
            }
            // Without a connection there is no caller to mislead.
            Delimiter::LastChunk(None) => {
                tracing::warn!(%error, "response failed midway and has no connection to close");
                None
            }
            Delimiter::Connection => Some(Bytes::from_static(INCOMPLETE_EVENT)),
        }
    }
}
