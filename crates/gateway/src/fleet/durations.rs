//! How long answers take past the estimate of their first byte, learned from whole ones.
//!
//! A process that is stopping takes a request only if its answer will end before the
//! process does. The mean doesn't help there: each answer that takes longer is cut off. So
//! the slowest answer of about the same length in the last minutes stands for the next one.
//! What a stop may cut off then are the answers of its last seconds that are slower than all
//! of these minutes, which is rare whatever the rate.

mod snapshot;

pub use snapshot::{DurationSnapshot, RouteSnapshot, WindowSnapshot};

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time in which answers count, in windows that are forgotten one by one: long against the
/// seconds of a stop, and no longer than load and fleet stay about the same.
const WINDOW: Duration = Duration::from_secs(30);
const WINDOWS: usize = 10;
/// Answers from which a bound is taken, at least: of fewer the slowest tells little. Rare
/// lengths borrow those of the lengths next to them.
const MIN_ANSWERS: usize = 16;
/// What is added to the slowest answer, as a share: clients' estimates of lengths are often
/// far off, and the next answer may be slower still.
const MARGIN: f64 = 0.3;
/// The same for answers that were watched for a short time only, divided by that time: the
/// seconds of a stop in which an answer slower than all before would be cut off. Answers of a
/// length that were watched for less say nothing, however many they are; just past it the
/// whole is added, after a minute next to nothing.
const MIN_OBSERVED: Duration = Duration::from_secs(5);
/// Time taken for granted while too few answers were seen: a part for each, and one for each
/// token that an answer may have, the pace that the product promises for 95 in 100 tokens.
const DEFAULT_BASE: Duration = Duration::from_secs(1);
/// The same for an answer of which the route alone is known: until its request's own time is
/// over.
const DEFAULT_PLAIN: Duration = Duration::MAX;
const DEFAULT_PER_TOKEN: Duration = Duration::from_millis(25);
/// Longest answers that have a class of their own: 2^16 tokens.
const MAX_LENGTH_BITS: u32 = 17;
const CLASSES: usize = MAX_LENGTH_BITS as usize;
/// Routes that are kept of one service. Configurations come and go; past this many all
/// are learned anew.
const MAX_ROUTES: usize = 1024;

/// What is known of an answer's length before it comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// Another's than an engine's: its route alone says something.
    Plain {
        /// Hash of the route's name.
        route: u64,
    },
    /// An engine's answer.
    Tokens {
        /// Tokens that the client expects.
        expected: u32,
        /// The most that it may have.
        max: u32,
    },
}

/// How long answers of one service take, by their length.
#[derive(Debug, Default)]
pub struct Durations {
    /// Engines' answers, by class of length; see [`class`].
    classes: Vec<Samples>,
    /// Others, sorted by route.
    routes: Vec<RouteSamples>,
}

/// Answers of one route.
#[derive(Debug)]
struct RouteSamples {
    route: u64,
    answers: Samples,
}

/// Answers of one class.
#[derive(Debug, Default)]
struct Samples {
    /// The last windows, the newest first.
    windows: VecDeque<Window>,
    /// When those came that are being streamed now: a process that has just started has
    /// seen the end of short answers only.
    running: Vec<Instant>,
}

/// Answers that ended in a span of time.
#[derive(Debug, Clone, Copy)]
struct Window {
    since: Instant,
    count: usize,
    slowest: Duration,
}

/// A class that tells something of another.
#[derive(Debug, Clone, Copy)]
struct SimilarClass {
    class: usize,
    /// How many times longer than its answers those of the other class may be.
    factor: u32,
}

impl Durations {
    /// Notes a whole answer that ended now, so long after the estimate of its first byte.
    pub fn record(&mut self, length: Length, took: Duration, now: Instant) {
        self.samples_mut(length).push(took, now);
    }

    /// Notes that an answer is streamed whose request came at a time.
    pub fn begin(&mut self, length: Length, since: Instant) {
        self.samples_mut(length).running.push(since);
    }

    /// Notes that such an answer has ended, whole or not.
    pub fn end(&mut self, length: Length, since: Instant) {
        let running = &mut self.samples_mut(length).running;
        if let Some(at) = running.iter().position(|s| *s == since) {
            running.swap_remove(at);
        }
    }

    /// How long after the estimate of its first byte an answer ends at the latest, as far as
    /// is known.
    pub fn upper_bound(&self, length: Length, now: Instant) -> Duration {
        let mut count = 0;
        let mut slowest = Duration::ZERO;
        let mut observed_for = Duration::ZERO;
        for (samples, factor) in self.similar_samples(length) {
            count += samples.count(now);
            slowest = slowest.max(samples.slowest(now).saturating_mul(factor));
            observed_for = observed_for.max(samples.observed_for(now));
            if count >= MIN_ANSWERS && observed_for >= MIN_OBSERVED {
                return slowest.mul_f64(margin_factor(observed_for));
            }
        }
        slowest
            .mul_f64(margin_factor(observed_for))
            .max(length.default_duration())
    }

    /// The answers that tell most of one, from the nearest on, and how many times longer than
    /// theirs it may be.
    fn similar_samples(&self, length: Length) -> Vec<(&Samples, u32)> {
        match length {
            Length::Plain { route } => {
                let at = self.routes.binary_search_by_key(&route, |r| r.route);
                at.map_or(Vec::new(), |at| vec![(&self.routes[at].answers, 1)])
            }
            Length::Tokens { expected, .. } => {
                let similar = similar_classes(class(expected)).into_iter();
                similar
                    .filter_map(|n| Some((self.classes.get(n.class)?, n.factor)))
                    .collect()
            }
        }
    }

    fn samples_mut(&mut self, length: Length) -> &mut Samples {
        match length {
            Length::Plain { route } => self.route_samples_mut(route),
            Length::Tokens { expected, .. } => {
                let class = class(expected);
                if self.classes.len() <= class {
                    self.classes.resize_with(class + 1, Samples::default);
                }
                &mut self.classes[class]
            }
        }
    }

    fn route_samples_mut(&mut self, route: u64) -> &mut Samples {
        let at = match self.routes.binary_search_by_key(&route, |r| r.route) {
            Ok(at) => at,
            Err(_) if self.routes.len() >= MAX_ROUTES => {
                self.routes.clear();
                return self.route_samples_mut(route);
            }
            Err(at) => {
                let answers = Samples::default();
                self.routes.insert(at, RouteSamples { route, answers });
                at
            }
        };
        &mut self.routes[at].answers
    }
}

impl Samples {
    fn push(&mut self, took: Duration, now: Instant) {
        let newest = self.windows.front_mut();
        match newest.filter(|w| now.saturating_duration_since(w.since) < WINDOW) {
            Some(window) => {
                window.count += 1;
                window.slowest = window.slowest.max(took);
            }
            None => {
                self.windows.truncate(WINDOWS - 1);
                self.windows.push_front(Window {
                    since: now,
                    count: 1,
                    slowest: took,
                });
            }
        }
    }

    /// The windows that still count.
    fn current_windows(&self, now: Instant) -> impl Iterator<Item = &Window> {
        let oldest = WINDOW * WINDOWS as u32;
        let age = move |w: &Window| now.saturating_duration_since(w.since);
        self.windows.iter().filter(move |w| age(w) < oldest)
    }

    /// For how long they were watched.
    fn observed_for(&self, now: Instant) -> Duration {
        let oldest = self.current_windows(now).last();
        oldest.map_or(Duration::ZERO, |w| now.saturating_duration_since(w.since))
    }

    fn count(&self, now: Instant) -> usize {
        self.current_windows(now).map(|w| w.count).sum()
    }

    /// The slowest of the latest answers and of those that still run.
    fn slowest(&self, now: Instant) -> Duration {
        let running = self.running.iter();
        let running = running.map(|since| now.saturating_duration_since(*since));
        let all = self.current_windows(now).map(|w| w.slowest).chain(running);
        all.max().unwrap_or_default()
    }
}

impl Length {
    /// What is taken for granted of it while too little is known.
    fn default_duration(self) -> Duration {
        match self {
            Self::Plain { .. } => DEFAULT_PLAIN,
            Self::Tokens { expected, max } => {
                DEFAULT_BASE + DEFAULT_PER_TOKEN.saturating_mul(expected.max(max))
            }
        }
    }
}

/// How many times longer than the slowest answer the next may take, where they were watched for
/// a time.
fn margin_factor(observed_for: Duration) -> f64 {
    1.0 + MARGIN + MIN_OBSERVED.as_secs_f64() / observed_for.max(MIN_OBSERVED).as_secs_f64()
}

/// Class of an engine's answer: those of one class differ in their expected length by less
/// than a factor of two.
fn class(tokens: u32) -> usize {
    let bits = u32::BITS - tokens.max(1).leading_zeros();
    bits.min(MAX_LENGTH_BITS) as usize - 1
}

/// A class and those that tell something of it, from the nearest on: each is twice as long
/// as the one before, and longer answers take no less.
fn similar_classes(wanted: usize) -> Vec<SimilarClass> {
    let mut all = vec![SimilarClass {
        class: wanted,
        factor: 1,
    }];
    for step in 1..CLASSES {
        if let Some(class) = wanted.checked_sub(step) {
            let factor = 1 << step;
            all.push(SimilarClass { class, factor });
        }
        let class = wanted + step;
        if class < CLASSES {
            all.push(SimilarClass { class, factor: 1 });
        }
    }
    all
}
