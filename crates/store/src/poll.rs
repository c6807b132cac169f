//! Keeping a process's documents and host list up to date.

use crate::docs::{Documents, OfferResult};
use crate::retry::jittered_interval;
use crate::rows::{doc_key, head_key};
use crate::table::{HostState, Hosts, Row, Table};
use observe::{Event, emit};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use wire::DocText;

/// Shortest time between two looks, however many peers speak of a new version.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What a poll reads, and who may hurry it.
#[derive(Debug)]
pub struct DocPoll {
    /// The documents to keep up to date.
    pub documents: Arc<Documents>,
    /// Time between looks.
    pub interval: Duration,
    /// Rows that are read along with the documents.
    pub extra_rows: Option<ExtraRows>,
    /// Makes the next look come at once.
    pub nudge: Arc<Notify>,
}

/// Rows that are read along with the documents, so that they cost no read more.
#[derive(Debug)]
pub struct ExtraRows {
    /// Their keys.
    pub keys: Vec<String>,
    /// Where they go, sorted by key; absent ones are left out.
    pub tx: watch::Sender<Vec<Row>>,
}

/// A document's head as it was last acted on.
#[derive(Debug)]
struct Head {
    service: String,
    key: String,
    version: u64,
}

impl DocPoll {
    /// Reads the rows again and again: every `every`, at once when a peer speaks
    /// of a version that isn't in force here, and when nudged. Ends with its task.
    pub async fn run<T: Table>(self, table: T) {
        let head = |service: String| Head {
            key: head_key(&service),
            service,
            version: 0,
        };
        let mut heads: Vec<Head> = self.documents.services().into_iter().map(head).collect();
        let mut changed = self.documents.subscribe();
        loop {
            self.poll(&table, &mut heads).await;
            tokio::time::sleep(MIN_POLL_INTERVAL).await;
            tokio::select! {
                () = self.nudge.notified() => {}
                () = wait_for_newer_version(
                    &self.documents,
                    &mut changed,
                    jittered_interval(self.interval),
                ) => {}
            }
        }
    }

    /// Reads heads and other rows, and documents only where there is a newer
    /// one. An outage isn't an error: what is in force stays in force.
    async fn poll<T: Table>(&self, table: &T, heads: &mut [Head]) {
        let mut keys: Vec<String> = heads.iter().map(|h| h.key.clone()).collect();
        keys.extend(self.extra_rows.iter().flat_map(|e| e.keys.iter().cloned()));
        let Ok(rows) = table.read(keys).await else {
            return;
        };
        let stored_version = |h: &Head| {
            rows.iter()
                .find(|r| r.key == h.key)
                .map_or(0, |r| r.version)
        };
        let needs_read = |h: &Head| {
            stored_version(h) > h.version
                || self.documents.newer_version(&h.service).is_some()
                || self.documents.version(&h.service) == 0
        };
        let doc_keys: Vec<String> = heads
            .iter()
            .filter(|h| needs_read(h))
            .map(|h| doc_key(&h.service))
            .collect();
        let docs = if doc_keys.is_empty() {
            Ok(Vec::new())
        } else {
            table.read(doc_keys).await
        };
        if let Ok(docs) = docs {
            for h in heads.iter_mut() {
                h.version = h.version.max(stored_version(h));
            }
            docs.into_iter().for_each(|row| self.offer_doc(row));
        }
        let Some(extra) = &self.extra_rows else {
            return;
        };
        for row in rows.into_iter().filter(|r| extra.keys.contains(&r.key)) {
            extra.tx.send_if_modified(|rows| update_if_newer(rows, row));
        }
    }

    fn offer_doc(&self, row: Row) {
        let Some(service) = row.key.strip_prefix("doc/") else {
            return;
        };
        let version = row.version;
        let text = DocText {
            service: service.to_owned(),
            version,
            text: row.value,
        };
        let service = text.service.as_str();
        match self.documents.offer(&text) {
            OfferResult::Accepted => emit(&Event::DocInForce { service, version }),
            OfferResult::Invalid => emit(&Event::DocInvalid { service, version }),
            OfferResult::NotNewer => {}
        }
    }
}

/// Rows only go forward here, whatever order answers come in.
fn update_if_newer(rows: &mut Vec<Row>, row: Row) -> bool {
    match rows.binary_search_by(|r| r.key.cmp(&row.key)) {
        Ok(at) if rows[at].version >= row.version => return false,
        Ok(at) => rows[at] = row,
        Err(at) => rows.insert(at, row),
    }
    true
}

async fn wait_for_newer_version(
    documents: &Documents,
    changed: &mut watch::Receiver<u64>,
    timeout: Duration,
) {
    let newer_version = async {
        while !documents
            .services()
            .iter()
            .any(|s| documents.newer_version(s).is_some())
        {
            // The sender lives in `documents`, which outlives this.
            let _ = changed.changed().await;
        }
    };
    // Either way it is time for a look.
    let _ = tokio::time::timeout(timeout, newer_version).await;
}

/// Hosts that the platform's list calls leaving, as this process last saw it.
#[derive(Debug)]
pub struct LeavingHosts {
    names: Mutex<Vec<String>>,
    polled: watch::Sender<Instant>,
    pauses: Mutex<PauseDetector>,
}

/// How this process sees its own pauses.
#[derive(Debug, Clone, Copy)]
struct PauseDetector {
    last_tick: Instant,
    pause_seen: Option<Instant>,
}

/// Time between beats of the pulse, and the gap that counts as a pause.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

impl Default for LeavingHosts {
    fn default() -> Self {
        Self {
            names: Mutex::default(),
            polled: watch::Sender::new(Instant::now()),
            pauses: Mutex::new(PauseDetector {
                last_tick: Instant::now(),
                pause_seen: None,
            }),
        }
    }
}

impl LeavingHosts {
    /// Whether a host is leaving.
    pub fn contains(&self, host: &str) -> bool {
        let names = self.names.lock().expect("no panic while locked");
        names.binary_search_by(|n| n.as_str().cmp(host)).is_ok()
    }

    /// The leaving hosts, sorted.
    pub fn names(&self) -> Vec<String> {
        self.names.lock().expect("no panic while locked").clone()
    }

    /// After a pause of this process, waits for the next look at the list for at
    /// most `within`: the host may have left meanwhile.
    pub async fn wait_for_poll_after_pause(&self, timeout: Duration) {
        let mut polled = self.polled.subscribe();
        if !self.was_paused_since(*polled.borrow_and_update()) {
            return;
        }
        // Without a look in time, what was known stands.
        let _ = tokio::time::timeout(timeout, polled.changed()).await;
    }

    fn was_paused_since(&self, last_poll: Instant) -> bool {
        let pauses = *self.pauses.lock().expect("no panic while locked");
        // The second is a pause that the pulse itself hasn't seen yet.
        pauses.pause_seen.is_some_and(|seen| last_poll < seen)
            || pauses.last_tick.elapsed() > PAUSE_THRESHOLD
    }

    /// Keeps the pulse by which pauses of this process are seen.
    pub async fn detect_pauses(&self) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let now = Instant::now();
            let mut pauses = self.pauses.lock().expect("no panic while locked");
            if now.saturating_duration_since(pauses.last_tick) > PAUSE_THRESHOLD {
                pauses.pause_seen = Some(now);
            }
            pauses.last_tick = now;
        }
    }

    fn set(&self, hosts: Vec<crate::table::Host>) {
        let leaving = hosts.into_iter().filter(|h| h.state == HostState::Leaving);
        let mut names: Vec<String> = leaving.map(|h| h.name).collect();
        names.sort_unstable();
        *self.names.lock().expect("no panic while locked") = names;
    }
}

/// Reads the host list again and again into `leaving`. Ends with its task.
pub async fn poll_hosts<H: Hosts>(hosts: H, leaving: Arc<LeavingHosts>, interval: Duration) {
    let mut known_version = 0;
    loop {
        if let Ok(list) = hosts.hosts(known_version).await {
            known_version = list.version;
            if let Some(hosts) = list.hosts {
                leaving.set(hosts);
            }
        }
        leaving.polled.send_replace(Instant::now());
        tokio::time::sleep(jittered_interval(interval)).await;
    }
}
