//! Serialisation of documents and deltas, with long texts compressed.
//!
//! **Failure.** A configuration of a thousand routes has a quarter of a megabyte. A process
//! with a link of 20 Mbit/s that sent five versions in two seconds to a dozen children,
//! uncompressed, took longer than a version may take to be in force, and a host acted on an
//! older version. Such texts are repetitive and compress to about a tenth. Of three days on
//! which hosts were late, none had compressed texts.

use std::{borrow::Cow, sync::Arc};

use base64::{Engine, prelude::BASE64_STANDARD};
use miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

use super::{
    Document, Piece,
    delta::{Delta, Run, Shape},
};

/// Texts from this length are compressed, in bytes. Shorter ones would gain little, and stay
/// readable.
const MIN_PACKED_BYTES: usize = 4 * 1024;
/// Maximum length of a decompressed text, in bytes: as much as an operator may send.
const MAX_TEXT_BYTES: usize = 16 << 20;
/// The fastest compression level that still finds repeated lines.
const DEFLATE_LEVEL: u8 = 1;

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Text<'a> {
    /// The text itself. Earlier releases wrote all texts so.
    Plain(Cow<'a, str>),
    Packed {
        /// The text, deflated and in Base64.
        packed: String,
    },
}

/// The serialised form of a document.
#[derive(Serialize, Deserialize)]
pub(super) struct DocumentRepr {
    version: u64,
    #[serde(with = "self")]
    text: Arc<str>,
    /// The lengths of all pieces but the last one, in bytes. Earlier releases wrote none.
    #[serde(default, rename = "cuts", skip_serializing_if = "Vec::is_empty")]
    piece_bytes: Vec<u32>,
}

impl From<Document> for DocumentRepr {
    fn from(document: Document) -> DocumentRepr {
        let lengths = document.pieces.iter().map(|piece| piece.as_str().len());
        let mut piece_bytes: Vec<u32> = lengths
            .map(|length| u32::try_from(length).unwrap_or(u32::MAX))
            .collect();
        piece_bytes.pop();
        DocumentRepr {
            version: document.version,
            text: document.text().into(),
            piece_bytes,
        }
    }
}

impl From<DocumentRepr> for Document {
    /// Lengths that don't fit the text leave the rest of it in one piece.
    fn from(written: DocumentRepr) -> Document {
        let mut rest = &*written.text;
        let mut pieces = Vec::with_capacity(written.piece_bytes.len() + 1);
        for length in written.piece_bytes {
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

/// The serialised form of a run.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RunRepr {
    /// The index of the first kept piece in the base, and the number of kept pieces.
    Keep(usize, usize),
    /// The number of new pieces, taken in order from the delta's text.
    Insert(usize),
}

/// The serialised form of a delta. The new pieces of all runs are joined to one text.
#[derive(Serialize, Deserialize)]
pub(super) struct DeltaRepr {
    base: u64,
    shape: Shape,
    version: u64,
    runs: Vec<RunRepr>,
    #[serde(with = "self")]
    text: Arc<str>,
    /// The lengths of all new pieces, in bytes.
    #[serde(default, rename = "cuts", skip_serializing_if = "Vec::is_empty")]
    piece_bytes: Vec<usize>,
}

/// The error for a serialised delta whose text doesn't match its runs.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("the text of a delta doesn't fit its runs")]
pub(super) struct Damaged;

impl From<Delta> for DeltaRepr {
    fn from(delta: Delta) -> DeltaRepr {
        let mut text = String::new();
        let mut piece_bytes = Vec::new();
        let runs = delta.runs.iter().map(|run| match run {
            Run::Keep { from, count } => RunRepr::Keep(*from, *count),
            Run::Insert(pieces) => {
                text.extend(pieces.iter().map(Piece::as_str));
                piece_bytes.extend(pieces.iter().map(|piece| piece.as_str().len()));
                RunRepr::Insert(pieces.len())
            }
        });
        DeltaRepr {
            base: delta.base,
            shape: delta.shape,
            version: delta.version,
            runs: runs.collect(),
            text: text.into(),
            piece_bytes,
        }
    }
}

impl TryFrom<DeltaRepr> for Delta {
    type Error = Damaged;

    fn try_from(written: DeltaRepr) -> Result<Delta, Damaged> {
        let mut rest = &*written.text;
        let mut lengths = written.piece_bytes.iter();
        let mut runs = Vec::with_capacity(written.runs.len());
        for run in written.runs {
            runs.push(match run {
                RunRepr::Keep(from, count) => Run::Keep { from, count },
                RunRepr::Insert(count) => {
                    let mut pieces = Vec::new();
                    for _ in 0..count {
                        let length = lengths.next().ok_or(Damaged)?;
                        let (piece, after) = rest.split_at_checked(*length).ok_or(Damaged)?;
                        pieces.push(Piece::from(piece));
                        rest = after;
                    }
                    Run::Insert(pieces)
                }
            });
        }
        if lengths.next().is_some() || !rest.is_empty() {
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
    let text = match text.len() < MIN_PACKED_BYTES {
        true => Text::Plain((&**text).into()),
        false => Text::Packed {
            packed: BASE64_STANDARD.encode(compress_to_vec(text.as_bytes(), DEFLATE_LEVEL)),
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
    let bytes = decompress_to_vec_with_limit(&bytes, MAX_TEXT_BYTES).map_err(D::Error::custom)?;
    let text = String::from_utf8(bytes).map_err(D::Error::custom)?;
    Ok(Arc::from(text))
}
