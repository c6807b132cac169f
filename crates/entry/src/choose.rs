//! Selects an upstream by probing a few agents.
//!
//! The candidates are the upstream that rendezvous hashing assigns to the start of the prompt,
//! which probably has it in its KV cache, and random ones, preferably in the same availability
//! zone. Each candidate reports the expected time to the first byte, and the one with the lowest is
//! selected.

use crate::docs::sync_document;
use crate::state::Entry;
use conf::{Doc, UpstreamId};
use hyper::Method;
use net::Peer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use wire::{AgentState, PATH_PROBE, Probe, ProbeAnswer, prefix};

/// Number of candidates selected by prefix affinity.
const AFFINITY_CANDIDATES: usize = 1;
/// Maximum number of prefixes of a prompt that is routed without affinity (under 2 KiB).
const SHORT_PROMPT_PREFIXES: usize = 3;
/// Number of candidates selected at random.
const RANDOM_CANDIDATES: usize = 2;
/// Number of upstreams of a service from which an entry selects random candidates.
const SUBSET_SIZE: usize = 16;
/// Number of candidates in the second round, if none of the first round accepts requests.
const SECOND_ROUND_CANDIDATES: usize = 8;
/// Added cost of an upstream in another availability zone, in milliseconds. The latency between
/// zones is about a millisecond each way.
const OTHER_ZONE_COST_MS: u64 = 3;
/// How long to wait for the remaining probes once a candidate has accepted.
const PROBE_GRACE: Duration = Duration::from_millis(4);
/// Added cost of a fully loaded upstream compared to an idle one, in milliseconds: concurrent
/// requests slow each other down even while slots are free.
const FULL_LOAD_COST_MS: u64 = 20;
/// Maximum size of a probe response, in bytes.
const MAX_PROBE_ANSWER: usize = 4096;

/// The selected upstream.
#[derive(Debug, Clone)]
pub struct ChosenUpstream {
    /// Name of the upstream.
    pub name: String,
    /// Connection for requests to its agent.
    pub peer: Peer,
}

/// Selects an upstream, excluding those in `tried`. Returns `None` if no probed agent accepts
/// requests.
pub async fn choose(
    entry: &Arc<Entry>,
    doc: &Doc,
    probe: &Probe,
    tried: &[String],
) -> Option<ChosenUpstream> {
    let mut remaining: Vec<UpstreamId> = doc.upstream_ids().collect();
    let leaving = &entry.node.leaving;
    remaining.retain(|id| {
        let u = doc.upstream(*id);
        !tried.contains(&u.name) && !leaving.contains(&u.host)
    });
    // For a short prompt, prefill takes about the same time everywhere, so affinity isn't needed.
    let has_affinity = probe.prefixes.len() > SHORT_PROMPT_PREFIXES;
    let key = probe.prefixes.first().copied().filter(|_| has_affinity);
    let first = take_candidates(entry, doc, &mut remaining, key);
    if let Some(chosen) = probe_all(entry, doc, probe, first).await {
        return Some(chosen);
    }
    fastrand::shuffle(&mut remaining);
    remaining.truncate(SECOND_ROUND_CANDIDATES);
    probe_all(entry, doc, probe, remaining).await
}

/// Removes the candidates of the first round from `remaining`.
///
/// The candidate by affinity may be any upstream, as all entries must select the same one. The
/// random candidates come from the subset of this entry, so that the number of connections per
/// entry stays small in a fleet of any size.
fn take_candidates(
    entry: &Entry,
    doc: &Doc,
    remaining: &mut Vec<UpstreamId>,
    key: Option<u64>,
) -> Vec<UpstreamId> {
    let mut out = Vec::new();
    if let Some(key) = key {
        remaining.sort_unstable_by_key(|id| prefix::rank(key, &doc.upstream(*id).name));
        out.extend(remaining.split_off(remaining.len().saturating_sub(AFFINITY_CANDIDATES)));
    }
    let settings = &entry.node.settings;
    let seed = prefix::rank(0, &settings.name);
    remaining.sort_unstable_by_key(|id| {
        let u = doc.upstream(*id);
        (u.zone == settings.zone, prefix::rank(seed, &u.name))
    });
    // Upstreams of the same zone are at the end. One of the random candidates may come from any
    // zone of the subset, so that requests can leave a zone that is overloaded.
    let near = remaining
        .iter()
        .filter(|id| doc.upstream(**id).zone == settings.zone)
        .count();
    for sampled in 0..RANDOM_CANDIDATES.min(remaining.len()) {
        let from = if sampled == 0 {
            near.clamp(1, SUBSET_SIZE / 2)
        } else {
            SUBSET_SIZE
        };
        let first = remaining.len().saturating_sub(from);
        out.push(remaining.remove(fastrand::usize(first..remaining.len())));
    }
    out
}

/// Response of one candidate.
struct ProbeResult {
    id: UpstreamId,
    answer: ProbeAnswer,
}

async fn probe_all(
    entry: &Arc<Entry>,
    doc: &Doc,
    probe: &Probe,
    ids: Vec<UpstreamId>,
) -> Option<ChosenUpstream> {
    let now = Instant::now();
    let body = wire::encode_compact(probe);
    let (tx, mut rx) = mpsc::channel(ids.len().max(1));
    for id in ids {
        let addr = doc.upstream(id).agent;
        if !entry.health.is_suspended(addr, now) {
            tokio::spawn(probe_one(entry.clone(), id, addr, body.clone(), tx.clone()));
        }
    }
    drop(tx);
    let mut best: Option<(u64, ProbeResult)> = None;
    let mut until = now + entry.node.settings.limits.probe_timeout;
    // Ends when all candidates have answered or failed, or after the timeout.
    while let Ok(Some(result)) = tokio::time::timeout_at(until.into(), rx.recv()).await {
        entry
            .node
            .documents
            .note_version(&probe.service, result.answer.doc_version);
        if result.answer.state != AgentState::Ready {
            continue;
        }
        // The remaining candidates get a short extension, so that a slow one doesn't delay the
        // request.
        until = until.min(Instant::now() + PROBE_GRACE);
        let is_other_zone = doc.upstream(result.id).zone != entry.node.settings.zone;
        let score = result.answer.wait_ms
            + u64::from(is_other_zone) * OTHER_ZONE_COST_MS
            + u64::from(result.answer.load) * FULL_LOAD_COST_MS / 1000;
        if best.as_ref().is_none_or(|(s, _)| score < *s) {
            best = Some((score, result));
        }
    }
    let (_, ProbeResult { id, answer }) = best?;
    let u = doc.upstream(id);
    let connections = entry.peers.get(u.agent);
    sync_document(
        entry,
        &connections.control,
        &probe.service,
        answer.doc_version,
    )
    .await;
    Some(ChosenUpstream {
        name: u.name.clone(),
        peer: connections.data,
    })
}

/// Probes one agent. The probe continues after a candidate was selected, so that failing agents are
/// detected.
async fn probe_one(
    entry: Arc<Entry>,
    id: UpstreamId,
    addr: SocketAddr,
    body: Vec<u8>,
    tx: mpsc::Sender<ProbeResult>,
) {
    let timeout = entry.node.settings.limits.probe_timeout;
    let peer = entry.peers.get(addr).control;
    let call = peer
        .call(Method::POST, PATH_PROBE, body, MAX_PROBE_ANSWER, timeout)
        .await;
    match call
        .ok()
        .and_then(|(_, body)| wire::decode::<ProbeAnswer>(&body))
    {
        Some(answer) => {
            entry.health.succeeded(addr);
            // The send fails if a candidate was already selected.
            let _ = tx.send(ProbeResult { id, answer }).await;
        }
        None => entry.health.failed(addr, Instant::now()),
    }
}
