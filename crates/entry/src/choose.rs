//! The choice of an upstream, from fresh answers of a few agents.
//!
//! Candidates are those that rendezvous hashing gives the prompt's
//! beginning, where its KV cache likely is, and random ones, nearer
//! availability zones first. Each is asked how long the answer's first byte
//! would take; the soonest wins.

use crate::docs::even_out;
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
const BY_AFFINITY: usize = 1;
/// Prompts with at most so many prefixes (under 2 KiB) have affinity for none.
const SHORT_PREFIXES: usize = 3;
/// Candidates sampled at random.
const SAMPLED: usize = 2;
/// Upstreams of a service that an entry samples from.
const SUBSET: usize = 16;
/// Candidates of the second round, if none of the first takes work.
const SECOND_ROUND: usize = 8;
/// What another availability zone costs, in milliseconds. Zones are about a
/// millisecond apart one way.
const ZONE_MS: u64 = 3;
/// How long the others are waited for once a candidate that takes work has answered.
const GRACE: Duration = Duration::from_millis(4);
/// What a full upstream costs over an idle one, in milliseconds: requests that
/// run side by side slow each other even while there are free slots.
const FULL_MS: u64 = 20;
/// Largest answer to a probe.
const MAX_ANSWER: usize = 4096;

/// An upstream that was chosen.
#[derive(Debug, Clone)]
pub struct Chosen {
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
) -> Option<Chosen> {
    let mut left: Vec<UpstreamId> = doc.upstream_ids().collect();
    let leaving = &entry.node.leaving;
    left.retain(|id| {
        let u = doc.upstream(*id);
        !tried.contains(&u.name) && !leaving.contains(&u.host)
    });
    // A short prompt is read as fast anywhere, and needs no affinity.
    let has_affinity = probe.prefixes.len() > SHORT_PREFIXES;
    let key = probe.prefixes.first().copied().filter(|_| has_affinity);
    let first = candidates(entry, doc, &mut left, key);
    if let Some(chosen) = ask(entry, doc, probe, first).await {
        return Some(chosen);
    }
    fastrand::shuffle(&mut left);
    left.truncate(SECOND_ROUND);
    ask(entry, doc, probe, left).await
}

/// Takes the candidates of the first round out of `left`.
///
/// The one by affinity may be any upstream: all entries must agree on it. The sampled
/// ones come from this entry's subset, so that at any size an entry keeps few
/// connections warm and no mesh grows between all entries and all agents.
fn candidates(
    entry: &Entry,
    doc: &Doc,
    left: &mut Vec<UpstreamId>,
    key: Option<u64>,
) -> Vec<UpstreamId> {
    let mut out = Vec::new();
    if let Some(key) = key {
        left.sort_unstable_by_key(|id| prefix::rank(key, &doc.upstream(*id).name));
        out.extend(left.split_off(left.len().saturating_sub(BY_AFFINITY)));
    }
    let own = &entry.node.settings;
    let seed = prefix::rank(0, &own.name);
    left.sort_unstable_by_key(|id| {
        let u = doc.upstream(*id);
        (u.zone == own.zone, prefix::rank(seed, &u.name))
    });
    // Nearer zones stand last. One of the sampled may be from anywhere in the
    // subset, so that a busy zone isn't a trap.
    let near = left
        .iter()
        .filter(|id| doc.upstream(**id).zone == own.zone)
        .count();
    for sampled in 0..SAMPLED.min(left.len()) {
        let from = if sampled == 0 {
            near.clamp(1, SUBSET / 2)
        } else {
            SUBSET
        };
        let first = left.len().saturating_sub(from);
        out.push(left.remove(fastrand::usize(first..left.len())));
    }
    out
}

/// Answer of one candidate.
struct Asked {
    id: UpstreamId,
    answer: ProbeAnswer,
}

async fn ask(entry: &Arc<Entry>, doc: &Doc, probe: &Probe, ids: Vec<UpstreamId>) -> Option<Chosen> {
    let now = Instant::now();
    let body = wire::encode_compact(probe);
    let (tx, mut rx) = mpsc::channel(ids.len().max(1));
    for id in ids {
        let addr = doc.upstream(id).agent;
        if !entry.health.is_suspended(addr, now) {
            tokio::spawn(ask_one(entry.clone(), id, addr, body.clone(), tx.clone()));
        }
    }
    drop(tx);
    let mut best: Option<(u64, Asked)> = None;
    let mut until = now + entry.node.settings.limits.probe_timeout;
    // Ends when all have answered or failed, or the time is up.
    while let Ok(Some(asked)) = tokio::time::timeout_at(until.into(), rx.recv()).await {
        entry
            .node
            .documents
            .heard(&probe.service, asked.answer.doc_version);
        if asked.answer.state != AgentState::Ready {
            continue;
        }
        // The others get a little longer: a slow one must not hold back a request.
        until = until.min(Instant::now() + GRACE);
        let far = doc.upstream(asked.id).zone != entry.node.settings.zone;
        let score = asked.answer.wait_ms
            + u64::from(far) * ZONE_MS
            + u64::from(asked.answer.load) * FULL_MS / 1000;
        if best.as_ref().is_none_or(|(s, _)| score < *s) {
            best = Some((score, asked));
        }
    }
    let (_, Asked { id, answer }) = best?;
    let u = doc.upstream(id);
    let link = entry.peers.get(u.agent);
    even_out(entry, &link.control, &probe.service, answer.doc_version).await;
    Some(Chosen {
        name: u.name.clone(),
        peer: link.data,
    })
}

/// Asks one agent, to the end even if the choice is made before, so that a
/// failing agent is noticed.
async fn ask_one(
    entry: Arc<Entry>,
    id: UpstreamId,
    addr: SocketAddr,
    body: Vec<u8>,
    tx: mpsc::Sender<Asked>,
) {
    let timeout = entry.node.settings.limits.probe_timeout;
    let peer = entry.peers.get(addr).control;
    let call = peer
        .call(Method::POST, PATH_PROBE, body, MAX_ANSWER, timeout)
        .await;
    match call
        .ok()
        .and_then(|(_, body)| wire::decode::<ProbeAnswer>(&body))
    {
        Some(answer) => {
            entry.health.succeeded(addr);
            // The choice may have been made already.
            let _ = tx.send(Asked { id, answer }).await;
        }
        None => entry.health.failed(addr, Instant::now()),
    }
}
