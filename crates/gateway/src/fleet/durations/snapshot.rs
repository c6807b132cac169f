//! What a process takes from others of how long answers take: when it has just started, and
//! when it stops.
//!
//! One that has just started has seen seconds of them, others up to five minutes; and each has
//! seen its own share only. What a stopping process would take on by its own few answers
//! alone was cut off now and then.

use super::{Durations, Samples, WINDOW, WINDOWS, Window};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// How long answers of one service take, as one process has seen it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurationSnapshot {
    /// Name of the service.
    pub service: String,
    /// Engines' answers, the shortest class first.
    pub classes: Vec<Vec<WindowSnapshot>>,
    /// Others.
    pub routes: Vec<RouteSnapshot>,
}

/// Answers of one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSnapshot {
    /// Hash of the route's name.
    pub route: u64,
    /// Its answers.
    pub windows: Vec<WindowSnapshot>,
}

/// Answers that ended in a span of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowSnapshot {
    /// How long ago the span began, in milliseconds.
    pub age_ms: u32,
    /// How many answers.
    pub count: u32,
    /// The slowest, in milliseconds.
    pub slowest_ms: u32,
}

impl Durations {
    /// What others may take of it; none if no answer was seen.
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

    /// Takes what another has seen beside its own.
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

    /// Adds windows, as many as one process keeps. Those of about the same time as one of its
    /// own become one with it, so that what is taken again changes nothing.
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

/// A time so long ago; now, if this host's clock began later.
fn ago(now: Instant, ms: u32) -> Instant {
    now.checked_sub(Duration::from_millis(ms.into()))
        .unwrap_or(now)
}
