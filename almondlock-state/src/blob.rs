//! Byte strings in JSON.
//!
//! Answers and digests are byte strings, most of which are text. A blob that is valid
//! UTF-8 is written as text after `t:`, any other in hexadecimal after `x:`. An array of
//! numbers would take four bytes for each byte.

use std::fmt::{self, Write as _};

use serde::{Deserialize, Serialize};

/// A byte string.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Blob(pub Vec<u8>);

impl From<&[u8]> for Blob {
    fn from(bytes: &[u8]) -> Blob {
        Blob(bytes.to_vec())
    }
}

impl From<Blob> for String {
    fn from(blob: Blob) -> String {
        match String::from_utf8(blob.0) {
            Ok(text) => format!("t:{text}"),
            Err(error) => hex(error.as_bytes()),
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 + 2 * bytes.len());
    text.push_str("x:");
    for byte in bytes {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

impl TryFrom<String> for Blob {
    type Error = Error;

    fn try_from(text: String) -> Result<Blob, Error> {
        if let Some(plain) = text.strip_prefix("t:") {
            return Ok(Blob(plain.as_bytes().to_vec()));
        }
        let digits = text.strip_prefix("x:").ok_or(Error)?.as_bytes();
        if digits.len() % 2 != 0 {
            return Err(Error);
        }
        let byte = |pair: &[u8]| Some(16 * digit(pair[0])? + digit(pair[1])?);
        let bytes: Option<Vec<u8>> = digits.chunks_exact(2).map(byte).collect();
        bytes.map(Blob).ok_or(Error)
    }
}

fn digit(byte: u8) -> Option<u8> {
    let digit = char::from(byte).to_digit(16)?;
    u8::try_from(digit).ok()
}

/// The error for a text that isn't a written blob.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes are written as t:TEXT or as x: and hexadecimal digits")
    }
}

impl std::error::Error for Error {}
