//! One HTTP/1.1 connection to an upstream.
//!
//! The HTTP library's own client doesn't tell whether a request was written before it
//! failed, and it reuses connections on which an answer arrived before the request was
//! fully sent. Both decide here whether a request may be repeated, so messages are framed
//! on a plain socket, with `httparse` as the parser.
//!
//! Data from an upstream is not trusted: an answer counts only if its head can be parsed
//! and its body is complete by its own framing. A body that ends with its connection has
//! none, so that only its content can tell whether it was cut.

mod body;
mod content;
mod framing;
mod head;
mod pool;
mod source;

use std::{io, net::SocketAddr, time::Duration};

use almondlock_base::time::Mono;
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use self::{
    body::Body,
    content::Content,
    framing::is_rest_of_head,
    head::{may_start_answer, parse_head},
};
pub use self::{
    framing::Framing,
    head::Head,
    pool::Pool,
    source::{Source, Whole},
};

/// Maximum number of answers to other requests that are skipped before a connection is
/// given up, and maximum size of the body of one, in bytes.
const MAX_FOREIGN_ANSWERS: u32 = 2;
const MAX_FOREIGN_BYTES: usize = 8 << 20;
/// Capacity reserved for each read, in bytes: enough for some dozens of events. Small,
/// because there are many idle connections.
const READ_BYTES: usize = 4 * 1024;
/// Time after which unacknowledged data ends a connection. A peer that lost power answers
/// nothing, and the kernel would go on sending for minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Why an exchange failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// A part of the request would end its line, so that nothing was sent.
    #[error("the request's {0} can't be written")]
    Unwritable(&'static str),
    /// The connection failed before anything was written: the request can't have reached
    /// the upstream.
    #[error("connecting failed: {0}")]
    Connect(io::Error),
    /// The connection failed after something may have been written.
    #[error("the connection failed: {0}")]
    Broken(#[from] io::Error),
    /// The connection ended before the answer did.
    #[error("the connection closed before {0}")]
    Closed(&'static str),
    /// The upstream ended the answer before its content was complete.
    #[error("the answer ended before {0}")]
    Incomplete(&'static str),
    /// The data received is not a valid answer.
    #[error("invalid answer: {0}")]
    Invalid(&'static str),
}

/// How the end of a body was recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// As many bytes as announced have arrived.
    Length,
    /// The last chunk has arrived.
    LastChunk,
    /// The connection was closed without a reset. This alone proves nothing: the upstream's
    /// system closes the connections of a process that has crashed as well. The body is
    /// complete as far as its content says so.
    ConnectionClosed,
}

impl End {
    /// Returns the words used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            End::Length => "length reached",
            End::LastChunk => "last chunk",
            End::ConnectionClosed => "connection closed",
        }
    }
}

/// A connection to an upstream.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    body: Body,
    /// Whether the current request is a HEAD, whose answer has no body whatever its head
    /// announces.
    is_head_only: bool,
    /// What the content of the current answer's body tells.
    content: Content,
    /// How the end of the current answer's body was recognised. `None` until then.
    end: Option<End>,
    /// Whether the whole request was sent. Otherwise the rest of it would be taken for the
    /// next request.
    flushed: bool,
    /// Whether sending the request failed. This consumes the error of a connection that was
    /// reset: reading then finds an end like that of one that was closed.
    send_failed: bool,
    /// When the connection became idle.
    pub idle_since: Mono,
    /// How long the upstream keeps the connection when idle, if it says so.
    pub idle_timeout: Option<Duration>,
    /// Whether a request was answered on the connection before.
    pub used: bool,
}

/// A request as it is sent.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The head, including the empty line at its end.
    pub head: &'a [u8],
    /// The body.
    pub body: &'a [u8],
    /// Name of the header in which an answer echoes the request's id, and the id.
    pub id: (&'a str, &'a [u8]),
}

impl Connection {
    /// Connects to an upstream within the time `allowed`.
    pub async fn open(address: SocketAddr, allowed: Duration) -> Result<Connection, Error> {
        let connecting = tokio::time::timeout(allowed, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(stream) => stream.map_err(Error::Connect)?,
            Err(_) => return Err(Error::Connect(io::ErrorKind::TimedOut.into())),
        };
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let socket = SockRef::from(&stream);
        let bounded = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        bounded.map_err(Error::Connect)?;
        Ok(Connection {
            stream,
            buffer: BytesMut::new(),
            body: Body::Done,
            is_head_only: false,
            content: Content::default(),
            end: None,
            flushed: true,
            send_failed: false,
            idle_since: Mono::ZERO,
            idle_timeout: None,
            used: false,
        })
    }

    /// Returns whether the connection can take another request: nothing arrived while it
    /// was idle, neither data nor its end.
    pub fn is_clean(&mut self) -> bool {
        if !self.buffer.is_empty() || self.body != Body::Done || !self.flushed {
            return false;
        }
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and waits for the head of its answer. Skips answers that carry the
    /// id of another request, as an upstream may send one too many.
    pub async fn exchange(&mut self, request: &Request<'_>) -> Result<Head, Error> {
        let mut head = self
            .transmit(request.head, Whole::new(request.body), false)
            .await?;
        let mut foreign = 0;
        while answers_other_request(&head, request.id) {
            foreign += 1;
            if foreign > MAX_FOREIGN_ANSWERS {
                return Err(Error::Invalid("too many answers to other requests"));
            }
            tracing::warn!(
                expected = %String::from_utf8_lossy(request.id.1),
                "skipped an answer to another request"
            );
            self.start_body(&head)?;
            self.skip_body(MAX_FOREIGN_BYTES).await?;
            head = self.read_head().await?;
        }
        self.start_body(&head)?;
        Ok(head)
    }

    /// Sends a request whose body arrives in pieces, and waits for the head of its answer. An
    /// upstream that begins a successful answer early still gets the whole body.
    pub async fn send<S>(&mut self, head: &[u8], body: S) -> Result<Head, Error>
    where
        S: Source,
    {
        let head = self.transmit(head, body, true).await?;
        self.start_body(&head)?;
        Ok(head)
    }

    /// Writes the request and reads at the same time. An upstream may answer before it has
    /// read a long body, and one that stops reading would otherwise block this side for
    /// ever. With `all`, the rest of the body follows the head of a successful answer.
    async fn transmit<S>(&mut self, head: &[u8], mut body: S, all: bool) -> Result<Head, Error>
    where
        S: Source,
    {
        (self.flushed, self.send_failed) = (false, false);
        self.is_head_only = head.starts_with(b"HEAD ");
        let Connection { stream, buffer, .. } = self;
        let (mut from, mut to) = stream.split();
        let write = async {
            let mut written = to.write_all(head).await;
            while let Some(piece) = body.next().await {
                // A body that can't be completed would leave both sides waiting.
                let piece = piece?;
                if written.is_ok() {
                    written = to.write_all(piece.as_ref()).await;
                }
            }
            Ok::<_, io::Error>(written)
        };
        tokio::pin!(write);
        let mut written: Option<io::Result<()>> = None;
        let mut interim = 0;
        let head = loop {
            if let Some(head) = parse_head(buffer, &mut interim)? {
                break head;
            }
            buffer.reserve(READ_BYTES);
            tokio::select! {
                result = &mut write, if written.is_none() => written = Some(result?),
                read = from.read_buf(buffer) => match (read, &written) {
                    (Ok(0), _) => return Err(Error::Closed("the end of the answer's head")),
                    (Ok(_), _) => {}
                    (Err(error), _) => return Err(Error::Broken(error)),
                },
            }
        };
        if all && head.status < 300 && written.is_none() {
            written = Some(write.await?);
        }
        self.flushed = matches!(written, Some(Ok(())));
        self.send_failed = matches!(written, Some(Err(_)));
        Ok(head)
    }

    /// Reads the head of another answer.
    async fn read_head(&mut self) -> Result<Head, Error> {
        let mut interim = 0;
        loop {
            if let Some(head) = parse_head(&mut self.buffer, &mut interim)? {
                return Ok(head);
            }
            if self.fill_buffer().await? == 0 {
                return Err(Error::Closed("the end of the answer's head"));
            }
        }
    }

    /// Prepares for reading the body that follows `head`.
    fn start_body(&mut self, head: &Head) -> Result<(), Error> {
        self.end = None;
        self.content = Content::new(head);
        self.body = match head.framing {
            _ if self.is_head_only => self.finish(End::Length)?,
            Framing::Length(0) => self.finish(End::Length)?,
            Framing::Length(length) => Body::Length(length),
            Framing::Chunked => Body::ChunkHead,
            Framing::Close if is_rest_of_head(&self.buffer) => {
                return Err(Error::Invalid("an empty line inside the head"));
            }
            Framing::Close => Body::Close,
        };
        Ok(())
    }

    /// Records how the end of the body was recognised. Only another answer may follow it:
    /// other bytes belong to the body, whose end was announced wrongly.
    fn finish(&mut self, end: End) -> Result<Body, Error> {
        // Some upstreams send a body in answer to HEAD.
        if !self.is_head_only && !may_start_answer(&self.buffer) {
            return Err(Error::Invalid("more bytes than announced"));
        }
        self.end = Some(end);
        Ok(Body::Done)
    }

    /// Returns how the end of the body was recognised, or `None` if it was not reached.
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// Returns the error of a body that has ended before its content was complete. `missing`
    /// names what did not arrive.
    pub fn cut_before(&self, missing: &'static str) -> Error {
        match self.end {
            Some(End::Length | End::LastChunk) => Error::Incomplete(missing),
            Some(End::ConnectionClosed) | None => Error::Closed(missing),
        }
    }

    /// Returns the next bytes of the body, or `None` if it is complete.
    ///
    /// A body that ends with its connection is complete if the connection was closed without
    /// a reset and the content doesn't show that it was cut. An event stream that ends inside
    /// an event was. If sending the request failed, nobody knows whether there was a reset.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            if let Some(bytes) = self.take_body()? {
                return Ok(Some(bytes));
            }
            if self.body == Body::Done {
                return Ok(None);
            }
            if self.fill_buffer().await? == 0 {
                if self.body == Body::Close && self.send_failed {
                    return Err(Error::Closed("the request was sent"));
                }
                if self.body == Body::Close && self.content.is_cut() {
                    return Err(Error::Closed("the end of an event"));
                }
                if self.body == Body::Close {
                    self.body = self.finish(End::ConnectionClosed)?;
                    self.flushed = false;
                    return Ok(None);
                }
                return Err(Error::Closed("the end of the answer's body"));
            }
        }
    }

    /// Reads and drops the complete body, of at most `limit` bytes.
    pub async fn skip_body(&mut self, limit: usize) -> Result<(), Error> {
        let mut length = 0;
        while let Some(bytes) = self.next_chunk().await? {
            length += bytes.len();
            if length > limit {
                return Err(Error::Invalid("body too long"));
            }
        }
        Ok(())
    }

    /// Reads the complete body, of at most `limit` bytes.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next_chunk().await? {
            body.extend_from_slice(&bytes);
            if body.len() > limit {
                return Err(Error::Invalid("body too long"));
            }
        }
        Ok(body.freeze())
    }

    /// Returns whether the answer was read to its end and the connection can be used again.
    pub fn is_reusable(&self, head: &Head) -> bool {
        self.body == Body::Done
            && self.flushed
            && self.buffer.is_empty()
            && head.keep_alive
            && head.framing != Framing::Close
    }

    /// Records that the connection is idle from now on, and frees its buffer.
    pub fn mark_idle(&mut self, now: Mono) {
        self.buffer = BytesMut::new();
        self.idle_since = now;
        self.used = true;
    }

    /// Reads more data into the buffer. Returns 0 at the end of the connection.
    async fn fill_buffer(&mut self) -> Result<usize, Error> {
        self.buffer.reserve(READ_BYTES);
        Ok(self.stream.read_buf(&mut self.buffer).await?)
    }
}

/// Returns whether an answer carries the id of another request.
fn answers_other_request(head: &Head, (name, id): (&str, &[u8])) -> bool {
    head.get(name)
        .is_some_and(|echoed| echoed.trim_ascii() != id)
}
