//! How an upstream frames an answer, and how it ends it.

use rand::Rng;

/// Of a hundred answers, those with neither a length nor chunks that are whole.
const UNMARKED: u32 = 20;
/// Of a hundred streams, those that are cut inside an event.
const CUT: u32 = 2;
/// Of a hundred answers, those whose connection is reset.
const RESET: u32 = 2;

/// The framing and the end of an answer. All but the first have neither a length nor chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Whole, with a length or in chunks.
    Marked,
    /// Whole; it ends with its connection.
    Unmarked,
    /// The connection is closed inside an event.
    Cut,
    /// The connection is reset before the end.
    Reset,
}

impl Ending {
    /// Draws one. Plain answers aren't cut: without a length nothing would tell.
    pub fn draw<R>(rng: &mut R, is_stream: bool, may_break: bool) -> Ending
    where
        R: Rng,
    {
        let drawn: u32 = rng.random_range(0..100);
        if drawn < UNMARKED {
            Ending::Unmarked
        } else if may_break && drawn < UNMARKED + RESET {
            Ending::Reset
        } else if may_break && is_stream && drawn < UNMARKED + RESET + CUT {
            Ending::Cut
        } else {
            Ending::Marked
        }
    }

    /// Whether the answer doesn't come to its end.
    pub fn is_broken(self) -> bool {
        matches!(self, Ending::Cut | Ending::Reset)
    }
}
