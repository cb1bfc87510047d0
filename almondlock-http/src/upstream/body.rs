//! Cuts the body of an answer out of what its connection carries.

use bytes::Bytes;

use super::{Connection, End, Error};
use crate::syntax::{is_field, is_value};

/// Maximum length of a line with a chunk's size, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum size of the fields after the last chunk, in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// State of reading the body of the current answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Body {
    Done,
    Length(u64),
    ChunkHead,
    Chunk(u64),
    ChunkEnd,
    /// With the bytes of the fields so far.
    Trailer(usize),
    Close,
}

impl Connection {
    /// Takes bytes of the body out of the buffer. Returns `None` if more data is needed or
    /// the body has ended.
    pub(super) fn take_body(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body {
                Body::Done => return Ok(None),
                Body::Close => {
                    let bytes = self.take_up_to(u64::MAX).map(|(bytes, _)| bytes);
                    self.content.push(bytes.as_deref().unwrap_or_default());
                    return Ok(bytes);
                }
                Body::Length(left) => {
                    let Some((bytes, left)) = self.take_up_to(left) else {
                        return Ok(None);
                    };
                    self.body = if left == 0 {
                        self.finish(End::Length)?
                    } else {
                        Body::Length(left)
                    };
                    return Ok(Some(bytes));
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
                            0 => Body::Trailer(0),
                            size => Body::Chunk(size),
                        };
                    }
                },
                Body::ChunkEnd => match self.take_line()? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.body = Body::ChunkHead,
                    Some(_) => return Err(Error::Invalid("a chunk is longer than its size")),
                },
                Body::Trailer(length) => match self.take_line()? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.body = self.finish(End::LastChunk)?,
                    Some(line) if !is_field(&line) => {
                        return Err(Error::Invalid("unreadable trailer"));
                    }
                    Some(line) if length + line.len() > MAX_TRAILER_BYTES => {
                        return Err(Error::Invalid("trailer too long"));
                    }
                    Some(line) => self.body = Body::Trailer(length + line.len()),
                },
            }
        }
    }

    /// Takes up to `most` bytes out of the buffer. Returns them with the rest of `most`.
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

    /// Takes a line out of the buffer, if it is complete.
    fn take_line(&mut self) -> Result<Option<Bytes>, Error> {
        let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") else {
            if self.buffer.len() > MAX_CHUNK_LINE_BYTES {
                return Err(Error::Invalid("unreadable line with a chunk's size"));
            }
            return Ok(None);
        };
        let line = self.buffer.split_to(end + 2).freeze();
        Ok(Some(line.slice(..end)))
    }
}

/// Parses the line before a chunk: its size, and extensions, which are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, Error> {
    if !line.iter().copied().all(is_value) {
        return Err(Error::Invalid("unreadable line with a chunk's size"));
    }
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let text = Some(digits).filter(|digits| digits.iter().all(u8::is_ascii_hexdigit));
    let text = text.and_then(|digits| std::str::from_utf8(digits).ok());
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    size.ok_or(Error::Invalid("unreadable chunk size"))
}
