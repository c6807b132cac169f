//! How a site is set up.

use crate::deploy::Deployment;
use fakes::engine::Rates;
use std::path::PathBuf;
use std::time::Duration;

/// How a site is set up.
#[derive(Debug, Clone)]
pub struct Options {
    /// The shipped binary.
    pub binary: PathBuf,
    /// Second number of the loopback addresses.
    pub subnet: u8,
    /// Entries; at most one for each zone of the deployment that has one.
    pub entries: usize,
    /// Documents to serve in place of the deployment's own.
    pub documents: Option<Vec<String>>,
    /// Most workers of each service.
    pub workers: usize,
    /// Rates of the engines.
    pub rates: Rates,
    /// Time that a plain service takes for a call.
    pub plain_service_time: Duration,
    /// Lag of the host list.
    pub host_list_lag: Duration,
    /// Whether entries reach agents through relays that can be cut.
    pub relays: bool,
    /// The field `limits` of all settings, as YAML.
    pub limits: String,
}

impl Options {
    /// A deployment's usual set-up.
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
