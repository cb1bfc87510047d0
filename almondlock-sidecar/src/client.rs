//! HTTP requests to one upstream.

use std::{io, net::SocketAddr, time::Duration};

use almondlock_http::{
    client::{self, Call},
    upstream::{Error, Head, Source, Whole},
};
use almondlock_node::clock;
use futures::StreamExt;
use ntex::util::Bytes;

use crate::protocol::{Failure, Feed};

/// Time allowed for connecting. Sidecars stand next to their upstreams.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends requests to one upstream.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    client: client::Client,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Client {
        Client {
            address,
            client: client::Client::new(clock::mono, CONNECT_TIMEOUT),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a control request with a body that is in memory.
    pub(crate) async fn send(&self, call: &Call<'_>, body: &[u8]) -> Result<Answer<'_>, Failure> {
        self.send_for("", call, Whole::new(body)).await
    }

    /// Sends a request of a caller, or a control request if the id is empty.
    pub(crate) async fn send_for<S>(
        &self,
        request: &str,
        call: &Call<'_>,
        body: S,
    ) -> Result<Answer<'_>, Failure>
    where
        S: Source,
    {
        let answer = self.client.send(self.address, call, body).await;
        Ok(Answer {
            request: request.to_owned(),
            answer: answer.map_err(classify)?,
        })
    }
}

/// Tells whether a failed request may have reached the upstream. Only a
/// connection that was never made proves that nothing ran.
fn classify(error: Error) -> Failure {
    match error {
        Error::Connect(_) => Failure::Unreachable,
        Error::Unwritable("method") => Failure::Refused(405, "unknown method".to_owned()),
        Error::Unwritable(_) => Failure::Refused(400, error.to_string()),
        Error::Broken(_) | Error::Closed(_) | Error::Incomplete(_) | Error::Invalid(_) => {
            Failure::Broken
        }
    }
}

/// An answer whose head has arrived. Its end is logged when it is dropped.
pub(crate) struct Answer<'a> {
    request: String,
    answer: client::Answer<'a>,
}

impl Answer<'_> {
    pub(crate) fn head(&self) -> &Head {
        &self.answer.head
    }

    pub(crate) fn is_success(&self) -> bool {
        self.answer.is_success()
    }

    /// Returns the next bytes of the body, or `None` if it is complete.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        let chunk = self.answer.next().await?;
        let chunk = chunk.map(|bytes| Bytes::copy_from_slice(&bytes));
        Some(chunk.map_err(classify))
    }

    /// Reads the complete body, of at most `limit` bytes.
    pub(crate) async fn read_body(&mut self, limit: usize) -> Result<Vec<u8>, Failure> {
        self.answer.read_body(limit).await.map_err(classify)
    }
}

impl Drop for Answer<'_> {
    fn drop(&mut self) {
        if !self.request.is_empty() {
            let end = self.answer.end();
            tracing::info!(
                request = %self.request, status = self.answer.head.status,
                framing = self.answer.head.framing.as_str(),
                end = end.map_or("none", |end| end.as_str()),
                body_bytes = self.answer.body_bytes(), "answer of the upstream ended"
            );
        }
    }
}

/// The body of a caller's request, as it arrives from the entry host.
pub(crate) struct Upload {
    feed: Feed,
    /// Bytes that are still to come.
    left: u64,
}

impl Upload {
    /// Creates the source of a body of this length.
    pub(crate) fn new(feed: Feed, length: u64) -> Upload {
        Upload { feed, left: length }
    }
}

impl Source for Upload {
    type Piece = Bytes;

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.left == 0 {
            return None;
        }
        let cut = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let piece = match self.feed.next().await {
            Some(Ok(piece)) => piece,
            Some(Err(error)) => return Some(Err(io::Error::other(error.to_string()))),
            None => return Some(Err(cut())),
        };
        match self.left.checked_sub(piece.len() as u64) {
            Some(left) => self.left = left,
            None => return Some(Err(cut())),
        }
        Some(Ok(piece))
    }
}
