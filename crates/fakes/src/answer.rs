//! Deterministic answers: each is a function of its request.
//!
//! A caller can therefore check from its own request whether an answer is complete and belongs
//! to that request.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Words of which completions consist.
const WORDS: [&str; 16] = [
    "blad", "thee", "huis", "brief", "wacht", "lot", "kist", "zaal", "noord", "ja", "nee", "blend",
    "oogst", "straat", "sleutel", "haven",
];

/// Returns the token at an index of the completion of a prompt.
pub fn token(prompt: &str, index: u32) -> String {
    token_of(xxh3_64(prompt.as_bytes()), index)
}

/// Like [`token`], for callers that have the prompt's hash already.
pub fn token_of(prompt_hash: u64, index: u32) -> String {
    let h = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    format!(
        "{}{:02x} ",
        WORDS[(h % WORDS.len() as u64) as usize],
        (h >> 32) as u8
    )
}

/// Returns the completion of a prompt up to a number of tokens.
pub fn completion(prompt: &str, tokens: u32) -> String {
    let hash = xxh3_64(prompt.as_bytes());
    (0..tokens).map(|i| token_of(hash, i)).collect()
}

/// Returns the digest that a plain service puts into its answer.
pub fn plain_digest(method: &str, path: &str, body: &[u8]) -> String {
    let seed = xxh3_64(format!("{method} {path}").as_bytes());
    format!("{:016x}", xxh3_64_with_seed(body, seed))
}
