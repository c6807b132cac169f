//! Hashes of prompt prefixes.
//!
//! Engines cache the KV of prompt prefixes. Entries and agents refer to a prefix by its hash. The
//! prefix lengths double, so that a probe stays small for long prompts.

use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Length of the shortest prefix, in bytes.
pub const MIN_PREFIX_BYTES: usize = 256;
/// Maximum number of prefixes of a prompt.
pub const MAX_PREFIXES: usize = 14;

/// Returns the hashes of the prompt's first 256, 512, 1024, ... bytes, shortest first.
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

/// Returns the length in bytes of the prefix at an index in [`hashes`].
pub fn length_at(index: usize) -> usize {
    MIN_PREFIX_BYTES << index
}

/// Returns the rank of a name for a key in rendezvous hashing. The highest rank wins.
pub fn rank(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}
