//! A fake host list whose readers see changes late.

use crate::fault::FaultInjector;
use crate::serve::{Call, FakeServer, json, status};
use hyper::{Method, Response, StatusCode};
use net::Body;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use store::http::PATH_HOSTS;
use store::{Host, HostList, HostState};

/// A host list that is changed by `POST /set` with a [`Host`].
#[derive(Debug)]
pub struct FakeHostList {
    injector: FaultInjector,
    lag: Duration,
    changes: Mutex<Vec<(Instant, Host)>>,
}

impl FakeHostList {
    /// Creates an empty list whose readers see each change after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            injector: FaultInjector::default(),
            lag,
            changes: Mutex::default(),
        }
    }

    fn visible_list(&self) -> HostList {
        let changes = self.changes.lock().expect("no panic while locked");
        let mut hosts: Vec<Host> = Vec::new();
        let mut version = 1;
        for (_, host) in changes.iter().filter(|(at, _)| at.elapsed() >= self.lag) {
            version += 1;
            hosts.retain(|h| h.name != host.name);
            hosts.push(host.clone());
        }
        HostList {
            version,
            hosts: Some(hosts),
        }
    }

    /// Sets a host's state.
    pub fn set(&self, name: &str, state: HostState) {
        let host = Host {
            name: name.to_owned(),
            state,
        };
        self.changes
            .lock()
            .expect("no panic while locked")
            .push((Instant::now(), host));
    }
}

impl FakeServer for FakeHostList {
    fn injector(&self) -> &FaultInjector {
        &self.injector
    }

    async fn answer(self: Arc<Self>, call: Call) -> Response<Body> {
        match (call.method.clone(), call.path.as_str()) {
            (Method::POST, "/set") => {
                let Some(host) = call.json::<Host>() else {
                    return status(StatusCode::BAD_REQUEST);
                };
                self.set(&host.name, host.state);
                status(StatusCode::OK)
            }
            (Method::GET, PATH_HOSTS) => {
                let mut list = self.visible_list();
                if call.query.parse() == Ok(list.version) {
                    list.hosts = None;
                }
                json(&list)
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}
