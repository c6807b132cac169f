//! Documents in force in this process.
//!
//! Versions come from the table service and only rise here. A text comes from
//! the table service or from a peer; the same version always is the same text.

use conf::Doc;
use std::sync::{Arc, RwLock};
use std::time::Duration;
use tokio::sync::watch;
use wire::DocText;

/// A document in force.
#[derive(Debug, Clone, PartialEq)]
pub struct InForce {
    /// The version that the table service gave it.
    pub version: u64,
    /// The document.
    pub doc: Arc<Doc>,
    /// Its text, for peers.
    pub text: Arc<str>,
}

/// What came of offering a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offered {
    /// It is in force now.
    Taken,
    /// It isn't newer than the one in force.
    NotNewer,
    /// It isn't a valid document of a service that this process serves.
    Invalid,
}

/// The documents in force, sorted by service.
#[derive(Debug)]
pub struct Documents {
    slots: RwLock<Vec<Slot>>,
    changed: watch::Sender<u64>,
}

#[derive(Debug)]
struct Slot {
    service: String,
    in_force: Option<InForce>,
    wanted: u64,
}

impl Documents {
    /// Documents of some services, with nothing in force yet.
    pub fn new(services: &[String]) -> Self {
        let mut names = services.to_vec();
        names.sort_unstable();
        names.dedup();
        let slot = |service| Slot {
            service,
            in_force: None,
            wanted: 0,
        };
        Self {
            slots: RwLock::new(names.into_iter().map(slot).collect()),
            changed: watch::Sender::new(0),
        }
    }

    fn with<T>(&self, service: &str, f: impl FnOnce(&Slot) -> T) -> Option<T> {
        let slots = self.slots.read().expect("no panic while locked");
        let at = slots
            .binary_search_by(|s| s.service.as_str().cmp(service))
            .ok()?;
        Some(f(&slots[at]))
    }

    /// The services of these documents.
    pub fn services(&self) -> Vec<String> {
        let slots = self.slots.read().expect("no panic while locked");
        slots.iter().map(|s| s.service.clone()).collect()
    }

    /// Whether this process serves a service.
    pub fn knows(&self, service: &str) -> bool {
        self.with(service, |_| ()).is_some()
    }

    /// The document in force for a service.
    pub fn get(&self, service: &str) -> Option<InForce> {
        self.with(service, |s| s.in_force.clone())?
    }

    /// The version in force, 0 if there is none.
    pub fn version(&self, service: &str) -> u64 {
        self.with(service, |s| s.in_force.as_ref().map_or(0, |d| d.version))
            .unwrap_or(0)
    }

    /// The highest version that a peer has spoken of, if it is above the one in force.
    pub fn behind(&self, service: &str) -> Option<u64> {
        self.with(service, |s| {
            let have = s.in_force.as_ref().map_or(0, |d| d.version);
            (s.wanted > have).then_some(s.wanted)
        })?
    }

    /// Notes a version that a peer spoke of.
    pub fn heard(&self, service: &str, version: u64) {
        if self.with(service, |s| s.wanted >= version).unwrap_or(true) {
            return;
        }
        let mut slots = self.slots.write().expect("no panic while locked");
        let Ok(at) = slots.binary_search_by(|s| s.service.as_str().cmp(service)) else {
            return;
        };
        slots[at].wanted = slots[at].wanted.max(version);
        drop(slots);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Offers a document; it is taken only if it is valid and newer.
    pub fn offer(&self, text: &DocText) -> Offered {
        if text.version <= self.version(&text.service) {
            return Offered::NotNewer;
        }
        let Ok(doc) = Doc::parse(&text.text) else {
            return Offered::Invalid;
        };
        if doc.service != text.service {
            return Offered::Invalid;
        }
        let mut slots = self.slots.write().expect("no panic while locked");
        let Ok(at) = slots.binary_search_by(|s| s.service.as_str().cmp(&text.service)) else {
            return Offered::Invalid;
        };
        let slot = &mut slots[at];
        // Looked at again under the lock: two offers may race.
        if slot
            .in_force
            .as_ref()
            .is_some_and(|d| d.version >= text.version)
        {
            return Offered::NotNewer;
        }
        let text_arc = Arc::from(text.text.as_str());
        slot.in_force = Some(InForce {
            version: text.version,
            doc: Arc::new(doc),
            text: text_arc,
        });
        slot.wanted = slot.wanted.max(text.version);
        drop(slots);
        self.changed.send_modify(|n| *n += 1);
        Offered::Taken
    }

    /// Waits until at least a version is in force, for at most `within`.
    pub async fn reach(&self, service: &str, version: u64, within: Duration) -> bool {
        let mut changed = self.watch();
        let reached = async {
            while self.version(service) < version {
                // The sender lives in `self`.
                let _ = changed.changed().await;
            }
        };
        tokio::time::timeout(within, reached).await.is_ok()
    }

    /// A receiver that sees each change of what is in force or heard of.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The document in force, as a message to a peer.
    pub fn text(&self, service: &str) -> Option<DocText> {
        let d = self.get(service)?;
        Some(DocText {
            service: service.to_owned(),
            version: d.version,
            text: d.text.to_string(),
        })
    }
}
