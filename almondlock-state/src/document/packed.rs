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

use super::{Document, Piece};

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
