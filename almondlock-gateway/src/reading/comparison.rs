//! Finds the pieces that differ between two versions.

use std::collections::HashMap;

use almondlock_state::document::Piece;

/// Maximum number of pieces inserted or removed in a row that are recognised while walking
/// through the lists. Further ones are found by their content, at the cost of a hash each.
const WINDOW_PIECES: usize = 8;
/// Number of pieces that one step compares.
const PIECES_PER_STEP: usize = 128;

/// Walks through two lists of pieces side by side, and then looks among those that differ
/// for pieces that only moved.
#[derive(Debug, Default)]
pub(super) struct Comparison {
    old: usize,
    new: usize,
    is_walked: bool,
    removed: Vec<Piece>,
    added: Vec<Piece>,
    // Number of times that each removed piece was found, once the lists are walked through.
    counted: HashMap<Piece, usize>,
}

/// The result of a step.
#[derive(Debug, Default)]
pub(super) struct Difference {
    /// Number of pieces that both lists have.
    pub(super) kept: usize,
    /// Pieces that the new list lacks.
    pub(super) removed: Vec<Piece>,
    /// Pieces that the old list lacks.
    pub(super) added: Vec<Piece>,
    /// Whether the comparison is complete.
    pub(super) is_last: bool,
}

impl Comparison {
    /// Compares further pieces.
    pub(super) fn step(&mut self, old: &[Piece], new: &[Piece]) -> Difference {
        let mut found = Difference::default();
        match self.is_walked {
            false => found.kept = self.walk(old, new),
            true => self.match_moved(&mut found),
        }
        found
    }

    fn walk(&mut self, old: &[Piece], new: &[Piece]) -> usize {
        let mut kept = 0;
        for _ in 0..PIECES_PER_STEP {
            let (Some(left), Some(right)) = (old.get(self.old), new.get(self.new)) else {
                let rest = old.get(self.old..).unwrap_or_default();
                self.removed.extend_from_slice(rest);
                let rest = new.get(self.new..).unwrap_or_default();
                self.added.extend_from_slice(rest);
                self.is_walked = true;
                break;
            };
            if is_equal(left, right) {
                kept += 1;
                self.old += 1;
                self.new += 1;
                continue;
            }
            let (skip_old, skip_new) = match (find(old, self.old, right), find(new, self.new, left))
            {
                (Some(skip_old), Some(skip_new)) if skip_new < skip_old => (0, skip_new),
                (Some(skip_old), _) => (skip_old, 0),
                (None, Some(skip_new)) => (0, skip_new),
                (None, None) => (1, 1),
            };
            let differ = old.get(self.old..self.old + skip_old);
            self.removed.extend_from_slice(differ.unwrap_or_default());
            let differ = new.get(self.new..self.new + skip_new);
            self.added.extend_from_slice(differ.unwrap_or_default());
            self.old += skip_old;
            self.new += skip_new;
        }
        kept
    }

    /// Looks for pieces that were removed at one position and added at another.
    fn match_moved(&mut self, found: &mut Difference) {
        for _ in 0..PIECES_PER_STEP {
            if let Some(piece) = self.removed.pop() {
                *self.counted.entry(piece).or_default() += 1;
            } else if let Some(piece) = self.added.pop() {
                match self.counted.get_mut(&piece) {
                    Some(count) if *count > 0 => {
                        *count -= 1;
                        found.kept += 1;
                    }
                    _ => found.added.push(piece),
                }
            } else {
                let counted = self.counted.drain();
                let removed = counted.flat_map(|(piece, count)| std::iter::repeat_n(piece, count));
                found.removed.extend(removed);
                found.is_last = true;
                return;
            }
        }
    }
}

/// Compares the allocation first, which is cheaper.
fn is_equal(left: &Piece, right: &Piece) -> bool {
    left.is_same(right) || left == right
}

/// Returns how far behind `from` the piece is, within the window.
fn find(pieces: &[Piece], from: usize, piece: &Piece) -> Option<usize> {
    let mut window = (0..=WINDOW_PIECES).zip(pieces.iter().skip(from)).skip(1);
    window.find_map(|(after, other)| is_equal(other, piece).then_some(after))
}
