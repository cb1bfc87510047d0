//! What the head of an answer says of the end of its body.
//!
//! The body is cut out of what the connection carries by a few characters of the head. A head
//! in which these are spoilt may still be a valid one, which says something else: that the
//! body ends with its connection, say. So one that says it in a way that no sound upstream
//! would is refused.

use super::{Error, Head};
use crate::syntax::is_field;

const LENGTH: &str = "content-length";
const CODING: &str = "transfer-encoding";

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with an empty chunk.
    Chunked,
    /// The body ends with the connection.
    Close,
}

impl Framing {
    /// Returns the word used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Framing::Length(_) => "length",
            Framing::Chunked => "chunked",
            Framing::Close => "close",
        }
    }

    /// Determines the framing from a head. `version` is the minor version of HTTP/1.
    pub(super) fn of(head: &Head, version: u8) -> Result<Framing, Error> {
        let framing = match (is_chunked(head, version)?, length(head)?) {
            (true, Some(_)) => {
                return Err(Error::Invalid("both chunked and with a content-length"));
            }
            (true, None) => Framing::Chunked,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::Close,
        };
        match (head.status, framing) {
            // The length is that of the body which isn't sent.
            (304, _) | (204, Framing::Close | Framing::Length(0)) => Ok(Framing::Length(0)),
            (204, _) => Err(Error::Invalid("a body after a status without one")),
            (_, Framing::Close) if has_spoilt_name(head) => {
                Err(Error::Invalid("a misspelt framing field"))
            }
            (_, framing) => Ok(framing),
        }
    }
}

fn is_chunked(head: &Head, version: u8) -> Result<bool, Error> {
    let mut codings = head.all(CODING);
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        // HTTP/1.0 has no chunks.
        (Some(coding), None) if version > 0 && coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Error::Invalid("unknown transfer-encoding")),
    }
}

/// Returns the length that is announced. It may stand there several times.
fn length(head: &Head) -> Result<Option<u64>, Error> {
    let mut lengths = head.all(LENGTH);
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    if lengths.any(|other| other != first) {
        return Err(Error::Invalid("several content-lengths"));
    }
    let digits = Some(first).filter(|text| text.iter().all(u8::is_ascii_digit));
    let text = digits.and_then(|digits| std::str::from_utf8(digits).ok());
    let length = text.and_then(|text| text.parse().ok());
    let length = length.ok_or(Error::Invalid("unreadable content-length"))?;
    Ok(Some(length))
}

/// Returns whether a body begins with fields of which one frames a body: the rest of a head
/// that a wrong character has ended.
pub(super) fn is_rest_of_head(body: &[u8]) -> bool {
    let lines = body.split(|byte| *byte == b'\n');
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut fields = lines.take_while(|line| is_field(line));
    fields.any(|line| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        resembles(name, LENGTH) || resembles(name, CODING)
    })
}

/// Returns whether a field was probably meant to be one that frames the body.
fn has_spoilt_name(head: &Head) -> bool {
    let is_spoilt = |name: &[u8]| resembles(name, LENGTH) || resembles(name, CODING);
    head.headers.iter().any(|(name, value)| {
        let name = name.as_bytes();
        // A wrong character that is a colon cuts the name.
        let rest = value.iter().position(|byte| *byte == b':');
        let cut = rest.map(|end| [name, b":", &value[..end]].concat());
        is_spoilt(name) || cut.is_some_and(|name| is_spoilt(&name))
    })
}

/// Returns whether a name is the one that was meant, or differs from it by one character or by
/// two that are swapped.
fn resembles(name: &[u8], meant: &str) -> bool {
    let name = name.to_ascii_lowercase();
    let (name, meant) = (&name[..], meant.as_bytes());
    let equal = |(one, other): &(&u8, &u8)| one == other;
    let start = name.iter().zip(meant).take_while(equal).count();
    let (name, meant) = (&name[start..], &meant[start..]);
    let ends = name.iter().rev().zip(meant.iter().rev());
    let end = ends.take_while(equal).count();
    match (&name[..name.len() - end], &meant[..meant.len() - end]) {
        ([], [] | [_]) | ([_], [] | [_]) => true,
        ([a, b], [c, d]) => a == d && b == c,
        _ => false,
    }
}
