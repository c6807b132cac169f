//! The callers' interface.
//!
//! The first part of the path names the service. Of a service with engines the
//! rest is the common completion API; of a plain service it goes upstream as it
//! is. Headers name the tenant, the class, the deadline and the key.

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
use net::server::{BodyFault, read_body};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wire::{Call, Outcome, PlainCall, Reason, Refusal, RequestId};

/// Header with the tenant's name.
const TENANT_HEADER: &str = "x-tenant";
/// Header with the class's name.
const CLASS_HEADER: &str = "x-class";
/// Header with the deadline in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the caller's key.
const KEY_HEADER: &str = "idempotency-key";
/// Tenant of a request that names none.
const DEFAULT_TENANT: &str = "anonymous";
/// Class in records of a request whose class isn't known.
const UNKNOWN_CLASS: &str = "-";
/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Longest wait of a request for the service's first document.
const FIRST_DOC_WAIT: Duration = Duration::from_secs(2);

/// Answers a caller. While the process stops its connection ends with the answer: a
/// request that is on its way just as the server ends would get none.
pub async fn serve(entry: Arc<Entry>, req: Request<Incoming>) -> Response<Body> {
    let is_http1 = req.version() < Version::HTTP_2;
    let mut res = answer(entry.clone(), req).await;
    if is_http1 && entry.node.ends().is_some() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    res
}

async fn answer(entry: Arc<Entry>, req: Request<Incoming>) -> Response<Body> {
    let received_at = Instant::now();
    let id = RequestId(fastrand::u128(..));
    let running = entry.node.begin();
    let (head, body) = req.into_parts();
    let prepared = tokio::select! {
        biased;
        prepared = prepare(&entry, &head, body, id) => prepared,
        () = entry.node.ended() => Err(Reason::ProcessEnds),
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

/// Notes a request that was refused before it was anywhere on its way. One that
/// names no service of ours is in nobody's report.
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
    if !entry.node.documents.knows(service) {
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

/// How a request is answered.
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
    if !documents.knows(service) {
        return Err(Reason::UnknownService);
    }
    // A process that just started serves only once it has a document.
    if !documents.reach(service, 1, FIRST_DOC_WAIT).await {
        return Err(Reason::NotReady);
    }
    let doc = documents.get(service).ok_or(Reason::NotReady)?;
    let class = select_class(&doc.doc, head, path)?.clone();
    let limits = &entry.node.settings.limits;
    let body = read_body(body, limits.body, limits.read_timeout)
        .await
        .map_err(|e| match e {
            BodyFault::TooLarge => Reason::TooLarge,
            BodyFault::Slow => Reason::SlowRequest,
            BodyFault::Broken => Reason::CallerGone,
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

/// Splits the path into the service and what follows, with its slash.
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

/// A header as text; an error if it isn't text.
fn header_text<'a>(head: &'a Parts, name: &str) -> Result<Option<&'a str>, Reason> {
    let Some(value) = head.headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| Reason::BadRequest)
}

/// The class: the one that owns the call's route, else the one that the caller
/// names, else the document's first. A caller can't name another class for a
/// call that has an owner: it might make a non-idempotent call repeatable.
fn select_class<'a>(doc: &'a Doc, head: &Parts, path: &str) -> Result<&'a Class, Reason> {
    let named = match header_text(head, CLASS_HEADER)? {
        Some(name) => Some(doc.class_named(name).ok_or(Reason::UnknownClass)?),
        None => None,
    };
    let routed = doc.class_routed(head.method.as_str(), path);
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
