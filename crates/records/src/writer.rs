//! Writing records in batches, in bounded memory.

use crate::record::{Batch, BatchName, HOUR_MS, Record};
use observe::log_line::now_ms;
use observe::{Event, emit};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use store::Objects;
use store::retry::{Backoff, around};
use tokio::sync::{mpsc, oneshot};

/// Most records in one batch.
const MAX_BATCH: usize = 5_000;
/// First and longest wait between tries while the store is down.
const RETRY_FIRST: Duration = Duration::from_millis(200);
const RETRY_MOST: Duration = Duration::from_secs(10);

enum Message {
    Record(Box<Record>),
    Close(oneshot::Sender<()>),
}

/// Takes records and writes them from a task of its own. Taking one never
/// waits: past the bound it is counted as dropped, and the next batch says so.
#[derive(Debug, Clone)]
pub struct Recorder {
    tx: mpsc::Sender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Recorder {
    /// Starts the task of a process's records.
    pub fn start<O>(objects: O, process: String, flush: Duration, buffer: u32) -> Self
    where
        O: Objects + Send + Sync + 'static,
    {
        let (tx, rx) = mpsc::channel(buffer as usize);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            objects,
            process,
            flush,
            number: 0,
            dropped: dropped.clone(),
        };
        tokio::spawn(writer.run(rx));
        Self { tx, dropped }
    }

    /// Takes a record.
    pub fn record(&self, record: Record) {
        if self.tx.try_send(Message::Record(Box::new(record))).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes what there is as the process's last batch, for at most `within`.
    pub async fn close(&self, within: Duration) -> bool {
        let (tx, rx) = oneshot::channel();
        let close = async {
            self.tx.send(Message::Close(tx)).await.ok()?;
            rx.await.ok()
        };
        matches!(tokio::time::timeout(within, close).await, Ok(Some(())))
    }
}

struct Writer<O> {
    objects: O,
    process: String,
    flush: Duration,
    number: u64,
    dropped: Arc<AtomicU64>,
}

impl<O: Objects> Writer<O> {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>) {
        loop {
            let (records, close) = collect(&mut rx, around(self.flush)).await;
            let ended = rx.is_closed() && rx.is_empty();
            let last = close.is_some() || ended;
            if !records.is_empty() || last {
                self.write(records, last).await;
            }
            if let Some(close) = close {
                // The closer may have given up waiting.
                let _ = close.send(());
                return;
            }
            if ended {
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
        let mut backoff = Backoff::new(RETRY_FIRST, RETRY_MOST);
        // The same bytes under the same name: a repeat after a lost answer is harmless.
        while self.objects.put(&name, data.clone()).await.is_err() {
            tokio::time::sleep(backoff.wait()).await;
        }
        self.number += 1;
    }
}

/// Collects records for a time, or until a batch is full.
async fn collect(
    rx: &mut mpsc::Receiver<Message>,
    time: Duration,
) -> (Vec<Record>, Option<oneshot::Sender<()>>) {
    let mut records = Vec::new();
    let until = tokio::time::Instant::now() + time;
    while records.len() < MAX_BATCH {
        match tokio::time::timeout_at(until, rx.recv()).await {
            Ok(Some(Message::Record(r))) => records.push(*r),
            Ok(Some(Message::Close(tx))) => return (records, Some(tx)),
            Ok(None) | Err(_) => break,
        }
    }
    (records, None)
}
