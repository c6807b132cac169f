//! A fake object store.

use crate::fault::FaultInjector;
use crate::serve::{Call, FakeServer, json, status};
use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use net::{Body, full};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use store::http::{PATH_LIST, PATH_OBJECT};

/// An object store that keeps its objects in memory.
#[derive(Debug, Default)]
pub struct FakeObjectStore {
    injector: FaultInjector,
    objects: Mutex<BTreeMap<String, Bytes>>,
    puts: AtomicU64,
}

impl FakeObjectStore {
    fn list(&self, prefix: &str) -> Vec<String> {
        let objects = self.objects.lock().expect("no panic while locked");
        let from = objects.range(prefix.to_owned()..);
        from.map(|(name, _)| name.clone())
            .take_while(|n| n.starts_with(prefix))
            .collect()
    }

    fn get(&self, name: &str) -> Option<Bytes> {
        self.objects
            .lock()
            .expect("no panic while locked")
            .get(name)
            .cloned()
    }

    /// Returns the number of writes so far.
    pub fn puts(&self) -> u64 {
        self.puts.load(Ordering::Relaxed)
    }

    fn put(&self, name: &str, data: Bytes) {
        self.puts.fetch_add(1, Ordering::Relaxed);
        self.objects
            .lock()
            .expect("no panic while locked")
            .insert(name.to_owned(), data);
    }
}

impl FakeServer for FakeObjectStore {
    fn injector(&self) -> &FaultInjector {
        &self.injector
    }

    async fn answer(self: Arc<Self>, call: Call) -> Response<Body> {
        if call.path == PATH_LIST {
            return json(&self.list(&call.query));
        }
        let Some(name) = call.path.strip_prefix(PATH_OBJECT) else {
            return status(StatusCode::NOT_FOUND);
        };
        if call.method == Method::PUT {
            self.put(name, call.body);
            return status(StatusCode::OK);
        }
        match self.get(name) {
            Some(data) => Response::new(full(data)),
            None => status(StatusCode::NOT_FOUND),
        }
    }
}
