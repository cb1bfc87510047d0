//! A text that is compressed where it is written.
//!
//! **Failure.** A configuration of a thousand routes has a quarter of a megabyte.
//! Told as it is to a dozen children of a process with a link of 20 Mbit/s, five
//! versions in two seconds took longer than a version may take to be in force,
//! and a host acted on an older one. Such texts repeat themselves: compressed
//! they are about a tenth. Of three days on which hosts were too late, none was with
//! texts compressed.

use std::{borrow::Cow, sync::Arc};

use base64::{Engine, prelude::BASE64_STANDARD};
use miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

use super::{
    Document, Piece,
    delta::{Delta, Run, Shape},
};

/// Shorter texts are written as they are: there is little to win, and they stay
/// readable. In bytes.
const SHORT: usize = 4 * 1024;
/// The longest text that is unpacked, in bytes: what an operator may send.
const LIMIT: usize = 16 << 20;
/// The quickest level that still finds repeated lines.
const LEVEL: u8 = 1;

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Text<'a> {
    /// As it is; so are all texts that earlier versions wrote.
    Plain(Cow<'a, str>),
    Packed {
        /// Deflated, in base 64.
        packed: String,
    },
}

/// A document as it is written.
#[derive(Serialize, Deserialize)]
pub(super) struct Written {
    version: u64,
    #[serde(with = "self")]
    text: Arc<str>,
    /// The lengths of its pieces but the last one, in bytes. Earlier versions wrote none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    cuts: Vec<u32>,
}

impl From<Document> for Written {
    fn from(document: Document) -> Written {
        let lengths = document.pieces.iter().map(|piece| piece.as_str().len());
        let mut cuts: Vec<u32> = lengths
            .map(|length| u32::try_from(length).unwrap_or(u32::MAX))
            .collect();
        cuts.pop();
        Written {
            version: document.version,
            text: document.text().into(),
            cuts,
        }
    }
}

impl From<Written> for Document {
    /// Cuts that don't fit the text leave the rest of it in one piece.
    fn from(written: Written) -> Document {
        let mut rest = &*written.text;
        let mut pieces = Vec::with_capacity(written.cuts.len() + 1);
        for length in written.cuts {
            let Some((piece, after)) = rest.split_at_checked(length as usize) else {
                break;
            };
            pieces.push(Piece::from(piece));
            rest = after;
        }
        pieces.push(Piece::from(rest));
        Document::new(written.version, pieces)
    }
}

/// A run as it is written.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WrittenRun {
    /// The place of the first piece, and how many.
    Keep(usize, usize),
    /// So many of the new pieces.
    Insert(usize),
}

/// A delta as it is written: the new pieces of all runs are packed as one text.
#[derive(Serialize, Deserialize)]
pub(super) struct WrittenDelta {
    base: u64,
    shape: Shape,
    version: u64,
    runs: Vec<WrittenRun>,
    #[serde(with = "self")]
    text: Arc<str>,
    /// The lengths of the new pieces, in bytes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    cuts: Vec<usize>,
}

/// A written delta whose new text isn't what its runs need.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the text of a delta doesn't fit its runs")]
pub(super) struct Damaged;

impl From<Delta> for WrittenDelta {
    fn from(delta: Delta) -> WrittenDelta {
        let mut text = String::new();
        let mut cuts = Vec::new();
        let runs = delta.runs.iter().map(|run| match run {
            Run::Keep { from, count } => WrittenRun::Keep(*from, *count),
            Run::Insert(pieces) => {
                text.extend(pieces.iter().map(Piece::as_str));
                cuts.extend(pieces.iter().map(|piece| piece.as_str().len()));
                WrittenRun::Insert(pieces.len())
            }
        });
        WrittenDelta {
            base: delta.base,
            shape: delta.shape,
            version: delta.version,
            runs: runs.collect(),
            text: text.into(),
            cuts,
        }
    }
}

impl TryFrom<WrittenDelta> for Delta {
    type Error = Damaged;

    fn try_from(written: WrittenDelta) -> Result<Delta, Damaged> {
        let mut rest = &*written.text;
        let mut cuts = written.cuts.iter();
        let mut runs = Vec::with_capacity(written.runs.len());
        for run in written.runs {
            runs.push(match run {
                WrittenRun::Keep(from, count) => Run::Keep { from, count },
                WrittenRun::Insert(count) => {
                    let mut pieces = Vec::new();
                    for _ in 0..count {
                        let cut = cuts.next().ok_or(Damaged)?;
                        let (piece, after) = rest.split_at_checked(*cut).ok_or(Damaged)?;
                        pieces.push(Piece::from(piece));
                        rest = after;
                    }
                    Run::Insert(pieces)
                }
            });
        }
        if cuts.next().is_some() || !rest.is_empty() {
            return Err(Damaged);
        }
        Ok(Delta {
            base: written.base,
            shape: written.shape,
            version: written.version,
            runs,
        })
    }
}

fn serialize<S>(text: &Arc<str>, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    let text = match text.len() < SHORT {
        true => Text::Plain((&**text).into()),
        false => Text::Packed {
            packed: BASE64_STANDARD.encode(compress_to_vec(text.as_bytes(), LEVEL)),
        },
    };
    text.serialize(serializer)
}

fn deserialize<'de, D>(deserializer: D) -> Result<Arc<str>, D::Error>
where
    D: Deserializer<'de>,
{
    let packed = match Text::deserialize(deserializer)? {
        Text::Plain(text) => return Ok(Arc::from(text.as_ref())),
        Text::Packed { packed } => packed,
    };
    let bytes = BASE64_STANDARD.decode(packed).map_err(D::Error::custom)?;
    let bytes = decompress_to_vec_with_limit(&bytes, LIMIT).map_err(D::Error::custom)?;
    let text = String::from_utf8(bytes).map_err(D::Error::custom)?;
    Ok(Arc::from(text))
}
