//! HTTP client that verifies each response against its request.

use crate::mix::{ClientRequest, RequestKind};
use engine::sse::EventReader;
use fakes::answer;
use fakes::plain::PlainAnswer;
use fakes::serve::NONSENSE;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode};
use net::h1::PooledResponse;
use net::{Body, Pool, full};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wire::Outcome;

/// Timeout for a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(120);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Result of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The complete response to the request.
    Complete {
        /// Whether it is a stored response to an earlier request with the same key.
        replayed: bool,
    },
    /// A refusal with an outcome and a reason.
    Refused {
        /// Whether the request ran.
        outcome: Outcome,
        /// Reason of the refusal.
        reason: String,
    },
    /// An incomplete response that does not report an error.
    Truncated,
    /// A response that belongs to another request.
    Crossed,
    /// The connection broke or the response is invalid; contains the reason.
    Failed(String),
}

/// A request with its result.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request.
    pub request: ClientRequest,
    /// Request ID from the response, if present.
    pub id: Option<String>,
    /// Result of the request.
    pub result: CallResult,
    /// Time to the first byte of the response's content.
    pub first_byte: Option<Duration>,
    /// Times between consecutive tokens of a stream.
    pub token_gaps: Vec<Duration>,
}

/// Sends requests to one entry.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool,
}

#[derive(Debug, Deserialize)]
struct Refusal {
    error: Detail,
}

#[derive(Debug, Deserialize)]
struct Detail {
    outcome: Outcome,
    reason: String,
    request_id: String,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Turn>,
    message: Option<Turn>,
}

#[derive(Debug, Deserialize)]
struct Turn {
    content: String,
}

impl Choice {
    fn into_text(self) -> String {
        let turn = self.delta.or(self.message).map(|t| t.content);
        self.text.or(turn).unwrap_or_default()
    }
}

impl Client {
    /// Creates a client of the entry at an address.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            pool: Pool::new(addr, CONNECT_TIMEOUT),
        }
    }

    /// Sends a request and waits for its result.
    pub async fn send(&self, request: ClientRequest) -> Call {
        let since = Instant::now();
        let mut call = Call {
            request,
            id: None,
            result: CallResult::Truncated,
            first_byte: None,
            token_gaps: Vec::new(),
        };
        let whole = self.exchange(&mut call, since);
        if tokio::time::timeout(RESPONSE_TIMEOUT, whole).await.is_err() {
            call.result = CallResult::Failed("no complete response in time".into());
        }
        call
    }

    async fn exchange(&self, call: &mut Call, since: Instant) {
        // Each request uses a new connection, so that a failure is never due to a stale idle
        // connection.
        let mut answer = match self.pool.send_on_new(http_request(&call.request)).await {
            Ok(answer) => answer,
            Err(e) => {
                call.result = CallResult::Failed(e.to_string());
                return;
            }
        };
        let id = answer.response.headers().get("x-request-id");
        call.id = id.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let status = answer.response.status();
        let streamed = matches!(
            call.request.kind,
            RequestKind::Completion { stream: true, .. }
        );
        if streamed && status.is_success() {
            call.result = read_stream(&mut answer, call, since).await;
            return;
        }
        let replayed = answer
            .response
            .headers()
            .contains_key("idempotent-replayed");
        match read_whole(&mut answer.response).await {
            Ok(body) => {
                call.first_byte = Some(since.elapsed());
                call.result = judge_whole(&call.request, status, &body, replayed);
            }
            Err(why) => call.result = CallResult::Failed(why),
        }
    }
}

/// Builds the HTTP request for a client request.
pub fn http_request(request: &ClientRequest) -> Request<Body> {
    let req = Request::builder()
        .header("host", "entry")
        .header("x-tenant", &request.tenant)
        .header("x-class", request.class);
    let (req, body) = match &request.kind {
        RequestKind::Completion {
            prompt,
            tokens,
            chat,
            stream,
        } => {
            let form = if *chat {
                "/v1/chat/completions"
            } else {
                "/v1/completions"
            };
            let mut body = serde_json::json!({"max_tokens": tokens, "stream": stream});
            if *chat {
                body["messages"] = serde_json::json!([{"role": "user", "content": prompt}]);
            } else {
                body["prompt"] = serde_json::json!(prompt);
            }
            let req = req
                .method("POST")
                .uri(format!("/{}{form}", request.service));
            (
                req.header("content-type", "application/json"),
                body.to_string(),
            )
        }
        RequestKind::Plain {
            method,
            path,
            body,
            key,
        } => {
            let mut req = req
                .method(*method)
                .uri(format!("/{}{path}", request.service));
            if let Some(key) = key {
                req = req.header("idempotency-key", key);
            }
            (req, body.clone())
        }
    };
    req.body(full(body)).expect("requests of the mix are valid")
}

async fn read_whole(res: &mut Response<hyper::body::Incoming>) -> Result<Vec<u8>, String> {
    let body = http_body_util::Limited::new(res.body_mut(), MAX_RESPONSE_BYTES);
    body.collect()
        .await
        .map(|b| b.to_bytes().to_vec())
        .map_err(|e| e.to_string())
}

fn refused(body: &[u8]) -> Option<CallResult> {
    let r: Refusal = serde_json::from_slice(body).ok()?;
    (!r.error.request_id.is_empty()).then_some(CallResult::Refused {
        outcome: r.error.outcome,
        reason: r.error.reason,
    })
}

fn judge_whole(
    request: &ClientRequest,
    status: StatusCode,
    body: &[u8],
    replayed: bool,
) -> CallResult {
    if !status.is_success() {
        let what = || CallResult::Failed(format!("status {status} without a valid refusal"));
        return refused(body).unwrap_or_else(what);
    }
    match &request.kind {
        RequestKind::Completion { .. } => {
            let Ok(chunk) = serde_json::from_slice::<Chunk>(body) else {
                return CallResult::Truncated;
            };
            let text: String = chunk.choices.into_iter().map(Choice::into_text).collect();
            judge_text(request, &text)
        }
        RequestKind::Plain {
            method,
            path,
            body: asked,
            ..
        } => {
            // Any body is a valid answer of a plain service, also the malformed body that the
            // stand-in sends as a fault.
            if body == NONSENSE.as_bytes() {
                return CallResult::Complete { replayed };
            }
            let Ok(got) = serde_json::from_slice::<PlainAnswer>(body) else {
                return CallResult::Truncated;
            };
            if got.digest == answer::plain_digest(method, path, asked.as_bytes()) {
                CallResult::Complete { replayed }
            } else {
                CallResult::Crossed
            }
        }
    }
}

/// Verifies the complete text of a completion.
fn judge_text(request: &ClientRequest, text: &str) -> CallResult {
    let RequestKind::Completion {
        prompt,
        tokens,
        chat,
        ..
    } = &request.kind
    else {
        return CallResult::Crossed;
    };
    // The entry joins chat turns in this form and the engine answers the joined prompt.
    let prompt = if *chat {
        format!("user: {prompt}\n")
    } else {
        prompt.clone()
    };
    let expected = answer::completion(&prompt, *tokens);
    if text == expected {
        CallResult::Complete { replayed: false }
    } else if expected.starts_with(text) {
        CallResult::Truncated
    } else {
        CallResult::Crossed
    }
}

async fn read_stream(answer: &mut PooledResponse, call: &mut Call, since: Instant) -> CallResult {
    let mut events = EventReader::default();
    let mut text = String::new();
    let mut last: Option<Instant> = None;
    loop {
        let data = match events.pop() {
            Ok(Some(data)) => data,
            Ok(None) => match answer.response.body_mut().frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        events.push(data);
                    }
                    continue;
                }
                // The connection broke, so the client can tell that the response is incomplete.
                Some(Err(e)) => return CallResult::Failed(e.to_string()),
                None => return CallResult::Failed("stream ended without [DONE]".into()),
            },
            Err(_) => return CallResult::Failed("invalid server-sent events".into()),
        };
        if data.as_ref() == b"[DONE]" {
            return judge_text(&call.request, &text);
        }
        let Ok(chunk) = serde_json::from_slice::<Chunk>(&data) else {
            return refused(&data).unwrap_or(CallResult::Failed(
                "event is neither a chunk nor a refusal".into(),
            ));
        };
        let new: String = chunk.choices.into_iter().map(Choice::into_text).collect();
        if new.is_empty() {
            continue;
        }
        text.push_str(&new);
        let now = Instant::now();
        if let Some(last) = last {
            call.token_gaps.push(now - last);
        }
        last = Some(now);
        call.first_byte.get_or_insert(now - since);
    }
}
