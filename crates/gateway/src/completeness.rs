//! Decides whether an upstream's answer is whole once its body has ended.
//!
//! The head of an answer determines how the end of the body is known: by a length, by a last
//! chunk, or only by the end of the connection. The first two show that the upstream sent all of
//! it. A connection also ends when its upstream crashes, so a body that ends with it is whole only
//! as far as its content shows: a stream that ends inside an event, or has none, was broken off. If
//! the connection ends between two events, the rest can't be missed.
//!
//! Only successful answers on routes of streams consist of events. Others, such as errors, may end
//! anywhere.

use crate::events::EventBoundary;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING};
use quick_error::quick_error;

/// Maximum size of an event in bytes, including comments before it. Upstreams send smaller ones.
pub const MAX_EVENT_BYTES: u64 = 1 << 20;
const EVENT_STREAM: &str = "text/event-stream";

/// How the end of an answer's body is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The answer has no body.
    Empty,
    /// The body ends after a length.
    Length,
    /// The body ends with its last chunk.
    Chunks,
    /// The body ends with the connection.
    Connection,
}

impl Framing {
    /// Framing of an answer whose body hasn't been read.
    pub fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        match body.is_end_stream() {
            true => Self::Empty,
            false => Self::from_headers(headers),
        }
    }

    /// Framing of an answer with a body. As in RFC 9112, a transfer encoding overrides a length.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let Some(encoding) = headers.get_all(TRANSFER_ENCODING).iter().next_back() else {
            return match headers.contains_key(CONTENT_LENGTH) {
                true => Self::Length,
                false => Self::Connection,
            };
        };
        let last = encoding.to_str().ok().and_then(|v| v.rsplit(',').next());
        match last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked")) {
            true => Self::Chunks,
            false => Self::Connection,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// Whether an answer is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// The upstream has sent all of it.
    Whole,
    /// It ended with the connection, where a whole answer may end.
    Unconfirmed,
    /// It was broken off.
    BrokenOff(BreakOff),
}

/// Why an answer whose body ended without an error was broken off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakOff {
    /// It ended inside an event.
    InsideEvent,
    /// The connection ended before the first event.
    NoEvent,
}

impl BreakOff {
    /// Description in logs.
    pub fn message(self) -> &'static str {
        match self {
            Self::InsideEvent => "ended inside an event",
            Self::NoEvent => "connection ended before the first event",
        }
    }
}

quick_error! {
    /// An incomplete event has exceeded [`MAX_EVENT_BYTES`].
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum EventTooLong {
        /// Size of the event so far, in bytes.
        Bytes(n: u64) { display("event of {n} bytes or more, limit {MAX_EVENT_BYTES}") }
    }
}

/// Reads along with an answer's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyMonitor {
    framing: Framing,
    /// Position in a body that consists of events.
    events: Option<EventBoundary>,
}

impl BodyMonitor {
    /// A monitor for an answer, at the start of its body. `is_stream` is true on routes of streams.
    pub fn new(framing: Framing, is_stream: bool, status: StatusCode, headers: &HeaderMap) -> Self {
        let consists_of_events = is_stream && status.is_success() && may_be_events(headers);
        Self {
            framing,
            events: consists_of_events.then(EventBoundary::default),
        }
    }

    /// How the end of the body is known.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Whether the body consists of events.
    pub fn consists_of_events(&self) -> bool {
        self.events.is_some()
    }

    /// Reads the next bytes of the body.
    pub fn push(&mut self, data: &[u8]) -> Result<(), EventTooLong> {
        let Some(events) = &mut self.events else {
            return Ok(());
        };
        events.push(data);
        match events.incomplete_bytes() {
            n if n > MAX_EVENT_BYTES => Err(EventTooLong::Bytes(n)),
            _ => Ok(()),
        }
    }

    /// Whether the body is inside an event; `None` if it doesn't consist of events.
    pub fn is_inside_event(&self) -> Option<bool> {
        self.events.map(|events| events.is_inside())
    }

    /// Number of complete events in the body; `None` if it doesn't consist of events.
    pub fn events(&self) -> Option<u64> {
        self.events.map(|events| events.events())
    }

    /// Whether the answer is whole if its body ends here without an error.
    pub fn completeness(&self) -> Completeness {
        match (self.framing, self.events) {
            (_, Some(events)) if events.is_inside() => {
                Completeness::BrokenOff(BreakOff::InsideEvent)
            }
            (Framing::Connection, Some(events)) if events.events() == 0 => {
                Completeness::BrokenOff(BreakOff::NoEvent)
            }
            (Framing::Connection, _) => Completeness::Unconfirmed,
            (Framing::Empty | Framing::Length | Framing::Chunks, _) => Completeness::Whole,
        }
    }
}

/// Whether a body may consist of events by its content type, which may be missing.
fn may_be_events(headers: &HeaderMap) -> bool {
    let Some(content_type) = headers.get(CONTENT_TYPE) else {
        return true;
    };
    let value = content_type.to_str().unwrap_or_default();
    let media_type = value.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
}
