//! The deployment's configuration as an operator publishes it: one text, whole,
//! under one version number.
//!
//! Some deployments are configured by a complete text for each version and not
//! by single changes. The replicas keep the text as it was sent, so that it can
//! be read back to the byte, and leave its meaning to whoever can read it. The
//! highest version counts: an older one that arrives late, or is sent again, is
//! answered like the first time and changes nothing, and so is another text
//! under the version in force, because processes have acted on the first one.
//!
//! A text is kept in [`Piece`]s, so that two versions share what they have in
//! common, and a [`Delta`] holds only what differs. Where a text is cut is decided by
//! whoever can read it.

mod delta;
mod packed;
mod publication;

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

pub use self::{
    delta::{Delta, Mismatch, Run, Shape},
    publication::{Publication, publish},
};

/// A part of a text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Piece(Arc<str>);

impl Piece {
    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether both are one allocation, which implies that they are equal.
    pub fn is_same(&self, other: &Piece) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl From<&str> for Piece {
    fn from(text: &str) -> Piece {
        Piece(Arc::from(text))
    }
}

impl fmt::Debug for Piece {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.as_str().fmt(f)
    }
}

/// A published configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "packed::Written", into = "packed::Written")]
pub struct Document {
    /// Its version. Never goes down in the replicated state.
    pub version: u64,
    /// The text as it was sent, one piece after the other. A long one is stored and
    /// told compressed.
    pub pieces: Arc<[Piece]>,
}

impl Document {
    /// A document of these pieces, without empty ones. They would not all be read back, and
    /// the places in a delta have to mean the same in each process.
    pub fn new<I>(version: u64, pieces: I) -> Document
    where
        I: IntoIterator<Item = Piece>,
    {
        let mut pieces: Vec<Piece> = pieces.into_iter().collect();
        pieces.retain(|piece| !piece.as_str().is_empty());
        let pieces = pieces.into();
        Document { version, pieces }
    }

    /// A document of one piece.
    pub fn whole(version: u64, text: &str) -> Document {
        Document::new(version, [Piece::from(text)])
    }

    /// The same text in one piece.
    pub fn into_single_piece(self) -> Document {
        match self.pieces.len() {
            0 | 1 => self,
            _ => Document::whole(self.version, &self.text()),
        }
    }

    /// The same document, of which the pieces that `held` has too are those of `held`.
    pub fn share_pieces(self, held: &Document) -> Document {
        let shared = Delta::between(held, &self).apply(held);
        shared.unwrap_or(self)
    }

    /// The text as it was sent.
    pub fn text(&self) -> String {
        let mut text = String::with_capacity(self.len());
        text.extend(self.pieces.iter().map(Piece::as_str));
        text
    }

    /// The length of the text in bytes.
    pub fn len(&self) -> usize {
        let lengths = self.pieces.iter().map(|piece| piece.as_str().len());
        lengths.sum()
    }

    /// Whether the text is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
