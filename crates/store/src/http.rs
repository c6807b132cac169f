//! HTTP client of the platform: JSON over HTTP/1.
//!
//! Only this module would have to be replaced for another platform. The fake platform services use
//! the same API and the message types below.

use crate::table::{Conflict, Error, HostList, Hosts, Objects, Row, Table, Txn, WriteError};
use conf::Platform;
use hyper::{Method, Request, StatusCode};
use net::{Body, CallError, Meter, Pool, full};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Path for reading rows.
pub const PATH_READ: &str = "/read";
/// Path for scanning rows.
pub const PATH_SCAN: &str = "/scan";
/// Path for committing a transaction.
pub const PATH_COMMIT: &str = "/commit";
/// Prefix of an object's path.
pub const PATH_OBJECT: &str = "/objects/";
/// Path for listing objects. The query is the name prefix.
pub const PATH_LIST: &str = "/list";
/// Path of the host list. The query is the version that the reader already has.
pub const PATH_HOSTS: &str = "/hosts";

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Body of a scan request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScanBody {
    /// Prefix of the keys.
    pub prefix: String,
    /// Only keys after this one are returned.
    pub after: String,
    /// Maximum number of rows.
    pub limit: u32,
}

/// Response to a commit request.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommitBody {
    /// Committed, with the version of the written rows.
    Done(u64),
    /// Refused, with the checks that failed.
    Refused(Vec<Conflict>),
}

/// Client of the platform over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    table: Pool,
    objects: Pool,
    hosts: Pool,
    timeout: Duration,
}

impl HttpPlatform {
    /// Creates clients for the addresses in the settings.
    pub fn new(p: &Platform) -> Self {
        Self::metered(p, &Meter::default())
    }

    /// Like [`HttpPlatform::new`], with the bytes of all connections counted by `meter`.
    pub fn metered(p: &Platform, meter: &Meter) -> Self {
        let pool = |addr| Pool::new(addr, p.timeout).metered(meter);
        Self {
            table: pool(p.table),
            objects: pool(p.objects),
            hosts: pool(p.hosts),
            timeout: p.timeout,
        }
    }

    async fn call(
        &self,
        pool: &Pool,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, bytes::Bytes), CallError> {
        let req = request(pool, method, path, body);
        pool.call(req, MAX_RESPONSE_BYTES, self.timeout).await
    }

    async fn call_json<T: DeserializeOwned>(
        &self,
        pool: &Pool,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, Error> {
        let (status, body) = self
            .call(pool, method, path, body)
            .await
            .map_err(|e| unavailable(&e))?;
        if !status.is_success() {
            return Err(Error::Unavailable(format!("status {status}")));
        }
        serde_json::from_slice(&body).map_err(|e| Error::InvalidResponse(e.to_string()))
    }
}

fn request(pool: &Pool, method: Method, path: &str, body: Vec<u8>) -> Request<Body> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::HOST, pool.addr().to_string())
        .body(full(body))
        .expect("paths are built from checked names")
}

fn unavailable(e: &CallError) -> Error {
    Error::Unavailable(e.to_string())
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("messages have no field that can't be encoded")
}

impl Table for HttpPlatform {
    async fn read(&self, keys: Vec<String>) -> Result<Vec<Row>, Error> {
        self.call_json(&self.table, Method::POST, PATH_READ, json(&keys))
            .await
    }

    async fn scan(&self, prefix: String, after: String, limit: u32) -> Result<Vec<Row>, Error> {
        let body = json(&ScanBody {
            prefix,
            after,
            limit,
        });
        self.call_json(&self.table, Method::POST, PATH_SCAN, body)
            .await
    }

    async fn commit(&self, txn: &Txn) -> Result<u64, WriteError> {
        let response = self
            .call(&self.table, Method::POST, PATH_COMMIT, json(txn))
            .await;
        let (status, body) = match response {
            Ok(response) => response,
            Err(CallError::NotSent(why)) => return Err(WriteError::Unavailable(why)),
            Err(CallError::MaybeSent(why)) => return Err(WriteError::Unknown(why)),
        };
        if status == StatusCode::SERVICE_UNAVAILABLE {
            // The service sends this status before it processes the request.
            return Err(WriteError::Unavailable("the table service is down".into()));
        }
        match serde_json::from_slice(&body) {
            Ok(CommitBody::Done(version)) => Ok(version),
            Ok(CommitBody::Refused(conflicts)) => Err(WriteError::Refused(conflicts)),
            Err(e) => Err(WriteError::Unknown(format!("status {status}: {e}"))),
        }
    }
}

impl Objects for HttpPlatform {
    async fn put(&self, name: &str, data: Vec<u8>) -> Result<(), Error> {
        let path = format!("{PATH_OBJECT}{name}");
        let (status, _) = self
            .call(&self.objects, Method::PUT, &path, data)
            .await
            .map_err(|e| unavailable(&e))?;
        if status.is_success() {
            Ok(())
        } else {
            Err(Error::Unavailable(format!("status {status}")))
        }
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let path = format!("{PATH_OBJECT}{name}");
        let (status, body) = self
            .call(&self.objects, Method::GET, &path, Vec::new())
            .await
            .map_err(|e| unavailable(&e))?;
        match status {
            StatusCode::NOT_FOUND => Ok(None),
            s if s.is_success() => Ok(Some(body.to_vec())),
            s => Err(Error::Unavailable(format!("status {s}"))),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        let path = format!("{PATH_LIST}?{prefix}");
        self.call_json(&self.objects, Method::GET, &path, Vec::new())
            .await
    }
}

impl Hosts for HttpPlatform {
    async fn hosts(&self, known_version: u64) -> Result<HostList, Error> {
        let path = format!("{PATH_HOSTS}?{known_version}");
        self.call_json(&self.hosts, Method::GET, &path, Vec::new())
            .await
    }
}
