//! Keeping a process's documents and host list up to date.

use crate::docs::{Documents, Offered};
use crate::retry::around;
use crate::rows::{doc_key, head_key};
use crate::table::{HostState, Hosts, Row, Table};
use observe::{Event, emit};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use wire::DocText;

/// Shortest time between two looks, however many peers speak of a new version.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// What a poll reads, and who may hurry it.
#[derive(Debug)]
pub struct DocPoll {
    /// The documents to keep up to date.
    pub documents: Arc<Documents>,
    /// Time between looks.
    pub every: Duration,
    /// Rows that are read along with the documents.
    pub also: Option<AlsoRows>,
    /// Makes the next look come at once.
    pub nudge: Arc<Notify>,
}

/// Rows that are read along with the documents, so that they cost no read more.
#[derive(Debug)]
pub struct AlsoRows {
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
        let mut changed = self.documents.watch();
        loop {
            self.look(&table, &mut heads).await;
            tokio::time::sleep(MIN_PAUSE).await;
            tokio::select! {
                () = self.nudge.notified() => {}
                () = wait_for_need(&self.documents, &mut changed, around(self.every)) => {}
            }
        }
    }

    /// Reads heads and other rows, and documents only where there is a newer
    /// one. An outage isn't an error: what is in force stays in force.
    async fn look<T: Table>(&self, table: &T, heads: &mut [Head]) {
        let mut keys: Vec<String> = heads.iter().map(|h| h.key.clone()).collect();
        keys.extend(self.also.iter().flat_map(|a| a.keys.iter().cloned()));
        let Ok(rows) = table.read(keys).await else {
            return;
        };
        let seen = |h: &Head| {
            rows.iter()
                .find(|r| r.key == h.key)
                .map_or(0, |r| r.version)
        };
        let stale = |h: &Head| {
            seen(h) > h.version
                || self.documents.behind(&h.service).is_some()
                || self.documents.version(&h.service) == 0
        };
        let wanted: Vec<String> = heads
            .iter()
            .filter(|h| stale(h))
            .map(|h| doc_key(&h.service))
            .collect();
        let docs = if wanted.is_empty() {
            Ok(Vec::new())
        } else {
            table.read(wanted).await
        };
        if let Ok(docs) = docs {
            for h in heads.iter_mut() {
                h.version = h.version.max(seen(h));
            }
            docs.into_iter().for_each(|row| self.take_doc(row));
        }
        let Some(also) = &self.also else { return };
        for row in rows.into_iter().filter(|r| also.keys.contains(&r.key)) {
            also.tx.send_if_modified(|rows| take_newer(rows, row));
        }
    }

    fn take_doc(&self, row: Row) {
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
            Offered::Taken => emit(&Event::DocInForce { service, version }),
            Offered::Invalid => emit(&Event::DocInvalid { service, version }),
            Offered::NotNewer => {}
        }
    }
}

/// Rows only go forward here, whatever order answers come in.
fn take_newer(rows: &mut Vec<Row>, row: Row) -> bool {
    match rows.binary_search_by(|r| r.key.cmp(&row.key)) {
        Ok(at) if rows[at].version >= row.version => return false,
        Ok(at) => rows[at] = row,
        Err(at) => rows.insert(at, row),
    }
    true
}

async fn wait_for_need(
    documents: &Documents,
    changed: &mut watch::Receiver<u64>,
    longest: Duration,
) {
    let need = async {
        while !documents
            .services()
            .iter()
            .any(|s| documents.behind(s).is_some())
        {
            // The sender lives in `documents`, which outlives this.
            let _ = changed.changed().await;
        }
    };
    // Either way it is time for a look.
    let _ = tokio::time::timeout(longest, need).await;
}

/// Hosts that the platform's list calls leaving, as this process last saw it.
#[derive(Debug)]
pub struct LeavingHosts {
    names: Mutex<Vec<String>>,
    looked: watch::Sender<Instant>,
    pulse: Mutex<Pulse>,
}

/// How this process sees its own pauses.
#[derive(Debug, Clone, Copy)]
struct Pulse {
    last: Instant,
    gap_seen: Option<Instant>,
}

/// Time between beats of the pulse, and the gap that counts as a pause.
const PULSE: Duration = Duration::from_millis(200);
const PAUSED: Duration = Duration::from_secs(1);

impl Default for LeavingHosts {
    fn default() -> Self {
        Self {
            names: Mutex::default(),
            looked: watch::Sender::new(Instant::now()),
            pulse: Mutex::new(Pulse {
                last: Instant::now(),
                gap_seen: None,
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
    pub async fn looked_since_pause(&self, within: Duration) {
        let mut looked = self.looked.subscribe();
        if !self.was_paused_since(*looked.borrow_and_update()) {
            return;
        }
        // Without a look in time, what was known stands.
        let _ = tokio::time::timeout(within, looked.changed()).await;
    }

    fn was_paused_since(&self, look: Instant) -> bool {
        let pulse = *self.pulse.lock().expect("no panic while locked");
        // The second is a pause that the pulse itself hasn't seen yet.
        pulse.gap_seen.is_some_and(|seen| look < seen) || pulse.last.elapsed() > PAUSED
    }

    /// Keeps the pulse by which pauses of this process are seen.
    pub async fn keep_pulse(&self) {
        loop {
            tokio::time::sleep(PULSE).await;
            let now = Instant::now();
            let mut pulse = self.pulse.lock().expect("no panic while locked");
            if now.saturating_duration_since(pulse.last) > PAUSED {
                pulse.gap_seen = Some(now);
            }
            pulse.last = now;
        }
    }

    fn set(&self, hosts: Vec<crate::table::Host>) {
        let gone = hosts.into_iter().filter(|h| h.state == HostState::Leaving);
        let mut names: Vec<String> = gone.map(|h| h.name).collect();
        names.sort_unstable();
        *self.names.lock().expect("no panic while locked") = names;
    }
}

/// Reads the host list again and again into `leaving`. Ends with its task.
pub async fn poll_hosts<H: Hosts>(hosts: H, leaving: Arc<LeavingHosts>, every: Duration) {
    let mut have = 0;
    loop {
        if let Ok(list) = hosts.hosts(have).await {
            have = list.version;
            if let Some(hosts) = list.hosts {
                leaving.set(hosts);
            }
        }
        leaving.looked.send_replace(Instant::now());
        tokio::time::sleep(around(every)).await;
    }
}
