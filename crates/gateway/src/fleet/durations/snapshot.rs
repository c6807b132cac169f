//! Exchanges durations of answers between processes, when one starts or stops.
//!
//! A newly started process has observed answers for seconds only, others for up to five minutes,
//! and each observes only its own share. A stopping process that relied on its own few answers
//! occasionally accepted requests that were cut off.

use super::{Durations, Samples, WINDOW, WINDOWS, Window};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Durations of the answers of one service, as observed by one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurationSnapshot {
    /// Name of the service.
    pub service: String,
    /// Answers of engines, shortest class first.
    pub classes: Vec<Vec<WindowSnapshot>>,
    /// Answers of plain services.
    pub routes: Vec<RouteSnapshot>,
}

/// Answers of one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSnapshot {
    /// Hash of the route's name.
    pub route: u64,
    /// Windows of its answers.
    pub windows: Vec<WindowSnapshot>,
}

/// Answers that ended within one time window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowSnapshot {
    /// Time since the start of the window, in milliseconds.
    pub age_ms: u32,
    /// Number of answers.
    pub count: u32,
    /// Duration of the slowest answer, in milliseconds.
    pub slowest_ms: u32,
}

impl Durations {
    /// Returns the observed durations for other processes; `None` if there are none.
    pub fn snapshot(&self, service: &str, now: Instant) -> Option<DurationSnapshot> {
        let routes = self.routes.iter().map(|route| RouteSnapshot {
            route: route.route,
            windows: route.answers.snapshots(now),
        });
        let snapshot = DurationSnapshot {
            service: service.to_owned(),
            classes: self
                .classes
                .iter()
                .map(|class| class.snapshots(now))
                .collect(),
            routes: routes.collect(),
        };
        let routes = snapshot.routes.iter().map(|route| &route.windows);
        let mut all_windows = snapshot.classes.iter().chain(routes);
        all_windows
            .any(|windows| !windows.is_empty())
            .then_some(snapshot)
    }

    /// Merges durations that another process observed.
    pub fn merge(&mut self, snapshot: &DurationSnapshot, now: Instant) {
        let classes = snapshot.classes.iter().take(super::CLASSES);
        for (class, windows) in classes.enumerate() {
            if self.classes.len() <= class {
                self.classes.resize_with(class + 1, Samples::default);
            }
            self.classes[class].merge(windows, now);
        }
        for route in snapshot.routes.iter().take(super::MAX_ROUTES) {
            self.route_samples_mut(route.route)
                .merge(&route.windows, now);
        }
    }
}

impl Samples {
    fn snapshots(&self, now: Instant) -> Vec<WindowSnapshot> {
        let windows = self.current_windows(now).map(|window| WindowSnapshot {
            age_ms: millis(now.saturating_duration_since(window.since)),
            count: u32::try_from(window.count).unwrap_or(u32::MAX),
            slowest_ms: millis(window.slowest),
        });
        windows.collect()
    }

    /// Merges windows, up to the number that a process keeps. A window that starts at about the
    /// same time as an existing one is combined with it, so that repeated merges have no effect.
    fn merge(&mut self, windows: &[WindowSnapshot], now: Instant) {
        for window in windows.iter().take(WINDOWS) {
            let since = ago(now, window.age_ms);
            let count = window.count as usize;
            let slowest = Duration::from_millis(window.slowest_ms.into());
            let is_same_time = |own: &&mut Window| abs_diff(own.since, since) < WINDOW;
            if let Some(own) = self.windows.iter_mut().find(is_same_time) {
                own.count = own.count.max(count);
                own.slowest = own.slowest.max(slowest);
                continue;
            }
            let at = self.windows.partition_point(|own| own.since > since);
            let window = Window {
                since,
                count,
                slowest,
            };
            self.windows.insert(at, window);
        }
        self.windows.truncate(WINDOWS);
    }
}

fn abs_diff(a: Instant, b: Instant) -> Duration {
    a.saturating_duration_since(b)
        .max(b.saturating_duration_since(a))
}

fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time `ms` milliseconds ago, or now if this host's clock started later.
fn ago(now: Instant, ms: u32) -> Instant {
    now.checked_sub(Duration::from_millis(ms.into()))
        .unwrap_or(now)
}
