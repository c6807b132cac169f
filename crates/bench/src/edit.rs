//! Concurrent edits of a document by several operators.

use fakes::clock::now_ms;
use std::path::Path;
use std::time::Duration;
use store::rows::{doc_key, head_key};
use store::{HttpPlatform, Row, Table, Txn, WriteError};

/// Number of concurrent editors.
const EDITORS: usize = 2;
/// Maximum number of reads of the row after a write with an unknown outcome.
const MAX_READS: u32 = 30;
/// Interval between these reads.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Prefix of the comment that an editor adds to the document.
const NOTE_PREFIX: &str = "# edited over ";

/// Runs one race between the editors. Returns each accepted version with the time at which its
/// editor learned of it, in milliseconds.
pub async fn race(settings: &Path, service: &str) -> Vec<(u64, u64)> {
    let Some(table) = connect_table(settings) else {
        return Vec::new();
    };
    // No edit is possible while the table service is unavailable.
    let Ok(rows) = table.read(vec![doc_key(service)]).await else {
        return Vec::new();
    };
    let Some(row) = rows.into_iter().next() else {
        return Vec::new();
    };
    let editors: Vec<_> = (0..EDITORS)
        .map(|n| tokio::spawn(edit(table.clone(), service.to_owned(), row.clone(), n)))
        .collect();
    let mut accepted = Vec::new();
    for e in editors {
        accepted.extend(e.await.ok().flatten().map(|version| (version, now_ms())));
    }
    accepted
}

fn connect_table(settings: &Path) -> Option<HttpPlatform> {
    let text = std::fs::read_to_string(settings).ok()?;
    Some(HttpPlatform::new(
        &conf::Settings::parse(&text).ok()?.platform,
    ))
}

async fn edit(table: HttpPlatform, service: String, row: Row, n: usize) -> Option<u64> {
    let key = doc_key(&service);
    let txn = Txn::new()
        .check(&key, row.version)
        .put(&key, edited_text(&row.value, row.version, n))
        .put(head_key(&service), String::new());
    match table.commit(&txn).await {
        Ok(version) => Some(version),
        Err(WriteError::Refused(_) | WriteError::Unavailable(_)) => None,
        Err(WriteError::Unknown(_)) => resolve_unknown(&table, &key, &txn, row.version).await,
    }
}

async fn resolve_unknown(
    table: &HttpPlatform,
    key: &str,
    txn: &Txn,
    base_version: u64,
) -> Option<u64> {
    for _ in 0..MAX_READS {
        tokio::time::sleep(READ_INTERVAL).await;
        let Ok(rows) = table.read(vec![key.to_owned()]).await else {
            continue;
        };
        let row = rows.first()?;
        if row.token == txn.token {
            return Some(row.version);
        }
        if row.version != base_version {
            return None;
        }
    }
    None
}

/// Returns the document with a new comment and, if the version is a multiple of 3, with another
/// model version.
fn edited_text(text: &str, version: u64, editor: usize) -> String {
    let kept: Vec<&str> = text
        .lines()
        .filter(|l| !l.starts_with(NOTE_PREFIX))
        .collect();
    let text = format!("{}\n{NOTE_PREFIX}{version} by {editor}\n", kept.join("\n"));
    if version.is_multiple_of(3) {
        for v in [1, 2] {
            let (old, new) = (format!("version: {v}}}"), format!("version: {}}}", 3 - v));
            if text.contains(&old) {
                return text.replace(&old, &new);
            }
        }
    }
    text
}
