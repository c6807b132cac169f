//! `apply`: puts a document in force if its version is still the one that was read.

use super::{platform, print_errors, read};
use crate::args::ApplyArgs;
use crate::exit::Exit;
use conf::Doc;
use similar::TextDiff;
use store::rows::{doc_key, head_key};
use store::{HttpPlatform, Row, Table, Txn, WriteError};

/// Start of the line with the version that was read.
pub const VERSION_PREFIX: &str = "# version: ";
/// How often the row is read back after a write with an unknown outcome.
const READ_BACK_ATTEMPTS: u32 = 5;
/// Pause before each of these reads.
const READ_BACK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);

/// Applies a document.
pub async fn run(args: &ApplyArgs) -> Exit {
    match apply(args).await {
        Ok(exit) | Err(exit) => exit,
    }
}

async fn apply(args: &ApplyArgs) -> Result<Exit, Exit> {
    let file = read(&args.file)?;
    let (file_version, text) = split_version(&file);
    let doc = Doc::parse(&text).map_err(|errors| {
        print_errors(&args.file, &errors);
        Exit::Usage
    })?;
    let Some(over) = args.over.or(file_version) else {
        eprintln!(
            "the version that this document replaces is missing: keep the line \
             `{VERSION_PREFIX}N` that `show` writes, or give --over N (0 for a service's first \
             document)"
        );
        return Err(Exit::Usage);
    };
    let table = platform(&args.settings)?;
    let key = doc_key(&doc.service);
    let txn = Txn::new()
        .check(&key, over)
        .put(&key, text.clone())
        .put(head_key(&doc.service), String::new());
    match table.commit(&txn).await {
        Ok(version) => Ok(report_committed(&doc.service, version)),
        Err(WriteError::Refused(conflicts)) => {
            let row = conflicts.into_iter().next().and_then(|c| c.row);
            Ok(report_conflict(&doc.service, over, row.as_ref(), &text))
        }
        Err(WriteError::Unavailable(why)) => {
            eprintln!("platform unavailable, nothing was written: {why}");
            Ok(Exit::Unreachable)
        }
        Err(WriteError::Unknown(why)) => {
            Ok(resolve_unknown(&table, &doc.service, &txn, over, &why).await)
        }
    }
}

/// Splits a file into the version from its version line and the document. The line is left blank
/// in the document, so that the positions of errors stay correct.
fn split_version(file: &str) -> (Option<u64>, String) {
    let Some(line) = file.lines().find(|l| l.starts_with(VERSION_PREFIX)) else {
        return (None, file.to_owned());
    };
    let version = line[VERSION_PREFIX.len()..].trim().parse().ok();
    let text = file.replacen(line, "", 1);
    (version, text)
}

fn report_committed(service: &str, version: u64) -> Exit {
    println!("{service}: version {version} is committed");
    Exit::Done
}

fn report_conflict(service: &str, over: u64, row: Option<&Row>, text: &str) -> Exit {
    let Some(row) = row else {
        eprintln!("{service}: there is no document, so it can't replace version {over}; use 0");
        return Exit::Refused;
    };
    eprintln!(
        "{service}: the current version is {}, but this document is based on version {over}; \
         nothing was changed. The difference:",
        row.version
    );
    let diff = TextDiff::from_lines(row.value.as_str(), text);
    let theirs = format!("{service} version {}", row.version);
    println!("{}", diff.unified_diff().header(&theirs, "this file"));
    Exit::Refused
}

/// Reads the row back to find out whether a write with an unknown outcome took effect.
async fn resolve_unknown(
    table: &HttpPlatform,
    service: &str,
    txn: &Txn,
    over: u64,
    why: &str,
) -> Exit {
    for _ in 0..READ_BACK_ATTEMPTS {
        tokio::time::sleep(READ_BACK_INTERVAL).await;
        let Ok(rows) = table.read(vec![doc_key(service)]).await else {
            continue;
        };
        match rows.first() {
            Some(row) if row.token == txn.token => return report_committed(service, row.version),
            // Another version replaced the same one, so this write can no longer take effect.
            Some(row) if row.version != over => {
                let text = txn
                    .puts
                    .first()
                    .and_then(|p| p.value.as_deref())
                    .unwrap_or("");
                return report_conflict(service, over, Some(row), text);
            }
            _ => {}
        }
    }
    eprintln!(
        "{service}: outcome unknown ({why}); the write may still take effect. Run `show {service}` \
         to check; applying the same file again is safe"
    );
    Exit::Unreachable
}
