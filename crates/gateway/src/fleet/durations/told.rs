//! What a process takes from others of how long answers take: when it has just started, and
//! when it stops.
//!
//! One that has just started has seen seconds of them, others up to five minutes; and each has
//! seen its own share only. What a stopping process would take on by its own few answers
//! alone was cut off now and then.

use super::{Class, Durations, WINDOW, WINDOWS, Window};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// How long answers of one service take, as one process has seen it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Name of the service.
    pub service: String,
    /// Engines' answers, the shortest class first.
    pub classes: Vec<Vec<WindowTold>>,
    /// Others.
    pub routes: Vec<RouteTold>,
}

/// Answers of one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTold {
    /// Hash of the route's name.
    pub route: u64,
    /// Its answers.
    pub windows: Vec<WindowTold>,
}

/// Answers that ended in a span of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowTold {
    /// How long ago the span began, in milliseconds.
    pub age_ms: u32,
    /// How many answers.
    pub count: u32,
    /// The slowest, in milliseconds.
    pub slowest_ms: u32,
}

impl Durations {
    /// What others may take of it; none if no answer was seen.
    pub fn told(&self, service: &str, now: Instant) -> Option<Told> {
        let routes = self.routes.iter().map(|route| RouteTold {
            route: route.name,
            windows: route.answers.told(now),
        });
        let told = Told {
            service: service.to_owned(),
            classes: self.classes.iter().map(|class| class.told(now)).collect(),
            routes: routes.collect(),
        };
        let routes = told.routes.iter().map(|route| &route.windows);
        let mut all = told.classes.iter().chain(routes);
        all.any(|windows| !windows.is_empty()).then_some(told)
    }

    /// Takes what another has seen beside its own.
    pub fn take(&mut self, told: &Told, now: Instant) {
        let classes = told.classes.iter().take(super::CLASSES);
        for (class, windows) in classes.enumerate() {
            if self.classes.len() <= class {
                self.classes.resize_with(class + 1, Class::default);
            }
            self.classes[class].take(windows, now);
        }
        for route in told.routes.iter().take(super::MAX_ROUTES) {
            self.route_mut(route.route).take(&route.windows, now);
        }
    }
}

impl Class {
    fn told(&self, now: Instant) -> Vec<WindowTold> {
        let windows = self.latest(now).map(|window| WindowTold {
            age_ms: millis(now.saturating_duration_since(window.since)),
            count: u32::try_from(window.count).unwrap_or(u32::MAX),
            slowest_ms: millis(window.slowest),
        });
        windows.collect()
    }

    /// Adds windows, as many as one process keeps. Those of about the same time as one of its
    /// own become one with it, so that what is taken again changes nothing.
    fn take(&mut self, told: &[WindowTold], now: Instant) {
        for window in told.iter().take(WINDOWS) {
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
