//! Hashes of a prompt's beginnings.
//!
//! Engines cache the KV of prompt prefixes. Entry and agent speak of a prefix
//! by its hash, at lengths that double, so that a probe stays small however
//! long the prompt is.

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Shortest prefix that is spoken of, in bytes.
pub const MIN_PREFIX_BYTES: usize = 256;
/// Most prefixes of one prompt.
pub const MAX_PREFIXES: usize = 14;

/// Hashes of the prompt's first 256, 512, 1024, ... bytes, shortest first.
pub fn hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut state = Xxh3::new();
    let (mut hashed, mut len) = (0, MIN_PREFIX_BYTES);
    while len <= prompt.len() && hashes.len() < MAX_PREFIXES {
        state.update(&prompt[hashed..len]);
        hashes.push(state.digest());
        (hashed, len) = (len, len * 2);
    }
    hashes
}

/// Length in bytes of the prefix at a place in [`hashes`].
pub fn length_at(index: usize) -> usize {
    MIN_PREFIX_BYTES << index
}

/// Rank of a name for a key in rendezvous hashing; the highest rank wins.
pub fn rank(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}
