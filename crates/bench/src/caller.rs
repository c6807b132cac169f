//! A caller, which checks what it gets against what it asked for.

use crate::mix::{Ask, What};
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

/// Longest that a caller waits for a whole answer.
const PATIENCE: Duration = Duration::from_secs(120);
/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(5);
/// Largest answer that a caller reads.
const MAX_ANSWER: usize = 16 << 20;

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Got {
    /// The whole answer to its request.
    Whole {
        /// It is the one kept from an earlier request with the same key.
        kept: bool,
    },
    /// A typed refusal.
    Refused {
        /// What it says.
        outcome: Outcome,
        /// Why, as it says.
        reason: String,
    },
    /// An answer that isn't whole and doesn't say so.
    Truncated,
    /// An answer to something else.
    Crossed,
    /// The connection broke, or an answer that is no answer.
    Nothing(String),
}

/// A request with what came of it.
#[derive(Debug, Clone)]
pub struct Sent {
    /// What was asked.
    pub ask: Ask,
    /// The request's id, if the answer had one.
    pub id: Option<String>,
    /// What came.
    pub got: Got,
    /// Time to the first byte of the answer's content.
    pub first: Option<Duration>,
    /// Times between tokens of a stream.
    pub gaps: Vec<Duration>,
}

/// Sends requests to one entry.
#[derive(Debug, Clone)]
pub struct Caller {
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

impl Caller {
    /// A caller of the entry at an address.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            pool: Pool::new(addr, CONNECT),
        }
    }

    /// Sends a request and waits for all that comes of it.
    pub async fn send(&self, ask: Ask) -> Sent {
        let since = Instant::now();
        let mut sent = Sent {
            ask,
            id: None,
            got: Got::Truncated,
            first: None,
            gaps: Vec::new(),
        };
        let whole = self.exchange(&mut sent, since);
        if tokio::time::timeout(PATIENCE, whole).await.is_err() {
            sent.got = Got::Nothing("no whole answer in time".into());
        }
        sent
    }

    async fn exchange(&self, sent: &mut Sent, since: Instant) {
        // A new connection for each, so that a break is never one of an idle one.
        let mut answer = match self.pool.send_on_new(request(&sent.ask)).await {
            Ok(answer) => answer,
            Err(e) => {
                sent.got = Got::Nothing(e.to_string());
                return;
            }
        };
        let id = answer.response.headers().get("x-request-id");
        sent.id = id.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let status = answer.response.status();
        let streamed = matches!(sent.ask.what, What::Completion { stream: true, .. });
        if streamed && status.is_success() {
            sent.got = read_stream(&mut answer, sent, since).await;
            return;
        }
        let kept = answer
            .response
            .headers()
            .contains_key("idempotent-replayed");
        match read_whole(&mut answer.response).await {
            Ok(body) => {
                sent.first = Some(since.elapsed());
                sent.got = judge_whole(&sent.ask, status, &body, kept);
            }
            Err(why) => sent.got = Got::Nothing(why),
        }
    }
}

/// Builds a request.
pub fn request(ask: &Ask) -> Request<Body> {
    let req = Request::builder()
        .header("host", "entry")
        .header("x-tenant", &ask.tenant)
        .header("x-class", ask.class);
    let (req, body) = match &ask.what {
        What::Completion {
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
            let req = req.method("POST").uri(format!("/{}{form}", ask.service));
            (
                req.header("content-type", "application/json"),
                body.to_string(),
            )
        }
        What::Plain {
            method,
            path,
            body,
            key,
        } => {
            let mut req = req.method(*method).uri(format!("/{}{path}", ask.service));
            if let Some(key) = key {
                req = req.header("idempotency-key", key);
            }
            (req, body.clone())
        }
    };
    req.body(full(body)).expect("the mix makes valid requests")
}

async fn read_whole(res: &mut Response<hyper::body::Incoming>) -> Result<Vec<u8>, String> {
    let body = http_body_util::Limited::new(res.body_mut(), MAX_ANSWER);
    body.collect()
        .await
        .map(|b| b.to_bytes().to_vec())
        .map_err(|e| e.to_string())
}

fn refused(body: &[u8]) -> Option<Got> {
    let r: Refusal = serde_json::from_slice(body).ok()?;
    (!r.error.request_id.is_empty()).then_some(Got::Refused {
        outcome: r.error.outcome,
        reason: r.error.reason,
    })
}

fn judge_whole(ask: &Ask, status: StatusCode, body: &[u8], kept: bool) -> Got {
    if !status.is_success() {
        let what = || Got::Nothing(format!("status {status} without a typed refusal"));
        return refused(body).unwrap_or_else(what);
    }
    match &ask.what {
        What::Completion { .. } => {
            let Ok(chunk) = serde_json::from_slice::<Chunk>(body) else {
                return Got::Truncated;
            };
            let text: String = chunk.choices.into_iter().map(Choice::into_text).collect();
            judge_text(ask, &text)
        }
        What::Plain {
            method,
            path,
            body: asked,
            ..
        } => {
            // What a plain service answers is its own affair, even this.
            if body == NONSENSE.as_bytes() {
                return Got::Whole { kept };
            }
            let Ok(got) = serde_json::from_slice::<PlainAnswer>(body) else {
                return Got::Truncated;
            };
            if got.digest == answer::plain_digest(method, path, asked.as_bytes()) {
                Got::Whole { kept }
            } else {
                Got::Crossed
            }
        }
    }
}

/// Judges a completion's whole text.
fn judge_text(ask: &Ask, text: &str) -> Got {
    let What::Completion {
        prompt,
        tokens,
        chat,
        ..
    } = &ask.what
    else {
        return Got::Crossed;
    };
    // The entry joins chat turns like this; the engine answers to the result.
    let prompt = if *chat {
        format!("user: {prompt}\n")
    } else {
        prompt.clone()
    };
    let expected = answer::completion(&prompt, *tokens);
    if text == expected {
        Got::Whole { kept: false }
    } else if expected.starts_with(text) {
        Got::Truncated
    } else {
        Got::Crossed
    }
}

async fn read_stream(answer: &mut PooledResponse, sent: &mut Sent, since: Instant) -> Got {
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
                // No end of its own: whoever reads it sees that it isn't whole.
                Some(Err(e)) => return Got::Nothing(e.to_string()),
                None => return Got::Nothing("stream without an end".into()),
            },
            Err(_) => return Got::Nothing("not server-sent events".into()),
        };
        if data.as_ref() == b"[DONE]" {
            return judge_text(&sent.ask, &text);
        }
        let Ok(chunk) = serde_json::from_slice::<Chunk>(&data) else {
            return refused(&data).unwrap_or(Got::Nothing("neither chunk nor refusal".into()));
        };
        let new: String = chunk.choices.into_iter().map(Choice::into_text).collect();
        if new.is_empty() {
            continue;
        }
        text.push_str(&new);
        let now = Instant::now();
        if let Some(last) = last {
            sent.gaps.push(now - last);
        }
        last = Some(now);
        sent.first.get_or_insert(now - since);
    }
}
