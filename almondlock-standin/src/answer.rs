//! Answers that can be checked.
//!
//! Token `i` of the answer to a prompt is a hash of the prompt and `i`. Whoever
//! knows the prompt can therefore tell whether an answer is whole, is right and
//! is its own, and an engine can go on at any token with the same words.
//!
//! ```
//! use almondlock_standin::answer;
//!
//! let whole = answer::whole("What is on the menu?", 3);
//! let parts: String = (0..3).map(|i| answer::token("What is on the menu?", i)).collect();
//! assert_eq!(whole, parts);
//! ```

use std::fmt::Write;

/// Bytes of text that count as one token of a prompt.
pub const BYTES_PER_TOKEN: usize = 4;

/// Bytes of one token of an answer.
pub const TOKEN_BYTES: usize = 8;

/// Tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: u64 = 256;

/// A prompt's hash: all that its answer depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key([u8; 32]);

impl Key {
    /// Hashes a prompt once, for many tokens of its answer.
    pub fn new(prompt: &str) -> Key {
        Key(*blake3::hash(prompt.as_bytes()).as_bytes())
    }

    /// One token of the answer, counted from zero.
    pub fn token(&self, index: u64) -> String {
        let hash = blake3::keyed_hash(&self.0, &index.to_le_bytes());
        let mut text = String::with_capacity(TOKEN_BYTES);
        for byte in &hash.as_bytes()[..3] {
            // Writing to a string can't fail.
            let _ = write!(text, "{byte:02x}");
        }
        text.push_str(if index.is_multiple_of(8) { ".\n" } else { ", " });
        text
    }

    /// Tokens `from..to` of the answer.
    pub fn range(&self, from: u64, to: u64) -> String {
        (from..to).map(|index| self.token(index)).collect()
    }

    /// The key in hexadecimal, as engines pass it to each other.
    pub fn hex(&self) -> String {
        blake3::Hash::from(self.0).to_hex().to_string()
    }

    /// Reads a key from hexadecimal.
    pub fn from_hex(text: &str) -> Option<Key> {
        let hash = blake3::Hash::from_hex(text).ok()?;
        Some(Key(*hash.as_bytes()))
    }
}

/// One token of the answer to a prompt, counted from zero.
pub fn token(prompt: &str, index: u64) -> String {
    Key::new(prompt).token(index)
}

/// The first `tokens` tokens of the answer to a prompt.
pub fn whole(prompt: &str, tokens: u64) -> String {
    Key::new(prompt).range(0, tokens)
}

/// How many tokens a prompt has: its bytes by four, rounded up.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// Hashes of a prompt's full cache blocks. Each covers all text before it too,
/// so that equal hashes mean equal prefixes.
pub fn blocks(prompt: &str) -> Vec<u64> {
    let size = BYTES_PER_TOKEN * BLOCK_TOKENS as usize;
    let mut chain = [0; 32];
    let blocks = prompt.as_bytes().chunks_exact(size);
    blocks
        .map(|block| {
            chain = *blake3::keyed_hash(&chain, block).as_bytes();
            let mut short = [0; 8];
            short.copy_from_slice(&chain[..8]);
            u64::from_le_bytes(short)
        })
        .collect()
}
