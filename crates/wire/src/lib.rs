//! Messages between the system's processes.
//!
//! Bodies are rmp-serde. An answer to [`Run`] is a stream of [`Frame`]s, each
//! behind its length, each with the request's id and its own index, so that a
//! foreign, doubled or missing frame is seen and never reaches a caller.

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

/// Path of a probe.
pub const PATH_PROBE: &str = "/peer/probe";
/// Path of a request's run.
pub const PATH_RUN: &str = "/peer/run";
/// Path of a document's text, read by GET and offered by POST.
pub const PATH_DOC: &str = "/peer/doc";
/// Path of a nudge: look at the rows at once.
pub const PATH_NUDGE: &str = "/peer/nudge";
/// Path of a process's status, for the operators' commands.
pub const PATH_STATUS: &str = "/peer/status";

/// Encodes a message. Our messages always encode; a failure is a broken invariant.
pub fn encode<T: Serialize>(msg: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(msg).expect("peer messages have no field that can't be encoded")
}

/// Encodes a message without its fields' names, for what is sent or kept for
/// each request and counts against the control traffic.
pub fn encode_compact<T: Serialize>(msg: &T) -> Vec<u8> {
    rmp_serde::to_vec(msg).expect("peer messages have no field that can't be encoded")
}

/// Decodes a message; gives `None` for anything malformed.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Option<T> {
    rmp_serde::from_slice(buf).ok()
}
