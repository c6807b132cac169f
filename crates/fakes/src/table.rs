//! A fake transactional table service.

use crate::fault::FaultInjector;
use crate::serve::{Call, FakeServer, json, status};
use hyper::{Response, StatusCode};
use net::Body;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use store::http::{CommitBody, PATH_COMMIT, PATH_READ, PATH_SCAN, ScanBody};
use store::{Conflict, Row, Txn};

/// Largest number of written rows in the history.
const MAX_HISTORY: usize = 200_000;

/// A table service that keeps its rows in memory.
#[derive(Debug, Default)]
pub struct FakeTable {
    injector: FaultInjector,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    last: u64,
    history: History,
}

/// The calls that the table service answered.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    /// Number of reads and scans.
    pub reads: u64,
    /// Number of committed transactions.
    pub commits: u64,
    /// Number of refused transactions.
    pub refused: u64,
    /// Written rows, in order of their commits.
    pub written: Vec<Row>,
}

impl FakeTable {
    /// Returns what the table service did so far.
    pub fn history(&self) -> History {
        self.state
            .lock()
            .expect("no panic while locked")
            .history
            .clone()
    }

    fn read(&self, keys: &[String]) -> Vec<Row> {
        let mut state = self.state.lock().expect("no panic while locked");
        state.history.reads += 1;
        keys.iter()
            .filter_map(|k| state.rows.get(k).cloned())
            .collect()
    }

    fn scan(&self, body: &ScanBody) -> Vec<Row> {
        let mut state = self.state.lock().expect("no panic while locked");
        state.history.reads += 1;
        let from = body.prefix.as_str().max(body.after.as_str()).to_owned();
        let fits = |k: &String| k.starts_with(&body.prefix);
        state
            .rows
            .range(from..)
            .take_while(|(k, _)| fits(k) || **k < body.prefix)
            .filter(|(k, _)| fits(k) && **k > body.after)
            .take(body.limit as usize)
            .map(|(_, row)| row.clone())
            .collect()
    }

    fn commit(&self, txn: &Txn) -> CommitBody {
        let mut state = self.state.lock().expect("no panic while locked");
        let holds = |key: &str, version| state.rows.get(key).map_or(0, |r| r.version) == version;
        let conflicts: Vec<Conflict> = txn
            .checks
            .iter()
            .filter(|c| !holds(&c.key, c.version))
            .map(|c| Conflict {
                key: c.key.clone(),
                row: state.rows.get(&c.key).cloned(),
            })
            .collect();
        if !conflicts.is_empty() {
            state.history.refused += 1;
            return CommitBody::Refused(conflicts);
        }
        state.last += 1;
        let version = state.last;
        for put in &txn.puts {
            let Some(value) = put.value.clone() else {
                state.rows.remove(&put.key);
                continue;
            };
            let row = Row {
                key: put.key.clone(),
                version,
                value,
                token: txn.token,
            };
            if state.history.written.len() < MAX_HISTORY {
                state.history.written.push(row.clone());
            }
            state.rows.insert(put.key.clone(), row);
        }
        state.history.commits += 1;
        CommitBody::Done(version)
    }
}

impl FakeServer for FakeTable {
    fn injector(&self) -> &FaultInjector {
        &self.injector
    }

    async fn answer(self: Arc<Self>, call: Call) -> Response<Body> {
        match call.path.as_str() {
            PATH_READ => {
                let Some(keys) = call.json::<Vec<String>>() else {
                    return status(StatusCode::BAD_REQUEST);
                };
                json(&self.read(&keys))
            }
            PATH_SCAN => {
                let Some(body) = call.json::<ScanBody>() else {
                    return status(StatusCode::BAD_REQUEST);
                };
                json(&self.scan(&body))
            }
            PATH_COMMIT => {
                let Some(txn) = call.json::<Txn>() else {
                    return status(StatusCode::BAD_REQUEST);
                };
                json(&self.commit(&txn))
            }
            "/history" => json(&self.state.lock().expect("no panic while locked").history),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}
