//! What the platform offers, as traits, and how its calls end.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identity of one write, drawn at random by its writer. The table service
/// keeps it with the row, so that the writer can tell later whether its write
/// took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Token(pub u64);

impl Token {
    /// Draws a new token.
    pub fn random() -> Self {
        Self(fastrand::u64(1..))
    }
}

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// Its version; a later write has a higher one. An absent row has version 0.
    pub version: u64,
    /// Its value.
    pub value: String,
    /// Token of the write that made it.
    pub token: Token,
}

/// A row's version that a transaction depends on; 0 stands for absence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The version that it must have.
    pub version: u64,
}

/// A row to be written.
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
    /// All must hold, or nothing is written.
    pub checks: Vec<Check>,
    /// What to write.
    pub puts: Vec<Put>,
}

impl Txn {
    /// A transaction with a token of its own.
    pub fn new() -> Self {
        Self {
            token: Token::random(),
            checks: Vec::new(),
            puts: Vec::new(),
        }
    }

    /// Makes the transaction depend on a row's version.
    pub fn check(mut self, key: impl Into<String>, version: u64) -> Self {
        self.checks.push(Check {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a row to be written.
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

/// A check that didn't hold, with the row as it is, if it is there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The row's key.
    pub key: String,
    /// The row as it is.
    pub row: Option<Row>,
}

quick_error! {
    /// A read that failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The service wasn't reached, or didn't answer in time.
        Unavailable(why: String) { display("platform unavailable: {why}") }
        /// The service answered something that isn't its protocol.
        InvalidResponse(why: String) { display("platform answered nonsense: {why}") }
    }
}

/// A write that wasn't confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteError {
    /// A check didn't hold; nothing was written.
    Refused(Vec<Conflict>),
    /// The service wasn't reached; nothing was written.
    Unavailable(String),
    /// The write may or may not have taken effect, or may do so yet.
    Unknown(String),
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(_) => write!(f, "refused: another writer was first"),
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
    /// It runs.
    Live,
    /// It is going to be taken away.
    Leaving,
}

/// A host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: String,
    /// Its state.
    pub state: HostState,
}

/// The host list as it was read; it lags behind the truth.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Rises with each change.
    pub version: u64,
    /// The hosts; `None` if the version is the one that the reader has.
    pub hosts: Option<Vec<Host>>,
}

/// The transactional table service.
pub trait Table {
    /// Reads rows; absent ones are left out.
    fn read(&self, keys: Vec<String>) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Reads rows whose keys begin with `prefix`, after `after`, in order.
    fn scan(
        &self,
        prefix: String,
        after: String,
        limit: u32,
    ) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Commits a transaction; gives the version of the rows written.
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<u64, WriteError>> + Send;
}

/// The object store.
pub trait Objects {
    /// Writes an object; writing the same twice is the same as once.
    fn put(&self, name: &str, data: Vec<u8>) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads an object; `None` if there is none.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>, Error>> + Send;

    /// Names that begin with `prefix`, in order.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, Error>> + Send;
}

/// The host list.
pub trait Hosts {
    /// Reads the list if it is newer than `have`.
    fn hosts(&self, known_version: u64) -> impl Future<Output = Result<HostList, Error>> + Send;
}
