//! The difference between two versions of a document.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{Document, Piece, packed};

/// Estimated size of a run in a serialised delta: `{"keep":[9999,9999]},` and some margin.
const RUN_BYTES: usize = 32;

/// The edits that turn one version of a document, the base, into another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "packed::DeltaRepr", into = "packed::DeltaRepr")]
pub struct Delta {
    /// The version of the base.
    pub base: u64,
    /// The division of the base into pieces.
    pub shape: Shape,
    /// The version of the new document.
    pub version: u64,
    /// The new text, in order. Long inserted pieces are serialised compressed.
    pub runs: Vec<Run>,
}

/// The division of a document into pieces.
///
/// Processes of an earlier release don't keep the pieces of a text. A process that got the
/// text from one of them holds the same version as one piece, to which the indices in a
/// delta don't apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Shape {
    /// The number of pieces.
    pub pieces: usize,
    /// The length of the text in bytes.
    pub bytes: usize,
}

impl Shape {
    /// Returns the shape of a document.
    pub fn of(document: &Document) -> Shape {
        Shape {
            pieces: document.pieces.len(),
            bytes: document.len(),
        }
    }
}

/// Consecutive pieces of a new text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Run {
    /// Pieces copied from the base.
    Keep {
        /// The index of the first piece in the base.
        from: usize,
        /// The number of pieces.
        count: usize,
    },
    /// New pieces.
    Insert(Vec<Piece>),
}

/// The error for a delta that doesn't apply to a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Mismatch {
    /// The delta applies to another version.
    #[error("the delta applies to version {expected}, not {found}")]
    Version {
        /// The version of the delta's base.
        expected: u64,
        /// The version of the document.
        found: u64,
    },
    /// There is no document.
    #[error("the delta applies to version {expected}, and there is no document")]
    Missing {
        /// The version of the delta's base.
        expected: u64,
    },
    /// The delta applies to the same version in another division into pieces.
    #[error("the delta applies to another division of its base than {} pieces of {} bytes", .0.pieces, .0.bytes)]
    Shape(Shape),
    /// The delta keeps pieces that the base doesn't have.
    #[error("the delta keeps pieces beyond the {0} of its base")]
    Pieces(usize),
}

impl Delta {
    /// Computes the delta that turns `base` into `new`.
    ///
    /// Common pieces at the beginning and end are found by comparison. Only the pieces
    /// between them are looked up by hash, because hashing a text of megabytes takes longer
    /// than everything else.
    pub fn between(base: &Document, new: &Document) -> Delta {
        let same = |(old, new): &(&Piece, &Piece)| old == new;
        let head = base.pieces.iter().zip(new.pieces.iter());
        let head = head.take_while(same).count();
        let (old, rest) = (&base.pieces[head..], &new.pieces[head..]);
        let tail = old.iter().rev().zip(rest.iter().rev());
        let tail = tail.take_while(same).count();
        let mut delta = Delta {
            base: base.version,
            shape: Shape::of(base),
            version: new.version,
            runs: Vec::new(),
        };
        delta.keep(0, head);
        let mut places: HashMap<&Piece, usize> = HashMap::new();
        for (place, piece) in old[..old.len() - tail].iter().enumerate() {
            places.entry(piece).or_insert(head + place);
        }
        for piece in &rest[..rest.len() - tail] {
            // Equal pieces may occur more than once. The one after the last kept piece is
            // preferred, as it extends the run.
            let next = delta.next_kept_index();
            let follows = next.filter(|next| base.pieces.get(*next) == Some(piece));
            match follows.or_else(|| places.get(piece).copied()) {
                Some(place) => delta.keep(place, 1),
                None => delta.insert(piece),
            }
        }
        delta.keep(base.pieces.len() - tail, tail);
        delta
    }

    /// Returns the index in the base after the last run, if that run keeps pieces.
    fn next_kept_index(&self) -> Option<usize> {
        match self.runs.last() {
            Some(Run::Keep { from, count }) => Some(from + count),
            Some(Run::Insert(_)) | None => None,
        }
    }

    fn keep(&mut self, place: usize, more: usize) {
        let next = self.next_kept_index();
        match self.runs.last_mut() {
            _ if more == 0 => {}
            Some(Run::Keep { count, .. }) if next == Some(place) => *count += more,
            _ => self.runs.push(Run::Keep {
                from: place,
                count: more,
            }),
        }
    }

    fn insert(&mut self, piece: &Piece) {
        match self.runs.last_mut() {
            Some(Run::Insert(pieces)) => pieces.push(piece.clone()),
            _ => self.runs.push(Run::Insert(vec![piece.clone()])),
        }
    }

    /// Returns whether the delta should be sent instead of a text of `text` bytes: its size
    /// is less than half of the text's. If most of a text is new, a delta saves little,
    /// whereas the whole text needs no base.
    pub fn is_worthwhile(&self, text: usize) -> bool {
        let bytes = self.inserted_bytes() + self.runs.len() * RUN_BYTES;
        bytes < text / 2
    }

    /// Returns the total length of the inserted pieces in bytes.
    pub fn inserted_bytes(&self) -> usize {
        let inserted = self.runs.iter().map(|run| match run {
            Run::Insert(pieces) => pieces.iter().map(|piece| piece.as_str().len()).sum(),
            Run::Keep { .. } => 0,
        });
        inserted.sum()
    }

    /// Checks that the delta applies to a document.
    ///
    /// # Errors
    ///
    /// If `base` is not the document that the delta was computed for.
    pub fn check(&self, base: &Document) -> Result<(), Mismatch> {
        if base.version != self.base {
            return Err(Mismatch::Version {
                expected: self.base,
                found: base.version,
            });
        }
        let shape = Shape::of(base);
        if shape != self.shape {
            return Err(Mismatch::Shape(shape));
        }
        let beyond = |run: &Run| match run {
            Run::Keep { from, count } => {
                let end = from.checked_add(*count);
                end.is_none_or(|end| end > shape.pieces)
            }
            Run::Insert(_) => false,
        };
        match self.runs.iter().any(beyond) {
            true => Err(Mismatch::Pieces(shape.pieces)),
            false => Ok(()),
        }
    }

    /// Applies the delta to its base. Kept pieces share the memory of the base.
    ///
    /// # Errors
    ///
    /// If `base` is not the document that the delta was computed for.
    pub fn apply(&self, base: &Document) -> Result<Document, Mismatch> {
        self.check(base)?;
        let mut pieces = Vec::with_capacity(base.pieces.len());
        for run in &self.runs {
            match run {
                Run::Keep { from, count } => {
                    pieces.extend_from_slice(&base.pieces[*from..from + count]);
                }
                Run::Insert(inserted) => pieces.extend_from_slice(inserted),
            }
        }
        Ok(Document::new(self.version, pieces))
    }
}
