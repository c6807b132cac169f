//! HTTP client of an engine.

use crate::protocol::{
    CacheEvents, Chunk, CompletionBody, EngineState, Load, Order, OrderAnswer, PATH_CACHE_EVENTS,
    PATH_CANCEL, PATH_COMPLETIONS, PATH_LOAD, PATH_ORDER, PATH_STATE,
};
use crate::sse::EventReader;
use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode};
use net::h1::PooledResponse;
use net::{Body, CallError, Pool, empty, full};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size of a response that isn't a completion, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Data of the last event of a completion.
const DONE: &[u8] = b"[DONE]";

quick_error! {
    /// A failed call to an engine.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EngineError {
        /// The engine couldn't be reached, or its response broke off.
        Call(e: CallError) {
            display("engine: {e}")
            from()
        }
        /// The engine responded with an error status.
        Refused(status: StatusCode) { display("engine responded with {status}") }
        /// The response is invalid.
        InvalidResponse(why: &'static str) { display("invalid response from the engine: {why}") }
    }
}

/// Client of a model engine.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool,
    timeout: Duration,
}

/// A token of a completion, or the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CompletionEvent {
    /// The text of a token.
    Text(String),
    /// The completion is complete. Contains the number of tokens, including resumed ones.
    End(u32),
}

/// A running completion. Dropping it closes the connection, and the engine cancels the completion.
#[derive(Debug)]
pub struct CompletionStream {
    pooled: PooledResponse,
    events: EventReader,
    id: String,
    count: u32,
    finished: bool,
}

impl Client {
    /// Creates a client. `timeout` applies to connecting and to each call except completions.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            pool: Pool::new(addr, timeout),
            timeout,
        }
    }

    /// Starts a completion.
    pub async fn complete(&self, body: &CompletionBody) -> Result<CompletionStream, EngineError> {
        let req = self.request(Method::POST, PATH_COMPLETIONS, json(body));
        let pooled = self.pool.send_on_new(req).await?;
        let status = pooled.response.status();
        if !status.is_success() {
            return Err(EngineError::Refused(status));
        }
        let events = EventReader::default();
        let id = body.request_id.clone();
        Ok(CompletionStream {
            pooled,
            events,
            id,
            count: body.resume_from,
            finished: false,
        })
    }

    /// Reads the engine's state.
    pub async fn state(&self) -> Result<EngineState, EngineError> {
        self.call_json(Method::GET, PATH_STATE, empty()).await
    }

    /// Reads the load report.
    pub async fn load(&self) -> Result<Load, EngineError> {
        self.call_json(Method::GET, PATH_LOAD, empty()).await
    }

    /// Reads the cache events after an event number.
    pub async fn cache_events(&self, after: u64) -> Result<CacheEvents, EngineError> {
        self.call_json(
            Method::GET,
            &format!("{PATH_CACHE_EVENTS}?{after}"),
            empty(),
        )
        .await
    }

    /// Sends an order.
    pub async fn order(&self, order: &Order) -> Result<OrderAnswer, EngineError> {
        self.call_json(Method::POST, PATH_ORDER, json(order)).await
    }

    /// Cancels a completion by its id.
    pub async fn cancel(&self, id: &str) -> Result<(), EngineError> {
        let req = self.request(Method::POST, &format!("{PATH_CANCEL}?{id}"), empty());
        let (status, _) = self
            .pool
            .call(req, MAX_RESPONSE_BYTES, self.timeout)
            .await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(EngineError::Refused(status))
        }
    }

    async fn call_json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Body,
    ) -> Result<T, EngineError> {
        let req = self.request(method, path, body);
        let (status, body) = self
            .pool
            .call(req, MAX_RESPONSE_BYTES, self.timeout)
            .await?;
        if !status.is_success() {
            return Err(EngineError::Refused(status));
        }
        serde_json::from_slice(&body).map_err(|_| EngineError::InvalidResponse("unexpected JSON"))
    }

    fn request(&self, method: Method, path: &str, body: Body) -> Request<Body> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, self.pool.addr().to_string())
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(body)
            .expect("paths are our own")
    }
}

fn json<T: serde::Serialize>(value: &T) -> Body {
    full(serde_json::to_vec(value).expect("messages have no field that can't be encoded"))
}

impl CompletionStream {
    /// Waits for the next token or for the end.
    pub async fn next(&mut self) -> Result<CompletionEvent, EngineError> {
        loop {
            if let Some(token) = self.next_buffered()? {
                return Ok(token);
            }
            let Some(frame) = self.pooled.response.body_mut().frame().await else {
                return Err(EngineError::InvalidResponse("stream ended early"));
            };
            let frame = frame.map_err(|e| CallError::MaybeSent(e.to_string()))?;
            if let Some(data) = frame.data_ref() {
                self.events.push(data);
            }
        }
    }

    /// Returns the next token or the end if it is already in the buffer.
    fn next_buffered(&mut self) -> Result<Option<CompletionEvent>, EngineError> {
        let malformed = |_| EngineError::InvalidResponse("not server-sent events");
        let Some(data) = self.events.pop().map_err(malformed)? else {
            return Ok(None);
        };
        if data.as_ref() == DONE {
            if self.finished {
                return Ok(Some(CompletionEvent::End(self.count)));
            }
            return Err(EngineError::InvalidResponse("end without a finish reason"));
        }
        if self.finished {
            return Err(EngineError::InvalidResponse(
                "chunk after the finish reason",
            ));
        }
        self.parse_chunk(&data).map(Some)
    }

    fn parse_chunk(&mut self, data: &[u8]) -> Result<CompletionEvent, EngineError> {
        let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
            return Err(EngineError::InvalidResponse("not a chunk"));
        };
        if chunk.id != self.id {
            return Err(EngineError::InvalidResponse("chunk of another request"));
        }
        self.count += 1;
        if chunk.usage.completion_tokens != self.count {
            return Err(EngineError::InvalidResponse("chunk missing or duplicated"));
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Err(EngineError::InvalidResponse("chunk without a choice"));
        };
        self.finished = choice.finish_reason.is_some();
        Ok(CompletionEvent::Text(choice.text))
    }
}
