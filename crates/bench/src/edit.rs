//! Operators that race for a document.

use fakes::clock::now_ms;
use std::path::Path;
use std::time::Duration;
use store::rows::{doc_key, head_key};
use store::{HttpPlatform, Row, Table, Txn, WriteError};

/// Editors at once.
const EDITORS: usize = 2;
/// Looks at the row after a write whose outcome is unknown.
const MAX_READS: u32 = 30;
/// Time between these looks.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Beginning of an editor's note in the document.
const NOTE_PREFIX: &str = "# edited over ";

/// Lets editors race once; gives versions that were accepted, and when their
/// editor knew.
pub async fn race(settings: &Path, service: &str) -> Vec<(u64, u64)> {
    let Some(table) = connect_table(settings) else {
        return Vec::new();
    };
    // While the table service is down nobody can read, and nobody edits.
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

/// A document with another note, and every third time another model version.
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
