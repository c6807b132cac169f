//! Options of a site.

use crate::deploy::Deployment;
use fakes::engine::Rates;
use std::path::PathBuf;
use std::time::Duration;

/// Options of a site.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the arbutusquay binary.
    pub binary: PathBuf,
    /// Second octet of the loopback addresses.
    pub subnet: u8,
    /// Number of entries; at most the number of zones with an entry.
    pub entries: usize,
    /// Documents to use instead of those of the deployment.
    pub documents: Option<Vec<String>>,
    /// Maximum number of workers per service.
    pub workers: usize,
    /// Rates of the engines.
    pub rates: Rates,
    /// Time that a plain service takes per request.
    pub plain_service_time: Duration,
    /// Lag of the host list.
    pub host_list_lag: Duration,
    /// Whether entries reach agents through relays.
    pub relays: bool,
    /// Field `limits` of all settings files, as YAML.
    pub limits: String,
}

impl Options {
    /// Default options of a deployment.
    pub fn new(binary: PathBuf, deployment: Deployment) -> Self {
        Self {
            binary,
            subnet: deployment.subnet(),
            entries: deployment.entry_zones().len(),
            documents: None,
            workers: usize::MAX,
            rates: Rates {
                fencing: deployment == Deployment::Sleutelbos,
                ..Rates::default()
            },
            plain_service_time: Duration::from_millis(3),
            host_list_lag: Duration::from_millis(500),
            relays: false,
            limits: "{record_flush: 1s, doc_poll: 1s, linger: 500ms, lease: 3s}".to_owned(),
        }
    }
}
