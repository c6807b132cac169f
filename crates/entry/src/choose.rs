//! The choice of an upstream, from fresh answers of a few agents.
//!
//! Candidates are those that rendezvous hashing gives the prompt's
//! beginning, where its KV cache likely is, and random ones, nearer
//! availability zones first. Each is asked how long the answer's first byte
//! would take; the soonest wins.

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

/// Candidates that have affinity for the prompt's beginning.
const AFFINITY_CANDIDATES: usize = 1;
/// Prompts with at most so many prefixes (under 2 KiB) have affinity for none.
const SHORT_PROMPT_PREFIXES: usize = 3;
/// Candidates sampled at random.
const RANDOM_CANDIDATES: usize = 2;
/// Upstreams of a service that an entry samples from.
const SUBSET_SIZE: usize = 16;
/// Candidates of the second round, if none of the first takes work.
const SECOND_ROUND_CANDIDATES: usize = 8;
/// What another availability zone costs, in milliseconds. Zones are about a
/// millisecond apart one way.
const OTHER_ZONE_COST_MS: u64 = 3;
/// How long the others are waited for once a candidate that takes work has answered.
const PROBE_GRACE: Duration = Duration::from_millis(4);
/// What a full upstream costs over an idle one, in milliseconds: requests that
/// run side by side slow each other even while there are free slots.
const FULL_LOAD_COST_MS: u64 = 20;
/// Largest answer to a probe.
const MAX_PROBE_ANSWER: usize = 4096;

/// An upstream that was chosen.
#[derive(Debug, Clone)]
pub struct ChosenUpstream {
    /// The upstream's name.
    pub name: String,
    /// The connection for requests to its agent.
    pub peer: Peer,
}

/// Chooses an upstream; none if no agent that was asked takes work. Upstreams
/// that were tried before are left out.
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
    // A short prompt is read as fast anywhere, and needs no affinity.
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

/// Takes the candidates of the first round out of `left`.
///
/// The one by affinity may be any upstream: all entries must agree on it. The sampled
/// ones come from this entry's subset, so that at any size an entry keeps few
/// connections warm and no mesh grows between all entries and all agents.
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
    // Nearer zones stand last. One of the sampled may be from anywhere in the
    // subset, so that a busy zone isn't a trap.
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

/// Answer of one candidate.
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
    // Ends when all have answered or failed, or the time is up.
    while let Ok(Some(result)) = tokio::time::timeout_at(until.into(), rx.recv()).await {
        entry
            .node
            .documents
            .heard(&probe.service, result.answer.doc_version);
        if result.answer.state != AgentState::Ready {
            continue;
        }
        // The others get a little longer: a slow one must not hold back a request.
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

/// Asks one agent, to the end even if the choice is made before, so that a
/// failing agent is noticed.
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
            // The choice may have been made already.
            let _ = tx.send(ProbeResult { id, answer }).await;
        }
        None => entry.health.failed(addr, Instant::now()),
    }
}
