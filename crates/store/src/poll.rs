//! Keeps a process's documents and host list up to date by polling.

use crate::docs::{Documents, OfferResult};
use crate::retry::jittered_interval;
use crate::rows::{doc_key, head_key};
use crate::table::{HostState, Hosts, Row, Table};
use observe::{Event, emit};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use wire::DocText;

/// Minimum time between two polls, even if peers mention new versions more often.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Polls the table service for documents.
#[derive(Debug)]
pub struct DocPoll {
    /// The documents to keep up to date.
    pub documents: Arc<Documents>,
    /// Mean time between polls.
    pub interval: Duration,
    /// Rows that are read along with the documents.
    pub extra_rows: Option<ExtraRows>,
    /// Triggers a poll immediately.
    pub nudge: Arc<Notify>,
}

/// Rows that are read in the same call as the documents' heads.
#[derive(Debug)]
pub struct ExtraRows {
    /// Keys of the rows.
    pub keys: Vec<String>,
    /// Receives the rows, sorted by key. Absent rows are left out.
    pub tx: watch::Sender<Vec<Row>>,
}

/// Version of a document's head row that was last processed.
#[derive(Debug)]
struct Head {
    service: String,
    key: String,
    version: u64,
}

impl DocPoll {
    /// Polls until the task is dropped: at every `interval`, immediately when a peer has mentioned
    /// a newer version, and when nudged.
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

    /// Reads the heads and the extra rows, and then the documents that have changed. In an outage,
    /// the documents in force stay in force.
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

/// Inserts or updates a row, unless it has this version or a newer one. Returns whether it did.
/// This way rows never go back to an older version when responses arrive out of order.
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
            // Can't fail, since `documents` owns the sender and lives longer.
            let _ = changed.changed().await;
        }
    };
    // A poll is due in both cases.
    let _ = tokio::time::timeout(timeout, newer_version).await;
}

/// Hosts that are leaving, according to the platform's list as last read by this process.
#[derive(Debug)]
pub struct LeavingHosts {
    names: Mutex<Vec<String>>,
    polled: watch::Sender<Instant>,
    pauses: Mutex<PauseDetector>,
}

/// Detects pauses of this process by a periodic tick.
#[derive(Debug, Clone, Copy)]
struct PauseDetector {
    last_tick: Instant,
    pause_seen: Option<Instant>,
}

/// Interval of the tick, and the minimum gap that counts as a pause.
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

    /// Waits for the next poll of the host list, at most `timeout`, if this process was paused
    /// since the last poll, because the host may have started to leave in the meantime.
    pub async fn wait_for_poll_after_pause(&self, timeout: Duration) {
        let mut polled = self.polled.subscribe();
        if !self.was_paused_since(*polled.borrow_and_update()) {
            return;
        }
        // Without a poll in time, the last known list is used.
        let _ = tokio::time::timeout(timeout, polled.changed()).await;
    }

    fn was_paused_since(&self, last_poll: Instant) -> bool {
        let pauses = *self.pauses.lock().expect("no panic while locked");
        // The second condition is a pause that the tick hasn't detected yet.
        pauses.pause_seen.is_some_and(|seen| last_poll < seen)
            || pauses.last_tick.elapsed() > PAUSE_THRESHOLD
    }

    /// Runs the tick that detects pauses of this process, until the task is dropped.
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

/// Polls the host list and updates `leaving`, until the task is dropped.
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
