//! Fingerprints that identify equal requests.

use std::fmt;

/// Hash of a request's content and its client. A request that a client repeats at any host has
/// the same fingerprint, as the request id isn't included.
///
/// It has 128 bits of a cryptographic hash, so that no client can forge the fingerprint of
/// another client's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Hashes the parts, each prefixed with its length, so that lists that differ only in the
    /// boundaries of their parts have different fingerprints.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut out = [0; 16];
        hasher.finalize_xof().fill(&mut out);
        Self(u128::from_be_bytes(out))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
