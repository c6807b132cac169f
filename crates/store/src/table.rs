//! Traits of the platform's services, with their types and errors.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Random identifier of one write. The table service stores it with the row, so that the writer can
/// find out later whether its write took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Token(pub u64);

impl Token {
    /// Creates a random token.
    pub fn random() -> Self {
        Self(fastrand::u64(1..))
    }
}

/// A row as read from the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The row's version, which increases with each write. An absent row has version 0.
    pub version: u64,
    /// The row's value.
    pub value: String,
    /// Token of the last write.
    pub token: Token,
}

/// A row version that a transaction requires. 0 means that the row must not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The required version.
    pub version: u64,
}

/// A row to write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The row's key.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}

/// A conditional transaction over several rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// The writer's token.
    pub token: Token,
    /// Required versions. Nothing is written unless all match.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
}

impl Txn {
    /// Creates an empty transaction with a random token.
    pub fn new() -> Self {
        Self {
            token: Token::random(),
            checks: Vec::new(),
            puts: Vec::new(),
        }
    }

    /// Adds a required row version.
    pub fn check(mut self, key: impl Into<String>, version: u64) -> Self {
        self.checks.push(Check {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a row to write.
    pub fn put(mut self, key: impl Into<String>, value: String) -> Self {
        self.puts.push(Put {
            key: key.into(),
            value: Some(value),
        });
        self
    }
}

impl Default for Txn {
    fn default() -> Self {
        Self::new()
    }
}

/// A failed check with the current row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The row's key.
    pub key: String,
    /// The current row; `None` if it doesn't exist.
    pub row: Option<Row>,
}

quick_error! {
    /// A failed read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The service couldn't be reached or didn't respond in time.
        Unavailable(why: String) { display("platform unavailable: {why}") }
        /// The response is invalid.
        InvalidResponse(why: String) { display("invalid response from the platform: {why}") }
    }
}

/// A write that wasn't confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteError {
    /// A check failed. Nothing was written.
    Refused(Vec<Conflict>),
    /// The service couldn't be reached. Nothing was written.
    Unavailable(String),
    /// The write may or may not have taken effect, and may still do so later.
    Unknown(String),
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(_) => write!(f, "refused: a required row version has changed"),
            Self::Unavailable(why) => write!(f, "platform unavailable: {why}"),
            Self::Unknown(why) => write!(f, "outcome unknown: {why}"),
        }
    }
}

impl std::error::Error for WriteError {}

/// State of a host in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It is running.
    Live,
    /// It will be removed.
    Leaving,
}

/// A host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: String,
    /// State of the host.
    pub state: HostState,
}

/// The host list. It lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Incremented with each change.
    pub version: u64,
    /// The hosts; `None` if the reader already has this version.
    pub hosts: Option<Vec<Host>>,
}

/// The transactional table service.
pub trait Table {
    /// Reads rows. Absent rows are left out.
    fn read(&self, keys: Vec<String>) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Reads at most `limit` rows whose keys begin with `prefix` and come after `after`, in order.
    fn scan(
        &self,
        prefix: String,
        after: String,
        limit: u32,
    ) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Commits a transaction. Returns the version of the written rows.
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<u64, WriteError>> + Send;
}

/// The object store.
pub trait Objects {
    /// Writes an object. Repeating a write has no effect.
    fn put(&self, name: &str, data: Vec<u8>) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads an object. Returns `None` if it doesn't exist.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>, Error>> + Send;

    /// Lists the names that begin with `prefix`, in order.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, Error>> + Send;
}

/// The host list.
pub trait Hosts {
    /// Reads the host list. It has no hosts if the version is still `known_version`.
    fn hosts(&self, known_version: u64) -> impl Future<Output = Result<HostList, Error>> + Send;
}
