//! The retry budget: retries are a bounded part of requests, so that an
//! overload isn't made worse by them.

use std::sync::Mutex;

/// Retries that each request earns.
const PER_REQUEST: f64 = 0.2;
/// Most retries that are saved up.
const MOST: f64 = 50.0;

/// Retries that may be made.
#[derive(Debug)]
pub struct Budget {
    saved: Mutex<f64>,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            saved: Mutex::new(MOST),
        }
    }
}

impl Budget {
    /// Notes a request.
    pub fn earn(&self) {
        let mut saved = self.saved.lock().expect("no panic while locked");
        *saved = (*saved + PER_REQUEST).min(MOST);
    }

    /// Takes a retry, if there is one.
    pub fn spend(&self) -> bool {
        let mut saved = self.saved.lock().expect("no panic while locked");
        let may = *saved >= 1.0;
        if may {
            *saved -= 1.0;
        }
        may
    }
}
