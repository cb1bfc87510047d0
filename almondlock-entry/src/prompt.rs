//! What a prompt's bytes say before any engine has seen them.

use almondlock_base::unit::Tokens;

/// Bytes of a token, on average, in the prompts that engines have reported.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes that one prefix hash covers beyond the one before: the choice of an
/// upstream counts 512 tokens for each.
const BLOCK: usize = 512 * BYTES_PER_TOKEN;
/// Prefix hashes of a prompt at most. What is shared by many prompts stands at
/// their start, and the hashes go with every attempt.
const BLOCKS: usize = 16;

/// The estimated length of a prompt of so many bytes.
pub fn estimate(bytes: usize) -> Tokens {
    Tokens(bytes.div_ceil(BYTES_PER_TOKEN) as u64)
}

/// Hashes of the prompt's leading blocks, each over all before it.
pub fn prefix(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let blocks = prompt.chunks_exact(BLOCK).take(BLOCKS);
    blocks
        .map(|block| {
            hasher.update(block);
            let mut short = [0; 8];
            short.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            u64::from_le_bytes(short)
        })
        .collect()
}
