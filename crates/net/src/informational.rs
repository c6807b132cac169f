//! Limits the informational responses (1xx) that precede the response to a request.
//!
//! hyper skips them without a limit. A peer that sends nothing else would keep the connection's task
//! busy until the caller gives up.

use crate::body::Body;
use crate::h1::MAX_READ_BUFFER;
use hyper::Request;
use hyper::ext::on_informational;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Maximum total size of the informational responses to a request, in bytes.
pub const MAX_INFORMATIONAL_BYTES: usize = 64 << 10;
/// Number of bytes read for a request above which the limit is certainly exceeded. A full read buffer,
/// which may be allocated with twice its size, can contain the start of the response itself.
const MAX_BYTES_READ: usize = MAX_INFORMATIONAL_BYTES + 2 * MAX_READ_BUFFER;

/// Limits the informational responses to the current request of a connection. Clones share the
/// state.
#[derive(Debug, Clone, Default)]
pub struct InformationalLimit {
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of bytes read since the request was sent.
    bytes_read: AtomicUsize,
    is_exceeded: AtomicBool,
}

impl InformationalLimit {
    /// Limits the informational responses to this request, which is sent next.
    pub fn watch(&self, req: &mut Request<Body>) {
        self.state.bytes_read.store(0, Ordering::Relaxed);
        let state = self.state.clone();
        on_informational(req, move |_| {
            if state.bytes_read.load(Ordering::Relaxed) > MAX_BYTES_READ {
                state.is_exceeded.store(true, Ordering::Relaxed);
            }
        });
    }

    /// Whether the informational responses have exceeded the limit.
    pub fn is_exceeded(&self) -> bool {
        self.state.is_exceeded.load(Ordering::Relaxed)
    }

    /// Fails if the limit is exceeded, so that the connection is closed.
    pub fn check(&self) -> io::Result<()> {
        match self.is_exceeded() {
            true => Err(io::Error::other("too many informational responses")),
            false => Ok(()),
        }
    }

    /// Counts bytes that were read from the connection.
    pub fn record_read(&self, bytes: usize) {
        self.state.bytes_read.fetch_add(bytes, Ordering::Relaxed);
    }
}
