//! HTTP requests to one upstream.
//!
//! The HTTP library's client takes an HTTP/1.1 answer with neither a length nor
//! chunks for empty, and its end for the end of a complete answer. Answers are
//! therefore read with [`almondlock_http`], which gives a body's end only on
//! evidence.

use std::{cell::RefCell, io, net::SocketAddr, time::Duration};

use almondlock_http::upstream::{Connection, Error, Head, Pool, Source, Whole};
use almondlock_node::clock;
use futures::StreamExt;
use ntex::util::Bytes;

use crate::protocol::{Failure, Feed};

/// Time allowed for connecting. Sidecars stand next to their upstreams.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call<'a> {
    /// Id of the caller's request, for the log. Empty for the sidecar's own.
    pub(crate) request: &'a str,
    pub(crate) method: &'a str,
    /// Path and query.
    pub(crate) path: &'a str,
    pub(crate) headers: &'a [(&'static str, String)],
    /// Length of the body, in bytes.
    pub(crate) length: u64,
    /// Whether the request may be sent on a connection that was used before. A
    /// request that may not be repeated always gets a new one: the upstream may
    /// just have closed the other one, and whether a request sent on it ran is
    /// unknown.
    pub(crate) may_reuse: bool,
}

/// Connects to one upstream.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    idle: RefCell<Pool<SocketAddr>>,
}

impl Client {
    pub(crate) fn new(address: SocketAddr) -> Client {
        Client {
            address,
            idle: RefCell::default(),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request with a body that is in memory.
    pub(crate) async fn send(&self, call: &Call<'_>, body: &[u8]) -> Result<Answer<'_>, Failure> {
        self.send_from(call, Whole::new(body)).await
    }

    /// Sends a request whose body arrives in pieces.
    pub(crate) async fn send_from<S>(&self, call: &Call<'_>, body: S) -> Result<Answer<'_>, Failure>
    where
        S: Source,
    {
        let head = write_head(self.address, call)?;
        let mut connection = self.connect(call).await.map_err(classify)?;
        let answered = connection.send(&head, body).await.map_err(classify)?;
        Ok(Answer {
            client: self,
            request: call.request.to_owned(),
            head: answered,
            connection: Some(connection),
            body_bytes: 0,
        })
    }

    async fn connect(&self, call: &Call<'_>) -> Result<Connection, Error> {
        let now = clock::mono();
        let idle = match call.may_reuse {
            true => self.idle.borrow_mut().take(now, &self.address, false),
            false => None,
        };
        match idle {
            Some(connection) => Ok(connection),
            None => Connection::open(self.address, CONNECT_TIMEOUT).await,
        }
    }
}

/// Tells whether a failed request may have reached the upstream. Only a
/// connection that was never made proves that nothing ran.
fn classify(error: Error) -> Failure {
    match error {
        Error::Connect(_) => Failure::Unreachable,
        Error::Broken(_) | Error::Closed(_) | Error::Incomplete(_) | Error::Invalid(_) => {
            Failure::Broken
        }
    }
}

/// Writes the head of a request. Refuses texts that would end their line.
fn write_head(address: SocketAddr, call: &Call<'_>) -> Result<Vec<u8>, Failure> {
    let is_visible = |byte: u8| byte > b' ' && byte != 0x7f;
    let is_value = |byte: u8| is_visible(byte) || matches!(byte, b' ' | b'\t');
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    if call.method.is_empty() || !call.method.bytes().all(is_token) {
        return Err(Failure::Refused(405, "unknown method".to_owned()));
    }
    let is_path = call.path.starts_with('/') && call.path.bytes().all(is_visible);
    let mut headers = call.headers.iter();
    if !is_path || !headers.all(|(_, value)| value.bytes().all(is_value)) {
        return Err(Failure::Refused(
            400,
            "unreadable path or header".to_owned(),
        ));
    }
    let (method, path) = (call.method, call.path);
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\n");
    for (name, value) in call.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if call.length > 0 || matches!(method, "POST" | "PUT" | "PATCH") {
        head.push_str(&format!("content-length: {}\r\n", call.length));
    }
    if !call.may_reuse {
        head.push_str("connection: close\r\n");
    }
    head.push_str("\r\n");
    Ok(head.into_bytes())
}

/// An answer whose head has arrived. Dropping it closes the connection unless
/// the body was read to its end.
pub(crate) struct Answer<'a> {
    client: &'a Client,
    request: String,
    pub(crate) head: Head,
    // Invariant: `None` only while the answer is dropped.
    connection: Option<Connection>,
    body_bytes: usize,
}

impl Answer<'_> {
    pub(crate) fn is_success(&self) -> bool {
        (200..300).contains(&self.head.status)
    }

    /// Returns the next bytes of the body, or `None` if it is complete.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, Failure>> {
        let connection = self.connection.as_mut()?;
        match connection.next_chunk().await {
            Ok(Some(bytes)) => {
                self.body_bytes += bytes.len();
                Some(Ok(Bytes::copy_from_slice(&bytes)))
            }
            Ok(None) => None,
            Err(error) => Some(Err(classify(error))),
        }
    }

    /// Reads the complete body, of at most `limit` bytes.
    pub(crate) async fn read_body(&mut self, limit: usize) -> Result<Vec<u8>, Failure> {
        let mut body = Vec::new();
        while let Some(bytes) = self.next().await {
            body.extend_from_slice(&bytes?);
            if body.len() > limit {
                return Err(Failure::Truncated);
            }
        }
        Ok(body)
    }
}

impl Drop for Answer<'_> {
    fn drop(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let end = connection.end();
        if !self.request.is_empty() {
            tracing::info!(
                request = %self.request, status = self.head.status,
                framing = self.head.framing.as_str(), end = end.map_or("none", |end| end.as_str()),
                body_bytes = self.body_bytes, "answer of the upstream ended"
            );
        }
        if end.is_some() && connection.is_reusable(&self.head) {
            connection.idle_timeout = self.head.idle_timeout;
            let mut idle = self.client.idle.borrow_mut();
            idle.put(clock::mono(), &self.client.address, connection);
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
