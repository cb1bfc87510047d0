//! What differs between two versions of a document.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{Document, Piece, packed};

/// What a run costs in a written delta, in bytes: `{"keep":[9999,9999]},` with some room.
const RUN_BYTES: usize = 32;

/// What makes one document of another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "packed::WrittenDelta", into = "packed::WrittenDelta")]
pub struct Delta {
    /// The version that it applies to.
    pub base: u64,
    /// How that version is divided.
    pub shape: Shape,
    /// The version that it makes.
    pub version: u64,
    /// The new text, in order. Inserted pieces are written packed when they are long.
    pub runs: Vec<Run>,
}

/// How a document is divided into pieces.
///
/// Processes of an earlier version don't keep the pieces of a text. Who got it from one of
/// them holds the same version as one piece, to which the places in a delta don't apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Shape {
    /// The number of pieces.
    pub pieces: usize,
    /// The length of the text in bytes.
    pub bytes: usize,
}

impl Shape {
    /// The shape of a document.
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
    /// There is no document.
    #[error("it applies to version {expected}, and there is none")]
    Missing {
        /// What it applies to.
        expected: u64,
    },
    /// It applies to the same version, divided in another way.
    #[error("it applies to a base divided in another way, not to {} pieces of {} bytes", .0.pieces, .0.bytes)]
    Shape(Shape),
    /// It keeps pieces that the base doesn't have.
    #[error("it keeps pieces beyond the base's {0}")]
    Pieces(usize),
}

impl Delta {
    /// What makes `new` of `base`.
    ///
    /// What both begin and end with is found by comparison. Only the pieces between are
    /// looked up by content, because hashing a text of megabytes takes longer than all else.
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
            // Equal pieces may stand more than once: the one that follows comes first.
            let next = delta.next_kept();
            let follows = next.filter(|next| base.pieces.get(*next) == Some(piece));
            match follows.or_else(|| places.get(piece).copied()) {
                Some(place) => delta.keep(place, 1),
                None => delta.insert(piece),
            }
        }
        delta.keep(base.pieces.len() - tail, tail);
        delta
    }

    /// The place in the base after the last run, if that keeps pieces.
    fn next_kept(&self) -> Option<usize> {
        match self.runs.last() {
            Some(Run::Keep { from, count }) => Some(from + count),
            Some(Run::Insert(_)) | None => None,
        }
    }

    fn keep(&mut self, place: usize, more: usize) {
        let next = self.next_kept();
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

    /// Whether it is worth sending in place of a text of so many bytes: it has less than
    /// half of them. Where most of a text is new, the delta saves nothing, and the whole
    /// needs no base.
    pub fn is_worthwhile(&self, text: usize) -> bool {
        let bytes = self.inserted_bytes() + self.runs.len() * RUN_BYTES;
        bytes < text / 2
    }

    /// The length of the new text, in bytes.
    pub fn inserted_bytes(&self) -> usize {
        let inserted = self.runs.iter().map(|run| match run {
            Run::Insert(pieces) => pieces.iter().map(|piece| piece.as_str().len()).sum(),
            Run::Keep { .. } => 0,
        });
        inserted.sum()
    }

    /// Whether it applies to a document.
    ///
    /// # Errors
    ///
    /// If `base` is another document than it was made for.
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

    /// The document that it makes of its base. Kept pieces are shared with the base.
    ///
    /// # Errors
    ///
    /// If `base` is another document than it was made for.
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
