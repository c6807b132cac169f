//! Keys and values of the rows in the table service.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wire::{Model, RequestId, Role};

/// Key of a service's document.
pub fn doc_key(service: &str) -> String {
    format!("doc/{service}")
}

/// Key of a document's head: an empty row that is written with each version, so that the cost of a
/// poll doesn't depend on the document's length.
pub fn head_key(service: &str) -> String {
    format!("head/{service}")
}

/// Key of the lease for a duty.
pub fn lease_key(duty: &str, service: &str) -> String {
    format!("lease/{duty}/{service}")
}

/// Key of the desired state of an upstream.
pub fn desired_key(service: &str, upstream: &str) -> String {
    format!("desired/{service}/{upstream}")
}

/// Key of a claim. Names contain no `/`. The caller's key may, so it comes last.
pub fn claim_key(service: &str, tenant: &str, key: &str) -> String {
    format!("claim/{service}/{tenant}/{key}")
}

/// Prefix of the keys of crash rows.
pub const CRASH_PREFIX: &str = "crash/";

/// Key of an upstream's crash under some work. `work` and `end` are hashes.
pub fn crash_key(work: u128, end: u32) -> String {
    format!("{CRASH_PREFIX}{work:032x}/end/{end:08x}")
}

/// Key of a trial of held-back work.
pub fn trial_key(work: u128, number: usize) -> String {
    format!("{CRASH_PREFIX}{work:032x}/trial/{number}")
}

/// Parsed key of a crash row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashKey {
    /// A crash of an upstream under some work.
    End {
        /// Hash of the work.
        work: u128,
        /// Identifies the crash.
        end: u32,
    },
    /// A trial of held-back work.
    Trial {
        /// Hash of the work.
        work: u128,
        /// Number of the trial, from 0.
        number: usize,
    },
}

impl CrashKey {
    /// Parses a row's key. Returns `None` if it is malformed.
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

/// Value of a crash row: a crash or a trial.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Entry that saw it.
    pub entry: String,
    /// Time in milliseconds since the epoch.
    pub at_ms: u64,
    /// For a crash: whether it happened in a trial.
    #[serde(default)]
    pub in_trial: bool,
}

/// A lease for a duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Name and incarnation of the process that holds it.
    pub holder: String,
    /// Incremented for each new holder.
    pub epoch: u64,
    /// Incremented with each renewal.
    pub renewals: u64,
}

/// Desired state of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Desired {
    /// The role.
    pub role: Role,
    /// The model to load.
    pub model: Model,
    /// Epoch of the lease under which it was written.
    pub epoch: u64,
    /// Number of the order, incremented with each order to this upstream. It is the fencing token.
    pub order: u64,
    /// Reason of the order, for operators.
    pub why: String,
}

/// A claim for a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that made the claim.
    pub request: RequestId,
    /// The attempt that made the claim.
    pub attempt: u32,
    /// Name and incarnation of the agent.
    pub agent: String,
    /// Hash of the method, path and body.
    pub digest: u64,
    /// State of the claim.
    pub state: ClaimState,
    /// Time when it was made, in milliseconds since 1970. Used only for expiry.
    pub made_ms: u64,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The call may have been sent to the upstream.
    Held,
    /// The upstream has answered.
    Answered(KeptAnswer),
    /// The upstream has answered, but the response is too large to be stored.
    TooLargeToKeep,
    /// Released before anything was sent, so the key may be used again.
    Released,
}

/// A response that is stored with its claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// The body. Only text is stored.
    pub body: String,
}

/// Encodes a row's value.
pub fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows have no field that can't be encoded")
}

/// Decodes a row's value. Returns `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}
