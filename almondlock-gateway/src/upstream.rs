//! One HTTP/1.1 connection to an upstream.
//!
//! The HTTP library's own client doesn't tell whether a request was handed on
//! before it failed, and goes on using connections on which an answer came
//! before the request was out. Both decide here whether a request may be sent
//! again, so messages are framed on a plain socket, with `httparse` as parser.
//!
//! What an upstream sends is not trusted: an answer counts only if its head can
//! be read and its body arrives whole by its own framing.

use std::{io, net::SocketAddr, time::Duration};

use almondlock_base::time::Mono;
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// The largest head that an upstream may send, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The most header lines of an answer.
const MAX_HEADERS: usize = 64;
/// The longest line with a chunk's size, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// How many answers to other requests are passed over on one connection.
const MAX_FOREIGN_ANSWERS: u32 = 2;
/// What is read at one time, in bytes: some dozens of events. Kept small: idle
/// connections are many.
const READ_BYTES: usize = 4 * 1024;
/// Unacknowledged bytes end a connection after this long: a peer that lost
/// power answers nothing, and the kernel would go on sending for minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Why an exchange failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// Nothing was written: the request can't have been handed on.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The connection failed after that.
    #[error("the connection failed: {0}")]
    Broken(#[from] io::Error),
    /// The connection ended before the answer did.
    #[error("no answer: it ended before {0}")]
    Closed(&'static str),
    /// What came is no answer, or not a whole one.
    #[error("no answer: {0}")]
    Invalid(&'static str),
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// Header lines as they came.
    pub headers: Vec<(Box<str>, Bytes)>,
    /// How the body ends.
    pub framing: Framing,
    /// Another request may follow on the connection.
    pub keep_alive: bool,
    /// How long the upstream keeps an idle connection, if it says so.
    pub idle_timeout: Option<Duration>,
}

impl Head {
    /// The value of a header; the first of several.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }

    /// The same as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().map(str::trim)
    }
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// With an empty chunk.
    Chunked,
    /// With the connection.
    Close,
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    body: Body,
    // The request went out whole; else the rest of it would be taken for the
    // next one.
    flushed: bool,
    /// Since when it is idle.
    pub idle_since: Mono,
    /// How long the upstream keeps it idle.
    pub idle_timeout: Option<Duration>,
    /// Whether a request was answered on it before.
    pub used: bool,
}

// Where the body of the present answer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Body {
    Done,
    Length(u64),
    ChunkHead,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    Close,
}

/// A request as it goes out.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Its head, with the empty line.
    pub head: &'a [u8],
    /// Its body.
    pub body: &'a [u8],
    /// The header that echoes a request's id, and the id.
    pub id: (&'a str, &'a [u8]),
}

impl Connection {
    /// Connects.
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
            flushed: true,
            idle_since: Mono::ZERO,
            idle_timeout: None,
            used: false,
        })
    }

    /// Whether it can take another request: nothing came while it was idle,
    /// neither bytes nor its end.
    pub fn is_clean(&mut self) -> bool {
        if !self.buffer.is_empty() || self.body != Body::Done || !self.flushed {
            return false;
        }
        let mut byte = [0; 1];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and waits for the head of its answer. Answers that bear
    /// another request's id are passed over: an upstream may send one too many.
    pub async fn exchange(&mut self, request: &Request<'_>) -> Result<Head, Error> {
        let mut head = self.send(request).await?;
        let mut foreign = 0;
        while answers_other_request(&head, request.id) {
            foreign += 1;
            if foreign > MAX_FOREIGN_ANSWERS {
                return Err(Error::Invalid("answers to other requests"));
            }
            tracing::warn!(
                expected = %String::from_utf8_lossy(request.id.1),
                "passed over an answer to another request"
            );
            self.start_body(&head);
            while self.next_chunk().await?.is_some() {}
            head = self.read_head().await?;
        }
        self.start_body(&head);
        Ok(head)
    }

    /// Writes the request and reads at the same time: an upstream may answer
    /// before it has read a long body, and one that doesn't read on would
    /// otherwise hold this side for ever.
    async fn send(&mut self, request: &Request<'_>) -> Result<Head, Error> {
        self.flushed = false;
        let Connection { stream, buffer, .. } = self;
        let (mut from, mut to) = stream.split();
        let write = async {
            to.write_all(request.head).await?;
            to.write_all(request.body).await
        };
        tokio::pin!(write);
        let mut written: Option<io::Result<()>> = None;
        let head = loop {
            if let Some(head) = parse_head(buffer)? {
                break head;
            }
            buffer.reserve(READ_BYTES);
            tokio::select! {
                result = &mut write, if written.is_none() => written = Some(result),
                read = from.read_buf(buffer) => match (read, &written) {
                    (Ok(0), _) => return Err(Error::Closed("its head")),
                    (Ok(_), _) => {}
                    (Err(error), _) => return Err(Error::Broken(error)),
                },
            }
        };
        self.flushed = matches!(written, Some(Ok(())));
        Ok(head)
    }

    async fn read_head(&mut self) -> Result<Head, Error> {
        loop {
            if let Some(head) = parse_head(&mut self.buffer)? {
                return Ok(head);
            }
            if self.fill_buffer().await? == 0 {
                return Err(Error::Closed("its head"));
            }
        }
    }

    fn start_body(&mut self, head: &Head) {
        self.body = match head.framing {
            Framing::Length(0) => Body::Done,
            Framing::Length(length) => Body::Length(length),
            Framing::Chunked => Body::ChunkHead,
            Framing::Close => Body::Close,
        };
    }

    /// The next bytes of the body; none at its end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            if let Some(bytes) = self.take_body()? {
                return Ok(Some(bytes));
            }
            if self.body == Body::Done {
                return Ok(None);
            }
            if self.fill_buffer().await? == 0 {
                if self.body == Body::Close {
                    self.body = Body::Done;
                    self.flushed = false;
                    return Ok(None);
                }
                return Err(Error::Closed("its body did"));
            }
        }
    }

    /// The whole body, if it is no longer than `limit`.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next_chunk().await? {
            body.extend_from_slice(&bytes);
            if body.len() > limit {
                return Err(Error::Invalid("its body is too long"));
            }
        }
        Ok(body.freeze())
    }

    /// Whether the answer was read to its end, on a connection that can be used
    /// again.
    pub fn is_reusable(&self, head: &Head) -> bool {
        self.body == Body::Done
            && self.flushed
            && self.buffer.is_empty()
            && head.keep_alive
            && head.framing != Framing::Close
    }

    /// Gives back the memory that an idle connection doesn't need.
    pub fn mark_idle(&mut self, now: Mono) {
        self.buffer = BytesMut::new();
        self.idle_since = now;
        self.used = true;
    }

    async fn fill_buffer(&mut self) -> Result<usize, Error> {
        self.buffer.reserve(READ_BYTES);
        Ok(self.stream.read_buf(&mut self.buffer).await?)
    }

    /// Takes body bytes out of the buffer. None: more must be read, or the body
    /// has ended.
    fn take_body(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body {
                Body::Done => return Ok(None),
                Body::Close => return Ok(self.take_up_to(u64::MAX).map(|(bytes, _)| bytes)),
                Body::Length(left) => {
                    return Ok(self.take_up_to(left).map(|(bytes, left)| {
                        self.body = if left == 0 {
                            Body::Done
                        } else {
                            Body::Length(left)
                        };
                        bytes
                    }));
                }
                Body::Chunk(left) => {
                    return Ok(self.take_up_to(left).map(|(bytes, left)| {
                        self.body = if left == 0 {
                            Body::ChunkEnd
                        } else {
                            Body::Chunk(left)
                        };
                        bytes
                    }));
                }
                Body::ChunkHead => match self.take_line()? {
                    None => return Ok(None),
                    Some(line) => {
                        self.body = match parse_chunk_size(&line)? {
                            0 => Body::Trailer,
                            size => Body::Chunk(size),
                        };
                    }
                },
                Body::ChunkEnd => match self.take_line()? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.body = Body::ChunkHead,
                    Some(_) => return Err(Error::Invalid("a chunk is longer than it says")),
                },
                Body::Trailer => match self.take_line()? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.body = Body::Done,
                    Some(_) => {}
                },
            }
        }
    }

    /// Up to `most` bytes of the buffer, and how many are left of `most`.
    fn take_up_to(&mut self, most: u64) -> Option<(Bytes, u64)> {
        if self.buffer.is_empty() {
            return None;
        }
        let length = usize::try_from(most)
            .unwrap_or(usize::MAX)
            .min(self.buffer.len());
        let bytes = self.buffer.split_to(length).freeze();
        Some((bytes, most - length as u64))
    }

    fn take_line(&mut self) -> Result<Option<Bytes>, Error> {
        let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") else {
            if self.buffer.len() > MAX_CHUNK_LINE_BYTES {
                return Err(Error::Invalid("a chunk's head can't be read"));
            }
            return Ok(None);
        };
        let line = self.buffer.split_to(end + 2).freeze();
        Ok(Some(line.slice(..end)))
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).unwrap_or_default().trim();
    u64::from_str_radix(text, 16).map_err(|_| Error::Invalid("a chunk's size can't be read"))
}

fn answers_other_request(head: &Head, (name, id): (&str, &[u8])) -> bool {
    head.get(name)
        .is_some_and(|echoed| echoed.trim_ascii() != id)
}

/// Reads a head out of the buffer, if it is whole. Interim answers are passed
/// over.
fn parse_head(buffer: &mut BytesMut) -> Result<Option<Head>, Error> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response
            .parse(buffer)
            .map_err(|_| Error::Invalid("its head can't be read"))?;
        let httparse::Status::Complete(length) = parsed else {
            if buffer.len() > MAX_HEAD_BYTES {
                return Err(Error::Invalid("its head is too long"));
            }
            return Ok(None);
        };
        let status = response.code.unwrap_or(0);
        if (100..200).contains(&status) {
            let _ = buffer.split_to(length);
            continue;
        }
        let version = response.version.unwrap_or(0);
        let headers = response
            .headers
            .iter()
            .map(|header| (Box::from(header.name), Bytes::copy_from_slice(header.value)))
            .collect();
        let _ = buffer.split_to(length);
        return build_head(status, version, headers).map(Some);
    }
}

fn build_head(status: u16, version: u8, headers: Vec<(Box<str>, Bytes)>) -> Result<Head, Error> {
    let mut head = Head {
        status,
        headers,
        framing: Framing::Close,
        keep_alive: version == 1,
        idle_timeout: None,
    };
    if let Some(connection) = head.text("connection") {
        let close = connection.to_ascii_lowercase().contains("close");
        head.keep_alive = !close && head.keep_alive;
    }
    head.idle_timeout = head.text("keep-alive").and_then(parse_idle_timeout);
    let chunked = head
        .text("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    head.framing = match (chunked, head.text("content-length")) {
        _ if status == 204 || status == 304 => Framing::Length(0),
        (true, None) => Framing::Chunked,
        (true, Some(_)) => return Err(Error::Invalid("its body has two lengths")),
        (false, Some(length)) => {
            let length = length.parse();
            Framing::Length(length.map_err(|_| Error::Invalid("its length can't be read"))?)
        }
        (false, None) => Framing::Close,
    };
    Ok(head)
}

/// The seconds of `timeout=N`.
fn parse_idle_timeout(value: &str) -> Option<Duration> {
    let mut parts = value.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
