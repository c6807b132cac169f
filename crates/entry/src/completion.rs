//! The common completion API: text and chat completions, streamed or in one response.

use crate::refusal;
use crate::reply::set_request_id;
use crate::session::Session;
use bytes::Bytes;
use hyper::Response;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use net::body::ReceiverClosed;
use net::{Body, BodySender, full, stream};
use serde::{Deserialize, Serialize};
use wire::{Completion, Part, RequestId};

/// Maximum number of tokens if the request doesn't specify one.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Highest number of tokens that a request may specify.
const MAX_TOKENS: u32 = 32_768;
/// Number of chunks buffered for a caller before the engine is slowed down.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// Endpoint of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A parsed request.
#[derive(Debug, Clone, PartialEq)]
pub struct ParsedRequest {
    /// The completion to run.
    pub completion: Completion,
    /// Whether the response is streamed.
    pub stream: bool,
}

#[derive(Debug, Deserialize)]
struct TextBody {
    prompt: Prompt,
    #[serde(flatten)]
    options: Options,
}

#[derive(Debug, Deserialize)]
struct ChatBody {
    messages: Vec<Message>,
    #[serde(flatten)]
    options: Options,
}

#[derive(Debug, Deserialize)]
struct Options {
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    n: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    List([String; 1]),
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Debug, Deserialize)]
struct ContentPart {
    text: String,
}

/// Parses the body of a request. Returns `None` if it is invalid or uses unsupported options.
pub fn parse(endpoint: Endpoint, body: &[u8]) -> Option<ParsedRequest> {
    let (prompt, options) = match endpoint {
        Endpoint::Text => {
            let b: TextBody = serde_json::from_slice(body).ok()?;
            let prompt = match b.prompt {
                Prompt::One(text) | Prompt::List([text]) => text,
            };
            (prompt, b.options)
        }
        Endpoint::Chat => {
            let b: ChatBody = serde_json::from_slice(body).ok()?;
            (join_messages(&b.messages)?, b.options)
        }
    };
    let max_tokens = options.max_completion_tokens.or(options.max_tokens);
    let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let fits = (1..=MAX_TOKENS).contains(&max_tokens) && options.n.unwrap_or(1) == 1;
    fits.then_some(ParsedRequest {
        completion: Completion {
            prompt,
            max_tokens,
            resume_from: 0,
        },
        stream: options.stream,
    })
}

/// Joins chat messages into a prompt.
fn join_messages(messages: &[Message]) -> Option<String> {
    let mut out = String::new();
    for m in messages {
        out.push_str(&m.role);
        out.push_str(": ");
        match &m.content {
            Content::Text(text) => out.push_str(text),
            Content::Parts(parts) => parts.iter().for_each(|p| out.push_str(&p.text)),
        }
        out.push('\n');
    }
    (!messages.is_empty()).then_some(out)
}

#[derive(Serialize)]
struct Answer<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize, Default)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Turn<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Turn<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Turn<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u64,
}

const ROLE: &str = "assistant";

fn choice<'a>(endpoint: Endpoint, streamed: bool, text: &'a str, is_last: bool) -> Choice<'a> {
    let finish_reason = is_last.then_some("stop");
    let turn = Turn {
        role: ROLE,
        content: text,
    };
    match (endpoint, streamed) {
        (Endpoint::Text, _) => Choice {
            text: Some(text),
            finish_reason,
            ..Choice::default()
        },
        (Endpoint::Chat, true) => Choice {
            delta: Some(turn),
            finish_reason,
            ..Choice::default()
        },
        (Endpoint::Chat, false) => Choice {
            message: Some(turn),
            finish_reason,
            ..Choice::default()
        },
    }
}

/// Formats the responses to one request.
struct ResponseFormat {
    endpoint: Endpoint,
    id: String,
    model: String,
}

impl ResponseFormat {
    fn new(endpoint: Endpoint, session: &Session) -> Self {
        let id = format!("cmpl-{}", session.id());
        Self {
            endpoint,
            id,
            model: session.service().to_owned(),
        }
    }

    fn chunk(&self, text: &str, end: Option<u64>) -> Bytes {
        let object = match self.endpoint {
            Endpoint::Text => "text_completion",
            Endpoint::Chat => "chat.completion.chunk",
        };
        let choices = [choice(self.endpoint, true, text, end.is_some())];
        let usage = end.map(|completion_tokens| Usage { completion_tokens });
        let answer = Answer {
            id: &self.id,
            object,
            model: &self.model,
            choices,
            usage,
        };
        let mut out = b"data: ".to_vec();
        serde_json::to_writer(&mut out, &answer).expect("answers always encode");
        out.extend_from_slice(b"\n\n");
        Bytes::from(out)
    }

    fn full_body(&self, text: &str, completion_tokens: u64) -> Vec<u8> {
        let object = match self.endpoint {
            Endpoint::Text => "text_completion",
            Endpoint::Chat => "chat.completion",
        };
        let choices = [choice(self.endpoint, false, text, true)];
        let usage = Some(Usage { completion_tokens });
        let answer = Answer {
            id: &self.id,
            object,
            model: &self.model,
            choices,
            usage,
        };
        serde_json::to_vec(&answer).expect("answers always encode")
    }
}

/// Serves a completion with a single response.
pub async fn serve_full(endpoint: Endpoint, mut session: Session) -> Response<Body> {
    let (id, format) = (session.id(), ResponseFormat::new(endpoint, &session));
    let mut text = String::new();
    loop {
        match session.next().await {
            Ok(Part::Token(t)) => text.push_str(&t),
            Ok(Part::End { count }) => {
                let body = full(format.full_body(&text, count));
                return response_of_type(body, "application/json", id);
            }
            // Agents send no other parts for a completion; the frames were checked on receipt.
            Ok(_) => {}
            Err(r) => return refusal::response(id, &r),
        }
    }
}

/// Serves a completion as an event stream. The status is sent only with the first token, so that a
/// refusal can have its own status code.
pub async fn serve_stream(endpoint: Endpoint, mut session: Session) -> Response<Body> {
    let (id, format) = (session.id(), ResponseFormat::new(endpoint, &session));
    let first = match session.next().await {
        Ok(part) => part,
        Err(r) => return refusal::response(id, &r),
    };
    let (tx, body) = stream(MAX_BUFFERED_CHUNKS);
    tokio::spawn(forward_parts(format, session, first, tx));
    let mut res = response_of_type(body, "text/event-stream", id);
    res.headers_mut()
        .insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    res
}

/// Forwards tokens until the end of the response. If the caller disconnects, the session is
/// dropped, which cancels the request at the upstream.
async fn forward_parts(format: ResponseFormat, mut session: Session, first: Part, tx: BodySender) {
    let caller_gone = tx.watcher();
    let mut next = Ok(first);
    loop {
        let sent = match next {
            // A caller that reads nothing for this long would occupy a slot of the engine.
            Ok(Part::Token(text)) => {
                let send = tx.send(format.chunk(&text, None));
                tokio::select! {
                    biased;
                    sent = tokio::time::timeout(session.send_timeout(), send) => {
                        sent.unwrap_or(Err(ReceiverClosed))
                    }
                    () = session.process_ended() => Err(ReceiverClosed),
                }
            }
            Ok(Part::End { count }) => {
                let mut last = format.chunk("", Some(count)).to_vec();
                last.extend_from_slice(b"data: [DONE]\n\n");
                // The send fails if the caller has disconnected, and then the end marker isn't
                // needed.
                let _ = tx.send(Bytes::from(last)).await;
                return tx.finish().await;
            }
            Ok(_) => Ok(()),
            Err(r) => {
                let mut event = b"data: ".to_vec();
                event.extend_from_slice(&refusal::json(session.id(), &r));
                event.extend_from_slice(b"\n\n");
                let _ = tx.send(Bytes::from(event)).await;
                // Ends without `[DONE]`, so that the caller can detect the incomplete response.
                return tx.finish().await;
            }
        };
        if sent.is_err() {
            return;
        }
        next = tokio::select! {
            next = session.next() => next,
            () = caller_gone.closed() => return,
        };
    }
}

fn response_of_type(body: Body, kind: &'static str, id: RequestId) -> Response<Body> {
    let mut res = Response::new(body);
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    set_request_id(&mut res, id);
    res
}
