//! Keys and values of the rows that the system keeps.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wire::{Model, RequestId, Role};

/// Key of a service's document.
pub fn doc_key(service: &str) -> String {
    format!("doc/{service}")
}

/// Key of a document's head: an empty row that is written along with each
/// version, so that a poll costs the same however long the document is.
pub fn head_key(service: &str) -> String {
    format!("head/{service}")
}

/// Key of a duty's lease.
pub fn lease_key(duty: &str, service: &str) -> String {
    format!("lease/{duty}/{service}")
}

/// Key of what is desired of an upstream.
pub fn desired_key(service: &str, upstream: &str) -> String {
    format!("desired/{service}/{upstream}")
}

/// Key of a claim. Names hold no `/`; the caller's key may, and stands last.
pub fn claim_key(service: &str, tenant: &str, key: &str) -> String {
    format!("claim/{service}/{tenant}/{key}")
}

/// Begin of the keys of what is known of crashes.
pub const CRASH_PREFIX: &str = "crash/";

/// Key of the end of an upstream under some work: hashes of both.
pub fn crash_key(work: u128, end: u32) -> String {
    format!("{CRASH_PREFIX}{work:032x}/end/{end:08x}")
}

/// Key of a trial of work that is held back.
pub fn trial_key(work: u128, number: usize) -> String {
    format!("{CRASH_PREFIX}{work:032x}/trial/{number}")
}

/// What a key of a crash tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashKey {
    /// An upstream's end under some work.
    End {
        /// Hash of the work.
        work: u128,
        /// Tells the end from others.
        end: u32,
    },
    /// A trial of some work.
    Trial {
        /// Hash of the work.
        work: u128,
        /// Which, from 0.
        number: usize,
    },
}

impl CrashKey {
    /// Decodes a row's key; none if it is malformed.
    pub fn parse(key: &str) -> Option<Self> {
        let mut parts = key.strip_prefix(CRASH_PREFIX)?.split('/');
        let work = u128::from_str_radix(parts.next()?, 16).ok()?;
        match (parts.next()?, parts.next()?) {
            ("end", end) => Some(Self::End {
                work,
                end: u32::from_str_radix(end, 16).ok()?,
            }),
            ("trial", number) => Some(Self::Trial {
                work,
                number: number.parse().ok()?,
            }),
            _ => None,
        }
    }
}

/// An end or a trial.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Entry that saw it.
    pub entry: String,
    /// When, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Of an end: whether it came under a trial.
    #[serde(default)]
    pub in_trial: bool,
}

/// A lease on a duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it: a process's name and incarnation.
    pub holder: String,
    /// Rises with each new holder.
    pub epoch: u64,
    /// Rises with each renewal.
    pub renewals: u64,
}

/// What is desired of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Desired {
    /// The role.
    pub role: Role,
    /// What is to be loaded.
    pub model: Model,
    /// Epoch of the lease under which it was written.
    pub epoch: u64,
    /// Rises with each order to this upstream; the fencing number.
    pub order: u64,
    /// Why, in words for operators.
    pub why: String,
}

/// A claim on a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that claimed it.
    pub request: RequestId,
    /// The try that claimed it.
    pub attempt: u32,
    /// The agent, by name and incarnation.
    pub agent: String,
    /// Hash of the method, path and body.
    pub digest: u64,
    /// How far it has come.
    pub state: ClaimState,
    /// When it was made, in milliseconds since 1970, for expiry only.
    pub made_ms: u64,
}

/// How far a claim has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The call may have been sent to the upstream.
    Held,
    /// The upstream's answer.
    Answered(KeptAnswer),
    /// The upstream answered, with more than is kept.
    TooLargeToKeep,
    /// Given up before anything was sent; the key is free.
    Released,
}

/// An answer that is kept with its claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// The body; only text is kept.
    pub body: String,
}

/// Encodes a row's value.
pub fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows have no field that can't be encoded")
}

/// Decodes a row's value; `None` for anything malformed.
pub fn decode<T: DeserializeOwned>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}
