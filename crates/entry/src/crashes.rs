//! Tracks requests during which upstreams crash, across all entries.
//!
//! [`resilience::crashes`] decides which crashes count and when a request is blocked. Entries don't
//! communicate directly: each writes the crashes during its own requests as rows of the table
//! service and reads the rows of all entries. Entries that are started later thus know them, too.

use observe::log_line::now_ms;
use observe::{Event, emit};
use resilience::crashes::{
    Change, Confidence, CrashRecord, Observation, RETENTION, Run, STORED_TRIALS, Source,
};
use resilience::{Fingerprint, Verdict};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::retry::jittered_interval;
use store::rows::{CRASH_PREFIX, Crash, CrashKey, crash_key, decode, encode, trial_key};
use store::{HttpPlatform, Put, Row, Table, Txn, WriteError};
use tokio::sync::Notify;
use wire::Call;

/// Interval between reads of the rows. All entries must know of a third crash within 3 s; this
/// costs one read per second and entry.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of rows in a read, and in a write.
const MAX_ROWS_PER_READ: u32 = 512;
const MAX_ROWS_PER_WRITE: usize = 32;
/// Minimum number of crashes of a request for rows to be written: 1, as other entries learn of
/// crashes only from the rows.
const MIN_CRASHES_TO_RECORD: usize = 1;

/// Requests during which upstreams crashed.
#[derive(Debug)]
pub struct Crashes {
    platform: HttpPlatform,
    /// Name of the entry, as stored in rows.
    entry: String,
    known: Mutex<resilience::CrashTracker>,
    write_needed: Notify,
}

/// Whether and how a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDecision {
    /// Without restrictions.
    Allow,
    /// Once, as the trial with this number.
    Trial(usize),
    /// Not at all.
    Block(Confidence),
}

/// Hash of the service, the tenant and the content of a call. The position from which a completion
/// resumes is not included.
pub fn fingerprint(service: &str, tenant: &str, call: &Call) -> Fingerprint {
    let [head, path, body] = match call {
        Call::Completion(c) => [&b"completion"[..], b"", c.prompt.as_bytes()],
        Call::Plain(p) => [p.method.as_bytes(), p.path.as_bytes(), &p.body],
    };
    Fingerprint::of([service.as_bytes(), tenant.as_bytes(), head, path, body])
}

/// Identifier for the crash of an upstream's agent, distinct from those of other crashes.
pub fn agent_crash_id(upstream: &str) -> u32 {
    Fingerprint::of([&b"agent"[..], upstream.as_bytes()]).0 as u32
}

impl Crashes {
    /// Creates a tracker without known crashes.
    pub fn new(platform: HttpPlatform, entry: String) -> Self {
        Self {
            platform,
            entry,
            known: Mutex::default(),
            write_needed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, resilience::CrashTracker> {
        self.known.lock().expect("no panic while locked")
    }

    /// Whether no request is suspected of crashing upstreams.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Records that an upstream crashed while it ran a request, and whether that was a trial.
    /// `upstream` identifies the upstream's process.
    pub fn record_crash(&self, fingerprint: Fingerprint, upstream: u32, in_trial: bool) {
        let at = Instant::now();
        let observation = Observation::Crash {
            run: Run::from(fingerprint),
            upstream,
            at,
            in_trial,
        };
        self.apply_report(fingerprint, observation, Source::Local);
    }

    /// Records that a request got a complete response.
    pub fn record_answer(&self, fingerprint: Fingerprint) {
        let at = Instant::now();
        let observation = Observation::answer(Run::from(fingerprint), at);
        self.apply_report(fingerprint, observation, Source::Local);
    }

    fn apply_report(&self, fingerprint: Fingerprint, observation: Observation, source: Source) {
        let change = self
            .lock()
            .apply(observation, source, false, Instant::now());
        log_change(fingerprint, change);
        if change != Change::Unchanged && source == Source::Local {
            self.write_needed.notify_one();
        }
    }

    /// Decides whether and how a request may be sent to an upstream now.
    pub async fn decide(&self, fingerprint: Fingerprint) -> SendDecision {
        let now = Instant::now();
        let verdict = {
            let mut known = self.lock();
            let verdict = known.verdict(fingerprint, now);
            if let Verdict::Trial(..) = verdict {
                known.trial_requested(fingerprint, now);
            }
            verdict
        };
        match verdict {
            Verdict::Allowed | Verdict::Suspected => SendDecision::Allow,
            Verdict::Blocked(confidence) => SendDecision::Block(confidence),
            Verdict::Trial(number, confidence) => {
                match self.take_trial(fingerprint, number).await {
                    true => SendDecision::Trial(number),
                    false => SendDecision::Block(confidence),
                }
            }
        }
    }

    /// Returns a trial that didn't reach an upstream.
    pub fn return_trial(&self, fingerprint: Fingerprint, number: usize) {
        self.lock().trial_returned(fingerprint, number);
        let (platform, key) = (self.platform.clone(), trial_key(fingerprint.0, number));
        tokio::spawn(async move {
            let mut txn = Txn::new();
            txn.puts.push(Put { key, value: None });
            if let Err(e) = platform.commit(&txn).await {
                log_write_error(&txn, &e);
            }
        });
    }

    /// Reserves a trial among all entries. Returns whether this entry got it.
    async fn take_trial(&self, fingerprint: Fingerprint, number: usize) -> bool {
        let written = match number < STORED_TRIALS {
            true => self.write_trial(fingerprint, number).await,
            // These later trials aren't reserved: each entry makes one per minute.
            false => Ok(()),
        };
        let outcome = match &written {
            Ok(()) => "taken".to_owned(),
            Err(e) => e.to_string(),
        };
        emit(&Event::WorkTried {
            work: fingerprint.to_string(),
            trial: number + 1,
            outcome,
        });
        if matches!(written, Ok(()) | Err(WriteError::Refused(_))) {
            self.lock().trial_taken(fingerprint, number, Instant::now());
        }
        written.is_ok()
    }

    async fn write_trial(&self, fingerprint: Fingerprint, number: usize) -> Result<(), WriteError> {
        let key = trial_key(fingerprint.0, number);
        let txn = Txn::new().check(key.clone(), 0);
        let txn = txn.put(key, self.encode_row(now_ms(), false));
        self.platform.commit(&txn).await.map(|_| ())
    }

    fn encode_row(&self, at_ms: u64, in_trial: bool) -> String {
        encode(&Crash {
            entry: self.entry.clone(),
            at_ms,
            in_trial,
        })
    }

    /// Writes the crashes observed by this entry and reads those of all entries, until the process
    /// exits. During an outage of the table service the known crashes are kept and pending writes
    /// are retried.
    pub async fn sync(&self) {
        loop {
            self.write().await;
            self.read().await;
            self.lock().expire(Instant::now());
            tokio::select! {
                () = self.write_needed.notified() => {}
                () = tokio::time::sleep(jittered_interval(SYNC_INTERVAL)) => {}
            }
        }
    }

    async fn write(&self) {
        let (due, answered) = {
            let known = self.lock();
            let due = known.unrecorded(MIN_CRASHES_TO_RECORD, None, MAX_ROWS_PER_WRITE);
            (due, known.obsolete_records(None, MAX_ROWS_PER_WRITE))
        };
        if due.is_empty() && answered.is_empty() {
            return;
        }
        let mut txn = Txn::new();
        for record in &due {
            let ago = record.at.elapsed().as_millis() as u64;
            let row = self.encode_row(now_ms().saturating_sub(ago), record.in_trial);
            txn = txn.put(crash_key(record.run.request.0, record.upstream), row);
        }
        for record in &answered {
            txn.puts.extend(removal_puts(record));
        }
        if let Err(e) = self.platform.commit(&txn).await {
            log_write_error(&txn, &e);
            return;
        }
        let mut known = self.lock();
        due.iter()
            .for_each(|record| known.set_recorded(record, true));
        answered
            .iter()
            .for_each(|record| known.set_recorded(record, false));
    }

    async fn read(&self) {
        let scanned = self
            .platform
            .scan(CRASH_PREFIX.into(), String::new(), MAX_ROWS_PER_READ);
        let Ok(rows) = scanned.await else {
            return;
        };
        let recorded = self.lock().recorded();
        let is_stored = |record: &&CrashRecord| {
            let key = crash_key(record.run.request.0, record.upstream);
            rows.iter().any(|row| row.key == key)
        };
        for gone in recorded.iter().filter(|record| !is_stored(record)) {
            let change = self.lock().remove_crash(gone.run.request, gone.upstream);
            log_change(gone.run.request, change);
        }
        let old: Vec<String> = rows.iter().filter_map(|row| self.apply_row(row)).collect();
        self.remove_rows(old).await;
    }

    /// Deletes expired rows.
    async fn remove_rows(&self, keys: Vec<String>) {
        if keys.is_empty() {
            return;
        }
        let mut txn = Txn::new();
        let keys = keys.into_iter().take(MAX_ROWS_PER_WRITE);
        txn.puts.extend(keys.map(|key| Put { key, value: None }));
        if let Err(e) = self.platform.commit(&txn).await {
            log_write_error(&txn, &e);
        }
    }

    /// Applies a row. Returns its key if it has expired.
    fn apply_row(&self, row: &Row) -> Option<String> {
        let (Some(key), Some(crash)) = (CrashKey::parse(&row.key), decode::<Crash>(&row.value))
        else {
            emit(&Event::Undecodable {
                what: "crash row",
                why: row.key.clone(),
            });
            return None;
        };
        let age = Duration::from_millis(now_ms().saturating_sub(crash.at_ms));
        if age >= RETENTION {
            return Some(row.key.clone());
        }
        let now = Instant::now();
        let at = now.checked_sub(age).unwrap_or(now);
        match key {
            CrashKey::End {
                work: fingerprint,
                end,
            } => {
                let fingerprint = Fingerprint(fingerprint);
                let observation = Observation::Crash {
                    run: Run::from(fingerprint),
                    upstream: end,
                    at,
                    in_trial: crash.in_trial,
                };
                self.apply_report(fingerprint, observation, Source::Store);
            }
            CrashKey::Trial {
                work: fingerprint,
                number,
            } => {
                self.lock()
                    .trial_taken(Fingerprint(fingerprint), number, at);
            }
        }
        None
    }
}

fn log_write_error(txn: &Txn, e: &WriteError) {
    emit(&Event::CrashRowsNotWritten {
        rows: txn.puts.len(),
        why: e.to_string(),
    });
}

/// Deletions of the row of a crash and of the rows of the request's trials.
fn removal_puts(record: &CrashRecord) -> Vec<Put> {
    let trials = (0..STORED_TRIALS).map(|number| trial_key(record.run.request.0, number));
    let keys = std::iter::once(crash_key(record.run.request.0, record.upstream)).chain(trials);
    keys.map(|key| Put { key, value: None }).collect()
}

fn log_change(fingerprint: Fingerprint, change: Change) {
    let work = fingerprint.to_string();
    let source = "entries";
    match change {
        Change::Unchanged | Change::Counted(_) => {}
        Change::Blocked(ends) => emit(&Event::WorkHeldBack { work, ends, source }),
        Change::Cleared => emit(&Event::WorkReleased { work, source }),
    }
}
