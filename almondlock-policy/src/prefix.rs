//! Hashes of a prompt's leading parts, its prefixes.
//!
//! Two prompts with a common prefix share their first hashes, and an upstream
//! that processed one of them is likely to have the common prefix cached. The
//! number of hashes per prompt is bounded. Blocks of equal size would need two
//! thousand hashes for a million tokens, or would cover only the beginning of a
//! long prompt. Therefore each prefix is about a quarter longer than the one
//! before: 32 hashes range from 512 to over a million tokens, and the length of
//! a common prefix is found to within a quarter.
//!
//! ```
//! use almondlock_policy::prefix;
//!
//! let contract = "clause ".repeat(2_000);
//! let first = prefix::hashes(format!("{contract} Who pays?").as_bytes());
//! let second = prefix::hashes(format!("{contract} Until when?").as_bytes());
//! let shared = first.iter().zip(&second).take_while(|(a, b)| a == b).count();
//! assert!(shared > 0);
//! assert!(prefix::covered_tokens(shared).0 > 2_000);
//! ```

use almondlock_base::unit::Tokens;

/// Largest number of hashes for one prompt.
pub const MAX_HASHES: usize = 32;
/// Length of the shortest prefix, in bytes.
const FIRST_PART_BYTES: u64 = 2_048;
/// Number of bytes per token that [`covered_tokens`] assumes. The prefixes themselves are
/// defined in bytes, and are the same for every model.
const BYTES_PER_TOKEN: u64 = 4;

/// Length of each prefix, in bytes.
const PART_ENDS: [u64; MAX_HASHES] = part_ends();

const fn part_ends() -> [u64; MAX_HASHES] {
    let mut ends = [FIRST_PART_BYTES; MAX_HASHES];
    let mut i = 1;
    while i < MAX_HASHES {
        let grown = ends[i - 1] * 5 / 4;
        let next = ends[i - 1] + FIRST_PART_BYTES;
        ends[i] = if grown > next { grown } else { next };
        i += 1;
    }
    ends
}

/// Returns the hashes of a prompt's prefixes, shortest first. A prompt that is shorter than the
/// first prefix has none, since caching it would save too little.
pub fn hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let mut hashes = Vec::new();
    let mut done = 0;
    for end in PART_ENDS {
        let Some(part) = usize::try_from(end)
            .ok()
            .and_then(|end| prompt.get(done..end))
        else {
            break;
        };
        hasher.update(part);
        done += part.len();
        let mut short = [0; 8];
        short.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        hashes.push(u64::from_le_bytes(short));
    }
    hashes
}

/// Returns the approximate number of tokens that the first `count` hashes cover.
pub const fn covered_tokens(count: usize) -> Tokens {
    if count == 0 {
        return Tokens::ZERO;
    }
    let last = if count < MAX_HASHES {
        count - 1
    } else {
        MAX_HASHES - 1
    };
    Tokens(PART_ENDS[last] / BYTES_PER_TOKEN)
}
