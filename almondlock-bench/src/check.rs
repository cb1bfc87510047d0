//! Whether an answer is whole, right and the caller's own.
//!
//! The stand-in's answers are hashes of the prompt, so the right answer is known
//! before it is asked for. A wrong one is named by what must have happened: this
//! is how a run says "two answers were swapped" instead of "bytes differ".

use almondlock_standin::answer::{Key, TOKEN_BYTES};

/// What an answer turned out to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// All of it, and nothing else.
    Whole,
    /// Right as far as it goes; this many tokens of it.
    Truncated(u64),
    /// A token came again, at this place.
    Doubled(u64),
    /// Tokens are missing before this place.
    Gap(u64),
    /// From this place on, not the answer to this prompt.
    Foreign(u64),
}

impl Verdict {
    /// The verdict on a text that should be the first `tokens` tokens of the
    /// answer to the prompt with this key.
    ///
    /// ```
    /// use almondlock_bench::check::Verdict;
    /// use almondlock_standin::answer::Key;
    ///
    /// let key = Key::new("a prompt");
    /// assert_eq!(Verdict::new(&key, 4, &key.range(0, 4)), Verdict::Whole);
    /// assert_eq!(Verdict::new(&key, 4, &key.range(0, 3)), Verdict::Truncated(3));
    /// ```
    pub fn new(key: &Key, tokens: u64, text: &str) -> Verdict {
        let right = key.range(0, tokens);
        if text == right {
            return Verdict::Whole;
        }
        let same = common_prefix(right.as_bytes(), text.as_bytes());
        if same == text.len() {
            return Verdict::Truncated((same / TOKEN_BYTES) as u64);
        }
        let place = (same / TOKEN_BYTES) as u64;
        let start = same - same % TOKEN_BYTES;
        let found = text.as_bytes()[start..].chunks(TOKEN_BYTES).next();
        let index = found.and_then(|found| {
            let mut tokens = right.as_bytes().chunks(TOKEN_BYTES);
            tokens.position(|token| token == found)
        });
        match index {
            Some(index) if (index as u64) < place => Verdict::Doubled(place),
            Some(_) => Verdict::Gap(place),
            None => Verdict::Foreign(place),
        }
    }

    /// Whether the text may stand as the beginning of a right answer.
    pub fn is_prefix(self) -> bool {
        matches!(self, Verdict::Whole | Verdict::Truncated(_))
    }

    /// The verdict's name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Whole => "whole",
            Verdict::Truncated(_) => "truncated",
            Verdict::Doubled(_) => "doubled",
            Verdict::Gap(_) => "gap",
            Verdict::Foreign(_) => "foreign",
        }
    }
}

fn common_prefix(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}
