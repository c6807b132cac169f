//! Messages between entries, agents and the operators' commands.
//!
//! Bodies are encoded with rmp-serde. A response to a request at [`PATH_RUN`] is a stream of
//! [`Frame`]s, each with a length prefix, the request's id and its index. This way a foreign,
//! duplicate or missing frame is detected and never reaches a caller.

pub mod frame;
pub mod message;
pub mod prefix;

pub use frame::{Frame, FrameReader, Part, StreamCheck, StreamError};
pub use message::{
    AgentState, AgentStatus, Call, Completion, DocText, Model, Outcome, PlainCall, Probe,
    ProbeAnswer, Reason, Refusal, RequestContext, RequestId, Role,
};

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Path for probing an agent.
pub const PATH_PROBE: &str = "/peer/probe";
/// Path for running a request.
pub const PATH_RUN: &str = "/peer/run";
/// Path of a document's text: GET reads it, POST offers it to the process.
pub const PATH_DOC: &str = "/peer/doc";
/// Path for making a process poll its rows immediately.
pub const PATH_NUDGE: &str = "/peer/nudge";
/// Path of a process's status, for the operators' commands.
pub const PATH_STATUS: &str = "/peer/status";

/// Encodes a message with its field names. Encoding can't fail for these types, so a failure
/// panics.
pub fn encode<T: Serialize>(msg: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(msg).expect("peer messages have no field that can't be encoded")
}

/// Encodes a message without field names, for data that is sent or stored per request and counts as
/// control traffic.
pub fn encode_compact<T: Serialize>(msg: &T) -> Vec<u8> {
    rmp_serde::to_vec(msg).expect("peer messages have no field that can't be encoded")
}

/// Decodes a message. Returns `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Option<T> {
    rmp_serde::from_slice(buf).ok()
}
