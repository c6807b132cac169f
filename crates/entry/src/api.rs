//! HTTP interface for callers.
//!
//! The first path segment is the name of the service. For a service with engines the rest is a path
//! of the completion API; for a plain service it is sent to the upstream unchanged. Headers contain
//! the tenant, the class, the deadline and the idempotency key.

use crate::accounting::{self, EndedRequest};
use crate::completion::{self, Endpoint};
use crate::plain;
use crate::refusal;
use crate::session::{RoutedRequest, Session};
use crate::state::Entry;
use conf::yaml::is_name;
use conf::{Class, Doc};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, Version};
use net::Body;
use net::server::{BodyError, read_body};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::{Call, Outcome, PlainCall, Reason, Refusal, RequestId};

/// Header with the name of the tenant.
const TENANT_HEADER: &str = "x-tenant";
/// Header with the name of the class.
const CLASS_HEADER: &str = "x-class";
/// Header with the deadline in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Tenant of requests without a tenant header.
const DEFAULT_TENANT: &str = "anonymous";
/// Class recorded for requests whose class is unknown.
const UNKNOWN_CLASS: &str = "-";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Maximum deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Maximum wait of a request for the first document of its service.
const FIRST_DOC_WAIT: Duration = Duration::from_secs(2);

/// Handles a request of a caller. While the process is stopping, HTTP/1 connections are closed
/// after the response: a request sent on them just as the server stops would get no response.
pub async fn serve(entry: Arc<Entry>, req: Request<Incoming>) -> Response<Body> {
    let is_http1 = req.version() < Version::HTTP_2;
    let mut res = answer(entry.clone(), req).await;
    if is_http1 && entry.node.stop_deadline().is_some() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    res
}

async fn answer(entry: Arc<Entry>, req: Request<Incoming>) -> Response<Body> {
    let received_at = Instant::now();
    let id = RequestId(fastrand::u128(..));
    let running = entry.node.begin_request();
    let (head, body) = req.into_parts();
    let prepared = tokio::select! {
        biased;
        prepared = prepare(&entry, &head, body, id) => prepared,
        () = entry.node.drain_ended() => Err(Reason::ProcessEnds),
    };
    match prepared {
        Ok((req, mode)) => {
            let session = Session::new(entry, req, received_at, running);
            match mode {
                ResponseMode::Full(endpoint) => completion::serve_full(endpoint, session).await,
                ResponseMode::Stream(endpoint) => completion::serve_stream(endpoint, session).await,
                ResponseMode::Plain => plain::serve(session).await,
            }
        }
        Err(reason) => {
            record_refused(&entry, &head, id, reason, received_at);
            refusal::response(id, &Refusal::not_run(reason))
        }
    }
}

/// Records a request that was refused before it was sent to any agent. Requests for unknown
/// services are not recorded.
fn record_refused(
    entry: &Entry,
    head: &Parts,
    id: RequestId,
    reason: Reason,
    received_at: Instant,
) {
    let Ok((service, path)) = split_path(head) else {
        return;
    };
    if !entry.node.documents.serves(service) {
        return;
    }
    let doc = entry.node.documents.get(service);
    let class = doc
        .as_ref()
        .and_then(|d| select_class(&d.doc, head, path).ok());
    let tenant = parse_tenant(head).unwrap_or_else(|_| DEFAULT_TENANT.to_owned());
    accounting::record(
        entry,
        &EndedRequest {
            id,
            service,
            tenant: &tenant,
            class: class.map_or(UNKNOWN_CLASS, |c| c.name.as_str()),
            outcome: Outcome::NotRun,
            reason: Some(reason),
            upstream: None,
            attempts: 0,
            queue_ms: 0,
            first_byte: None,
            received_at,
            deadline: class.map_or(Duration::ZERO, |c| c.deadline),
            count: 0,
        },
    );
}

/// How the response is sent.
enum ResponseMode {
    Full(Endpoint),
    Stream(Endpoint),
    Plain,
}

async fn prepare(
    entry: &Arc<Entry>,
    head: &Parts,
    body: Incoming,
    id: RequestId,
) -> Result<(RoutedRequest, ResponseMode), Reason> {
    let (service, path) = split_path(head)?;
    let documents = &entry.node.documents;
    if !documents.serves(service) {
        return Err(Reason::UnknownService);
    }
    // After the start of the process, requests wait until it has a document.
    if !documents.wait_for_version(service, 1, FIRST_DOC_WAIT).await {
        return Err(Reason::NotReady);
    }
    let doc = documents.get(service).ok_or(Reason::NotReady)?;
    let class = select_class(&doc.doc, head, path)?.clone();
    let limits = &entry.node.settings.limits;
    let body = read_body(body, limits.body, limits.read_timeout)
        .await
        .map_err(|e| match e {
            BodyError::TooLarge => Reason::TooLarge,
            BodyError::Slow => Reason::SlowRequest,
            BodyError::Broken => Reason::CallerGone,
            BodyError::NoMemory => Reason::QueueFull,
        })?;
    let (call, mode) = if doc.doc.is_engine() {
        let endpoint = parse_endpoint(head, path)?;
        let parsed = completion::parse(endpoint, &body).ok_or(Reason::BadRequest)?;
        let mode = if parsed.stream {
            ResponseMode::Stream(endpoint)
        } else {
            ResponseMode::Full(endpoint)
        };
        (Call::Completion(parsed.completion), mode)
    } else {
        (
            Call::Plain(plain_call(head, path, body.to_vec())?),
            ResponseMode::Plain,
        )
    };
    let tenant = parse_tenant(head)?;
    let deadline = parse_deadline(head)?.unwrap_or(class.deadline);
    Ok((
        RoutedRequest {
            id,
            tenant,
            doc,
            class,
            deadline,
            call,
        },
        mode,
    ))
}

/// Splits the path into the service name and the rest, which starts with a slash.
fn split_path(head: &Parts) -> Result<(&str, &str), Reason> {
    let path = head
        .uri
        .path()
        .strip_prefix('/')
        .ok_or(Reason::BadRequest)?;
    let at = path.find('/').ok_or(Reason::UnknownService)?;
    Ok(path.split_at(at))
}

fn parse_endpoint(head: &Parts, path: &str) -> Result<Endpoint, Reason> {
    if head.method != Method::POST {
        return Err(Reason::BadRequest);
    }
    match path {
        "/v1/completions" => Ok(Endpoint::Text),
        "/v1/chat/completions" => Ok(Endpoint::Chat),
        _ => Err(Reason::BadRequest),
    }
}

fn plain_call(head: &Parts, path: &str, body: Vec<u8>) -> Result<PlainCall, Reason> {
    let query = head
        .uri
        .query()
        .map(|q| format!("?{q}"))
        .unwrap_or_default();
    let content_type = header_text(head, CONTENT_TYPE.as_str())?.map(str::to_owned);
    let key = header_text(head, KEY_HEADER)?;
    let fits = |k: &str| {
        !k.is_empty() && k.len() <= MAX_KEY_BYTES && k.bytes().all(|b| b.is_ascii_graphic())
    };
    if key.is_some_and(|k| !fits(k)) {
        return Err(Reason::BadRequest);
    }
    Ok(PlainCall {
        method: head.method.to_string(),
        path: format!("{path}{query}"),
        content_type,
        body,
        key: key.map(str::to_owned),
    })
}

/// Returns a header as text, or an error if it isn't valid text.
fn header_text<'a>(head: &'a Parts, name: &str) -> Result<Option<&'a str>, Reason> {
    let Some(value) = head.headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| Reason::BadRequest)
}

/// Selects the class that owns the route of the call, else the one named by the caller, else the
/// first of the document. If a class owns the route, the caller can't name a different one: that
/// could turn a non-idempotent call into a repeatable one.
fn select_class<'a>(doc: &'a Doc, head: &Parts, path: &str) -> Result<&'a Class, Reason> {
    let named = match header_text(head, CLASS_HEADER)? {
        Some(name) => Some(doc.class_by_name(name).ok_or(Reason::UnknownClass)?),
        None => None,
    };
    let routed = doc.class_by_route(head.method.as_str(), path);
    match (routed, named) {
        (Some(routed), Some(named)) if routed != named => Err(Reason::UnknownClass),
        (Some(id), _) | (None, Some(id)) => Ok(doc.class(id)),
        (None, None) => doc.classes.first().ok_or(Reason::UnknownClass),
    }
}

fn parse_tenant(head: &Parts) -> Result<String, Reason> {
    match header_text(head, TENANT_HEADER)? {
        None => Ok(DEFAULT_TENANT.to_owned()),
        Some(name) if is_name(name) => Ok(name.to_owned()),
        Some(_) => Err(Reason::BadRequest),
    }
}

fn parse_deadline(head: &Parts) -> Result<Option<Duration>, Reason> {
    let Some(text) = header_text(head, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let ms = text.parse().map_err(|_| Reason::BadRequest)?;
    let deadline = Duration::from_millis(ms);
    if deadline.is_zero() || deadline > MAX_DEADLINE {
        return Err(Reason::BadRequest);
    }
    Ok(Some(deadline))
}
