//! Exchanges documents with agents: the side with the older version gets the newer one from the
//! other, so that few processes have to read it from the table service.

use crate::state::Entry;
use hyper::Method;
use net::Peer;
use observe::{Event, emit};
use store::docs::OfferResult;
use wire::{DocText, PATH_DOC};

/// Maximum size of a document message, in bytes.
const MAX_DOC_MESSAGE: usize = conf::yaml::MAX_FILE_BYTES + 4096;

/// Fetches or sends the document if the version of the agent differs from that of this entry.
pub async fn sync_document(entry: &Entry, peer: &Peer, service: &str, agent_version: u64) {
    let documents = &entry.node.documents;
    let own_version = documents.version(service);
    if agent_version > own_version {
        documents.note_version(service, agent_version);
        fetch(entry, peer, service).await;
    } else if agent_version < own_version {
        push(entry, peer, service).await;
    }
}

async fn fetch(entry: &Entry, peer: &Peer, service: &str) {
    let timeout = entry.node.settings.limits.probe_timeout;
    let got = peer
        .call(Method::GET, PATH_DOC, Vec::new(), MAX_DOC_MESSAGE, timeout)
        .await;
    // After a failure, the next poll of the table service gets the document.
    let Ok((status, body)) = got else { return };
    let Some(text) = status
        .is_success()
        .then(|| wire::decode::<DocText>(&body))
        .flatten()
    else {
        return;
    };
    if text.service == service && entry.node.documents.offer(&text) == OfferResult::Accepted {
        emit(&Event::DocInForce {
            service,
            version: text.version,
        });
    }
}

async fn push(entry: &Entry, peer: &Peer, service: &str) {
    let Some(text) = entry.node.documents.text(service) else {
        return;
    };
    let timeout = entry.node.settings.limits.probe_timeout;
    // After a failure, the agent refuses the request as not run, which is safe.
    let _ = peer
        .call(
            Method::POST,
            PATH_DOC,
            wire::encode(&text),
            MAX_DOC_MESSAGE,
            timeout,
        )
        .await;
}
