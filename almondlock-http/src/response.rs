//! Responses to callers: how the end of a streamed body is marked, and how one is broken off.
//!
//! A body of unknown length is sent in chunks, and its last chunk says that it is complete.
//! HTTP/1.0 has no chunks: there a body ends with its connection, and only its content can
//! show that it was cut. The system closes the connections of a process that is killed as
//! well, so an event stream is sent in a way that it ends inside an event until it is
//! complete.

use std::{future::pending, io};

use ntex::{
    http::{ResponseBuilder, Version},
    io::IoRef,
    util::Bytes,
    web::HttpRequest,
};

/// What marks the end of a streamed body.
#[derive(Clone, Debug)]
pub enum Delimiter {
    /// The last chunk. Without a connection there is no caller.
    LastChunk(Option<IoRef>),
    /// The end of the connection.
    Connection {
        /// The last byte of the events that were passed on so far, which is the line end that
        /// completes the last of them. It is sent with the next event, or at the end.
        withheld: Bytes,
    },
}

impl Delimiter {
    /// Returns what marks the end of a streamed response to `request`.
    pub fn of(request: &HttpRequest) -> Delimiter {
        match request.version() < Version::HTTP_11 {
            true => Delimiter::Connection {
                withheld: Bytes::new(),
            },
            false => Delimiter::LastChunk(request.io().cloned()),
        }
    }

    /// Sets the headers that go with the delimiter.
    pub fn apply(&self, builder: &mut ResponseBuilder) {
        if let Delimiter::Connection { .. } = self {
            builder.no_chunking().force_close();
        }
    }

    /// Returns what to send of an event stream, of which these complete events come next.
    pub fn next(&mut self, events: Bytes) -> Bytes {
        let Delimiter::Connection { withheld } = self else {
            return events;
        };
        let whole = Bytes::from([&withheld[..], &events[..]].concat());
        let sent = whole.len().saturating_sub(1);
        *withheld = whole.slice(sent..);
        whole.slice(..sent)
    }

    /// Returns what is left to send of an event stream that is complete.
    pub fn finish(&mut self) -> Option<Bytes> {
        match self {
            Delimiter::Connection { withheld } if !withheld.is_empty() => {
                Some(std::mem::take(withheld))
            }
            _ => None,
        }
    }

    /// Breaks an event stream off so that its caller notices.
    ///
    /// A chunked body is broken off by closing the connection. Otherwise the HTTP library
    /// would write the error's own response into the unfinished body, where the caller could
    /// take it for a part of the body. Where the connection's end marks the body's, the
    /// stream just ends: inside an event, as what completes the last one was withheld.
    pub async fn abort(self, error: &io::Error) {
        match self {
            Delimiter::LastChunk(Some(io)) => {
                io.close();
                pending().await
            }
            // Without a connection there is no caller to mislead.
            Delimiter::LastChunk(None) => {
                tracing::warn!(%error, "response failed midway and has no connection to close");
            }
            Delimiter::Connection { .. } => {}
        }
    }
}
