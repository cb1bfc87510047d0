//! Hashes of a prompt's leading parts.
//!
//! Two prompts that begin alike share their first hashes, and an upstream that
//! processed one has the shared part cached. The number of hashes is bounded:
//! equal blocks would need two thousand of them for a million tokens, or would
//! tell nothing of what comes after the first few. So the parts grow by
//! about a quarter each: 32 hashes reach from 512 to over a million tokens, and
//! a shared start is recognised to within a quarter of its length.
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

/// Most hashes of one prompt.
pub const MAX_HASHES: usize = 32;
/// Bytes of the first part.
const FIRST: u64 = 2_048;
/// Bytes taken for one token. Only scales the sizes given by [`covered_tokens`]; the
/// parts themselves are cut by bytes, the same for every model.
const BYTES: u64 = 4;

/// Where each part ends, in bytes.
const ENDS: [u64; MAX_HASHES] = ends();

const fn ends() -> [u64; MAX_HASHES] {
    let mut ends = [FIRST; MAX_HASHES];
    let mut i = 1;
    while i < MAX_HASHES {
        let grown = ends[i - 1] * 5 / 4;
        let next = ends[i - 1] + FIRST;
        ends[i] = if grown > next { grown } else { next };
        i += 1;
    }
    ends
}

/// The hashes of a prompt's leading parts, shortest part first. A prompt
/// shorter than the first part has none: it is not worth routing by.
pub fn hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let mut hashes = Vec::new();
    let mut done = 0;
    for end in ENDS {
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

/// About how many tokens the first `count` hashes cover.
pub const fn covered_tokens(count: usize) -> Tokens {
    if count == 0 {
        return Tokens::ZERO;
    }
    let last = if count < MAX_HASHES {
        count - 1
    } else {
        MAX_HASHES - 1
    };
    Tokens(ENDS[last] / BYTES)
}
