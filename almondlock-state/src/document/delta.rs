//! What differs between two versions of a document.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{Document, Piece};

/// What makes one document of another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Delta {
    /// The version that it applies to.
    pub base: u64,
    /// The version that it makes.
    pub version: u64,
    /// The new text, in order.
    pub runs: Vec<Run>,
}

/// Consecutive pieces of a new text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Run {
    /// Pieces of the base.
    Keep {
        /// The place of the first one.
        from: usize,
        /// How many.
        count: usize,
    },
    /// New pieces.
    Insert(Vec<Piece>),
}

/// A delta that doesn't apply to a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Mismatch {
    /// It applies to another version.
    #[error("it applies to version {expected}, not {found}")]
    Version {
        /// What it applies to.
        expected: u64,
        /// What there is.
        found: u64,
    },
    /// It keeps pieces that the base doesn't have.
    #[error("it keeps pieces beyond the base's {0}")]
    Pieces(usize),
}

impl Delta {
    /// What makes `new` of `base`.
    pub fn between(base: &Document, new: &Document) -> Delta {
        let mut places: HashMap<&Piece, usize> = HashMap::new();
        for (place, piece) in base.pieces.iter().enumerate() {
            places.entry(piece).or_insert(place);
        }
        let mut delta = Delta {
            base: base.version,
            version: new.version,
            runs: Vec::new(),
        };
        for piece in new.pieces.iter() {
            // Equal pieces may stand more than once: the one that follows comes first.
            let next = delta.next_kept();
            let follows = next.filter(|next| base.pieces.get(*next) == Some(piece));
            let place = follows.or_else(|| places.get(piece).copied());
            delta.push(place, piece);
        }
        delta
    }

    /// The place in the base after the last run, if that keeps pieces.
    fn next_kept(&self) -> Option<usize> {
        match self.runs.last() {
            Some(Run::Keep { from, count }) => Some(from + count),
            Some(Run::Insert(_)) | None => None,
        }
    }

    fn push(&mut self, place: Option<usize>, piece: &Piece) {
        let next = self.next_kept();
        match (self.runs.last_mut(), place) {
            (Some(Run::Keep { count, .. }), Some(_)) if place == next => *count += 1,
            (Some(Run::Insert(pieces)), None) => pieces.push(piece.clone()),
            (_, Some(from)) => self.runs.push(Run::Keep { from, count: 1 }),
            (_, None) => self.runs.push(Run::Insert(vec![piece.clone()])),
        }
    }

    /// The document that it makes of its base.
    ///
    /// # Errors
    ///
    /// If `base` is another document than it was made for.
    pub fn apply(&self, base: &Document) -> Result<Document, Mismatch> {
        if base.version != self.base {
            return Err(Mismatch::Version {
                expected: self.base,
                found: base.version,
            });
        }
        let mut pieces = Vec::new();
        for run in &self.runs {
            match run {
                Run::Keep { from, count } => {
                    let end = from.checked_add(*count);
                    let kept = end.and_then(|end| base.pieces.get(*from..end));
                    pieces.extend_from_slice(kept.ok_or(Mismatch::Pieces(base.pieces.len()))?);
                }
                Run::Insert(inserted) => pieces.extend_from_slice(inserted),
            }
        }
        Ok(Document::new(self.version, pieces))
    }
}
