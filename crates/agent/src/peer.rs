//! HTTP interface of the agent for entries and operator commands.

use crate::rates::Cost;
use crate::run;
use crate::state::Agent;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use net::server::read_body;
use net::{Body, empty, full, stream};
use std::sync::Arc;
use wire::{
    Call, DocText, PATH_DOC, PATH_NUDGE, PATH_PROBE, PATH_RUN, PATH_STATUS, Probe, ProbeAnswer,
    RequestContext, decode, encode, encode_compact,
};

/// Number of frames buffered for an entry before the upstream is slowed down.
const MAX_BUFFERED_FRAMES: usize = 64;
/// Maximum size of a message in addition to the body that it contains, in bytes.
const MAX_MESSAGE_OVERHEAD: usize = 64 << 10;

/// Handles a request from a peer.
pub async fn serve(agent: Arc<Agent>, req: Request<Incoming>) -> Response<Body> {
    let (head, body) = req.into_parts();
    let limits = &agent.node.settings.limits;
    let limit = limits.body + MAX_MESSAGE_OVERHEAD;
    let Ok(body) = read_body(body, limit, limits.read_timeout).await else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    match (head.method, head.uri.path()) {
        (Method::POST, PATH_PROBE) => probe(&agent, &body),
        (Method::POST, PATH_RUN) => start_attempt(agent, &body),
        (Method::POST, PATH_DOC) => receive_doc(&agent, &body),
        (Method::GET, PATH_DOC) => match agent.node.documents.text(&agent.service) {
            Some(text) => encoded_response(&text),
            None => status_response(StatusCode::NOT_FOUND),
        },
        (Method::GET, PATH_STATUS) => encoded_response(&agent.status()),
        (Method::POST, PATH_NUDGE) => {
            agent.node.nudge.notify_one();
            status_response(StatusCode::OK)
        }
        _ => status_response(StatusCode::NOT_FOUND),
    }
}

fn probe(agent: &Agent, body: &[u8]) -> Response<Body> {
    let Some(p) = decode::<Probe>(body) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    agent.node.documents.note_version(&p.service, p.doc_version);
    let probe_answer = ProbeAnswer {
        state: agent.state(),
        wait_ms: expected_first_byte_ms(agent, &p),
        load: agent.admission.load(),
        role: agent.upstream_state().role,
        doc_version: agent.node.documents.version(&agent.service),
    };
    Response::new(full(encode_compact(&probe_answer)))
}

/// Expected time until the first byte of the response to the probed request, in milliseconds.
fn expected_first_byte_ms(agent: &Agent, p: &Probe) -> u64 {
    let Some(doc) = agent.doc() else { return 0 };
    let Some(id) = doc.doc.class_by_name(&p.class) else {
        return 0;
    };
    let class = doc.doc.class(id);
    let cost: Cost = if doc.doc.is_engine() {
        let cached_bytes = agent
            .prefixes
            .cached_len(&p.prefixes)
            .min(p.prompt_len as usize);
        agent
            .rates
            .completion_cost(p.prompt_len as usize - cached_bytes, 0)
    } else {
        agent.rates.plain_cost(&class.name)
    };
    (agent.admission.expected_wait_ms(class) + cost.first_byte_ms) as u64
}

fn start_attempt(agent: Arc<Agent>, body: &[u8]) -> Response<Body> {
    let Some((cx, call)) = decode::<(RequestContext, Call)>(body) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    let (tx, response) = stream(MAX_BUFFERED_FRAMES);
    tokio::spawn(run::serve(agent, cx, call, tx));
    Response::new(response)
}

fn receive_doc(agent: &Agent, body: &[u8]) -> Response<Body> {
    let Some(text) = decode::<DocText>(body) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    agent.node.documents.offer(&text);
    status_response(StatusCode::OK)
}

fn encoded_response<T: serde::Serialize>(msg: &T) -> Response<Body> {
    Response::new(full(Bytes::from(encode(msg))))
}

fn status_response(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = code;
    response
}
