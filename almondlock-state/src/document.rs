//! The deployment's configuration, published by an operator as one text with a version.
//!
//! Some deployments are configured by a complete text for each version and not by single
//! changes. The replicas store the text byte for byte and don't interpret it. The highest
//! version is in force. An older version that arrives late or is sent again is accepted
//! and ignored. So is a different text with the same version as the one in force, because
//! processes have acted on the first one.
//!
//! A text is stored in [`Piece`]s, so that two versions share the pieces that they have in
//! common and a [`Delta`] holds only the others. The code that interprets the text decides
//! where it is cut.

mod delta;
mod packed;
mod publication;

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

pub use self::{
    delta::{Delta, Mismatch, Run, Shape},
    publication::{Publication, publish},
};

/// A contiguous part of a text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Piece(Arc<str>);

impl Piece {
    /// Returns the text of the piece.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether both share one allocation, which implies that they are equal.
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
#[serde(from = "packed::DocumentRepr", into = "packed::DocumentRepr")]
pub struct Document {
    /// The version. Never decreases in the replicated state.
    pub version: u64,
    /// The text as it was published, in pieces. A long text is serialised compressed.
    pub pieces: Arc<[Piece]>,
}

impl Document {
    /// Creates a document of these pieces, without the empty ones. Not all empty pieces
    /// would survive serialisation, and the indices in a delta must mean the same pieces in
    /// all processes.
    pub fn new<I>(version: u64, pieces: I) -> Document
    where
        I: IntoIterator<Item = Piece>,
    {
        let mut pieces: Vec<Piece> = pieces.into_iter().collect();
        pieces.retain(|piece| !piece.as_str().is_empty());
        let pieces = pieces.into();
        Document { version, pieces }
    }

    /// Creates a document of one piece.
    pub fn whole(version: u64, text: &str) -> Document {
        Document::new(version, [Piece::from(text)])
    }

    /// Returns the same document in one piece.
    pub fn into_single_piece(self) -> Document {
        match self.pieces.len() {
            0 | 1 => self,
            _ => Document::whole(self.version, &self.text()),
        }
    }

    /// Returns the same document, sharing the memory of those pieces that `held` has too.
    pub fn share_pieces(self, held: &Document) -> Document {
        let shared = Delta::between(held, &self).apply(held);
        shared.unwrap_or(self)
    }

    /// Returns the text as it was published.
    pub fn text(&self) -> String {
        let mut text = String::with_capacity(self.len());
        text.extend(self.pieces.iter().map(Piece::as_str));
        text
    }

    /// Returns the length of the text in bytes.
    pub fn len(&self) -> usize {
        let lengths = self.pieces.iter().map(|piece| piece.as_str().len());
        lengths.sum()
    }

    /// Returns whether the text is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
