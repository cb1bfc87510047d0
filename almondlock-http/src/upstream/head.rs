//! The head of an answer, and what it says of the body.

use std::time::Duration;

use bytes::{Bytes, BytesMut};

use super::{Error, Framing};

/// Maximum size of an answer's head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of header lines of an answer.
const MAX_HEADERS: usize = 64;
/// Maximum number of interim answers before the final one.
const MAX_INTERIM_ANSWERS: u32 = 8;

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Header lines as received.
    pub headers: Vec<(Box<str>, Bytes)>,
    /// How the end of the body is marked.
    pub framing: Framing,
    /// Whether another request may follow on the connection.
    pub keep_alive: bool,
    /// How long the upstream keeps an idle connection, if it says so.
    pub idle_timeout: Option<Duration>,
}

impl Head {
    /// Returns the value of a header. If there are several, the first one counts.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }

    /// Returns the values of all headers of this name, without surrounding white space.
    pub(super) fn all<'a>(&'a self, name: &'static str) -> impl Iterator<Item = &'a [u8]> {
        let headers = self.headers.iter();
        let found = headers.filter(move |(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim_ascii())
    }

    /// Returns the value of a header as text, without surrounding white space.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().map(str::trim)
    }
}

/// Parses a head at the start of the buffer, if it is complete. Skips interim answers, which
/// are counted in `interim`.
pub(super) fn parse_head(buffer: &mut BytesMut, interim: &mut u32) -> Result<Option<Head>, Error> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response
            .parse(buffer)
            .map_err(|_| Error::Invalid("unreadable head"))?;
        let httparse::Status::Complete(length) = parsed else {
            if buffer.len() > MAX_HEAD_BYTES {
                return Err(Error::Invalid("head too long"));
            }
            return Ok(None);
        };
        let status = response.code.unwrap_or(0);
        if matches!(status, 100 | 102..=199) {
            *interim += 1;
            if *interim > MAX_INTERIM_ANSWERS {
                return Err(Error::Invalid("too many interim answers"));
            }
            let _ = buffer.split_to(length);
            continue;
        }
        // No request asks to switch protocols.
        if !(200..600).contains(&status) {
            return Err(Error::Invalid("status out of range"));
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

/// Returns whether the bytes may be the start of an answer. Empty lines before it are allowed,
/// as some upstreams end a body with one.
pub(super) fn may_start_answer(bytes: &[u8]) -> bool {
    let is_line_end = |byte: &&u8| matches!(byte, b'\r' | b'\n');
    let bytes = &bytes[bytes.iter().take_while(is_line_end).count()..];
    bytes
        .iter()
        .zip(b"HTTP/1.")
        .all(|(one, other)| one == other)
}

/// Determines from the headers how the body is framed and whether the connection can be
/// kept.
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
    head.framing = Framing::of(&head, version)?;
    Ok(head)
}

/// Parses the seconds of `timeout=N`.
fn parse_idle_timeout(value: &str) -> Option<Duration> {
    let mut parts = value.split(',');
    let seconds = parts.find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
