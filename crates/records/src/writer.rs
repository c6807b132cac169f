//! Writes records in batches, with bounded memory.

use crate::record::{Batch, BatchName, HOUR_MS, Record};
use observe::log_line::now_ms;
use observe::{Event, emit};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use store::Objects;
use store::retry::{Backoff, jittered_interval};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of records in a batch.
const MAX_BATCH: usize = 5_000;
/// Minimum and maximum delay between retries while the store is unavailable.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);

enum Command {
    Record(Box<Record>),
    Close(oneshot::Sender<()>),
}

/// Accepts records, which a task writes in batches. Accepting a record never blocks: when the
/// buffer is full, the record is counted as dropped, and the next batch contains the count.
#[derive(Debug, Clone)]
pub struct Recorder {
    tx: mpsc::Sender<Command>,
    dropped: Arc<AtomicU64>,
}

impl Recorder {
    /// Starts the task that writes the records of a process.
    pub fn start<O>(objects: O, process: String, flush_interval: Duration, capacity: u32) -> Self
    where
        O: Objects + Send + Sync + 'static,
    {
        let (tx, rx) = mpsc::channel(capacity as usize);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            objects,
            process,
            flush_interval,
            number: 0,
            dropped: dropped.clone(),
        };
        tokio::spawn(writer.run(rx));
        Self { tx, dropped }
    }

    /// Adds a record, or counts it as dropped if the buffer is full.
    pub fn record(&self, record: Record) {
        if self.tx.try_send(Command::Record(Box::new(record))).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes the buffered records as the process's last batch. Returns whether this succeeded
    /// within `timeout`.
    pub async fn close(&self, timeout: Duration) -> bool {
        let (tx, rx) = oneshot::channel();
        let close = async {
            self.tx.send(Command::Close(tx)).await.ok()?;
            rx.await.ok()
        };
        matches!(tokio::time::timeout(timeout, close).await, Ok(Some(())))
    }
}

struct Writer<O> {
    objects: O,
    process: String,
    flush_interval: Duration,
    number: u64,
    dropped: Arc<AtomicU64>,
}

impl<O: Objects> Writer<O> {
    async fn run(mut self, mut rx: mpsc::Receiver<Command>) {
        loop {
            let (records, close) = collect(&mut rx, jittered_interval(self.flush_interval)).await;
            let all_senders_dropped = rx.is_closed() && rx.is_empty();
            let last = close.is_some() || all_senders_dropped;
            if !records.is_empty() || last {
                self.write(records, last).await;
            }
            if let Some(close) = close {
                // The caller of `close` may have given up waiting.
                let _ = close.send(());
                return;
            }
            if all_senders_dropped {
                return;
            }
        }
    }

    async fn write(&mut self, records: Vec<Record>, last: bool) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            emit(&Event::RecordsDropped { count: dropped });
        }
        let hour = now_ms() / HOUR_MS;
        let name = BatchName {
            hour,
            process: self.process.clone(),
            number: self.number,
        };
        let name = name.to_object();
        let data = wire::encode_compact(&Batch {
            dropped,
            last,
            records,
        });
        let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        // Repeating the write after a lost response is safe, since it writes the same bytes under
        // the same name.
        while self.objects.put(&name, data.clone()).await.is_err() {
            tokio::time::sleep(backoff.next_delay()).await;
        }
        self.number += 1;
    }
}

/// Collects records for at most `max_wait`, or until a batch is full.
async fn collect(
    rx: &mut mpsc::Receiver<Command>,
    max_wait: Duration,
) -> (Vec<Record>, Option<oneshot::Sender<()>>) {
    let mut records = Vec::new();
    let deadline = tokio::time::Instant::now() + max_wait;
    while records.len() < MAX_BATCH {
        match tokio::time::timeout_at(deadline, rx.recv()).await {
            Ok(Some(Command::Record(r))) => records.push(*r),
            Ok(Some(Command::Close(tx))) => return (records, Some(tx)),
            Ok(None) | Err(_) => break,
        }
    }
    (records, None)
}
