//! Documents in force in this process.
//!
//! Versions are assigned by the table service and only increase here. A document's text may come
//! from the table service or from a peer, since the text of a version never changes.

use conf::Doc;
use std::sync::{Arc, RwLock};
use std::time::Duration;
use tokio::sync::watch;
use wire::DocText;

/// A document in force.
#[derive(Debug, Clone, PartialEq)]
pub struct InForce {
    /// Version assigned by the table service.
    pub version: u64,
    /// The parsed document.
    pub doc: Arc<Doc>,
    /// Text of the document, for peers.
    pub text: Arc<str>,
}

/// Result of offering a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// It has come into force.
    Accepted,
    /// It isn't newer than the document in force.
    NotNewer,
    /// It isn't a valid document of a service that this process serves.
    Invalid,
}

/// The documents in force, sorted by service.
#[derive(Debug)]
pub struct Documents {
    entries: RwLock<Vec<ServiceDoc>>,
    changed: watch::Sender<u64>,
}

#[derive(Debug)]
struct ServiceDoc {
    service: String,
    in_force: Option<InForce>,
    known_version: u64,
}

impl Documents {
    /// Creates the documents of some services, with none in force.
    pub fn new(services: &[String]) -> Self {
        let mut names = services.to_vec();
        names.sort_unstable();
        names.dedup();
        let entry = |service| ServiceDoc {
            service,
            in_force: None,
            known_version: 0,
        };
        Self {
            entries: RwLock::new(names.into_iter().map(entry).collect()),
            changed: watch::Sender::new(0),
        }
    }

    fn with_entry<T>(&self, service: &str, f: impl FnOnce(&ServiceDoc) -> T) -> Option<T> {
        let entries = self.entries.read().expect("no panic while locked");
        let at = entries
            .binary_search_by(|s| s.service.as_str().cmp(service))
            .ok()?;
        Some(f(&entries[at]))
    }

    /// Names of the services.
    pub fn services(&self) -> Vec<String> {
        let entries = self.entries.read().expect("no panic while locked");
        entries.iter().map(|s| s.service.clone()).collect()
    }

    /// Whether this process serves a service.
    pub fn serves(&self, service: &str) -> bool {
        self.with_entry(service, |_| ()).is_some()
    }

    /// The document in force for a service.
    pub fn get(&self, service: &str) -> Option<InForce> {
        self.with_entry(service, |s| s.in_force.clone())?
    }

    /// The version in force, 0 if there is none.
    pub fn version(&self, service: &str) -> u64 {
        self.with_entry(service, |s| s.in_force.as_ref().map_or(0, |d| d.version))
            .unwrap_or(0)
    }

    /// The highest version known from peers, if it is newer than the one in force.
    pub fn newer_version(&self, service: &str) -> Option<u64> {
        self.with_entry(service, |s| {
            let in_force = s.in_force.as_ref().map_or(0, |d| d.version);
            (s.known_version > in_force).then_some(s.known_version)
        })?
    }

    /// Records a version that a peer has mentioned.
    pub fn note_version(&self, service: &str, version: u64) {
        if self
            .with_entry(service, |s| s.known_version >= version)
            .unwrap_or(true)
        {
            return;
        }
        let mut entries = self.entries.write().expect("no panic while locked");
        let Ok(at) = entries.binary_search_by(|s| s.service.as_str().cmp(service)) else {
            return;
        };
        entries[at].known_version = entries[at].known_version.max(version);
        drop(entries);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Offers a document, which comes into force if it is valid and newer.
    pub fn offer(&self, text: &DocText) -> OfferResult {
        if text.version <= self.version(&text.service) {
            return OfferResult::NotNewer;
        }
        let Ok(doc) = Doc::parse(&text.text) else {
            return OfferResult::Invalid;
        };
        if doc.service != text.service {
            return OfferResult::Invalid;
        }
        let mut entries = self.entries.write().expect("no panic while locked");
        let Ok(at) = entries.binary_search_by(|s| s.service.as_str().cmp(&text.service)) else {
            return OfferResult::Invalid;
        };
        let entry = &mut entries[at];
        // Checked again under the write lock, because of concurrent offers.
        if entry
            .in_force
            .as_ref()
            .is_some_and(|d| d.version >= text.version)
        {
            return OfferResult::NotNewer;
        }
        let text_arc = Arc::from(text.text.as_str());
        entry.in_force = Some(InForce {
            version: text.version,
            doc: Arc::new(doc),
            text: text_arc,
        });
        entry.known_version = entry.known_version.max(text.version);
        drop(entries);
        self.changed.send_modify(|n| *n += 1);
        OfferResult::Accepted
    }

    /// Waits until at least `version` is in force. Returns `false` if that takes longer than
    /// `timeout`.
    pub async fn wait_for_version(&self, service: &str, version: u64, timeout: Duration) -> bool {
        let mut changed = self.subscribe();
        let wait = async {
            while self.version(service) < version {
                // Can't fail, since `self` owns the sender.
                let _ = changed.changed().await;
            }
        };
        tokio::time::timeout(timeout, wait).await.is_ok()
    }

    /// Returns a receiver that is notified when a document comes into force or a peer has mentioned
    /// a newer version.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns the document in force as a message for peers.
    pub fn text(&self, service: &str) -> Option<DocText> {
        let d = self.get(service)?;
        Some(DocText {
            service: service.to_owned(),
            version: d.version,
            text: d.text.to_string(),
        })
    }
}
