//! Estimates an upper bound of the time that answers take beyond the estimated first byte.
//!
//! A process that is stopping accepts a request only if the answer will end before the process
//! does. A mean is not enough, as each answer that takes longer would be cut off. The bound is
//! therefore taken from the slowest answer of similar length within the last minutes. An answer
//! is cut off only if it is slower than all of these, which is rare at any request rate. Where an
//! answer must never be cut off, the request's own deadline is used instead of this bound; see
//! [`FinishEstimate`](crate::serve::FinishEstimate).

mod snapshot;

pub use snapshot::{DurationSnapshot, RouteSnapshot, WindowSnapshot};

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length and number of the windows in which answers are counted; expired windows are dropped one
/// by one. The total is long compared to the seconds of a stop, and short enough that load and
/// fleet stay about the same.
const WINDOW: Duration = Duration::from_secs(30);
const WINDOWS: usize = 10;
/// Minimum number of answers for a bound, as the slowest of fewer says little. Rare lengths use
/// answers of neighbouring lengths too.
const MIN_ANSWERS: usize = 16;
/// Fraction that is added to the slowest answer. Length hints of clients are often far off, and
/// the next answer may be slower still.
const MARGIN: f64 = 0.3;
/// Minimum time over which answers must be observed, however many there are. The margin grows by
/// this time divided by the observed time: just past the minimum the slowest duration is added
/// once more, after a minute next to nothing. The value matches the seconds of a stop in which an
/// answer slower than all before would be cut off.
const MIN_OBSERVED: Duration = Duration::from_secs(5);
/// Default bound while there are too few answers: a fixed part and a part per output token, which
/// is the pace promised for 95 % of the tokens.
const DEFAULT_BASE: Duration = Duration::from_secs(1);
/// Default bound for an answer of which only the route is known: only the request's own timeout
/// limits it.
const DEFAULT_PLAIN: Duration = Duration::MAX;
const DEFAULT_PER_TOKEN: Duration = Duration::from_millis(25);
/// Number of length classes; the last one begins at 2^16 tokens.
const MAX_LENGTH_BITS: u32 = 17;
const CLASSES: usize = MAX_LENGTH_BITS as usize;
/// Maximum number of routes per service. Routes come and go with configurations; at the limit all
/// samples are dropped.
const MAX_ROUTES: usize = 1024;

/// What is known about an answer's length in advance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// An answer of a plain service, of which only the route is known.
    Plain {
        /// Hash of the route's name.
        route: u64,
    },
    /// An answer of an engine.
    Tokens {
        /// Number of tokens that the client expects.
        expected: u32,
        /// Maximum number of tokens.
        max: u32,
    },
}

/// Upper bound of an answer's duration.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Maximum time from the estimated first byte to the end.
    pub duration: Duration,
    /// Number of observed answers that the bound is based on.
    pub answers: usize,
    /// Time over which these answers were observed.
    pub observed_for: Duration,
}

/// Durations of the answers of one service, grouped by length.
#[derive(Debug, Default)]
pub struct Durations {
    /// Answers of engines, by length class; see [`class`].
    classes: Vec<Samples>,
    /// Answers of plain services, sorted by route.
    routes: Vec<RouteSamples>,
}

/// Answers of one route.
#[derive(Debug)]
struct RouteSamples {
    route: u64,
    answers: Samples,
}

/// Summary of one or more [`Samples`].
#[derive(Debug, Clone, Copy, Default)]
struct SampleSummary {
    /// Duration of the slowest answer.
    slowest: Duration,
    answers: usize,
    /// Time over which the answers were observed.
    observed_for: Duration,
}

/// Answers of one length class or route.
#[derive(Debug, Default)]
struct Samples {
    /// Most recent windows, newest first.
    windows: VecDeque<Window>,
    /// Times at which the requests of unfinished streams were received. Without them, a newly
    /// started process would know only short answers.
    running: Vec<Instant>,
}

/// Answers that ended within one time window.
#[derive(Debug, Clone, Copy)]
struct Window {
    since: Instant,
    count: usize,
    slowest: Duration,
}

/// A length class whose answers are used for another class.
#[derive(Debug, Clone, Copy)]
struct SimilarClass {
    class: usize,
    /// Factor by which the answers' durations are multiplied for the other class.
    factor: u32,
}

impl Durations {
    /// Records a complete answer that ended now; `took` counts from the estimated first byte.
    pub fn record(&mut self, length: Length, took: Duration, now: Instant) {
        self.samples_mut(length).push(took, now);
    }

    /// Records the start of a streamed answer; `since` is the time at which the request was
    /// received.
    pub fn begin(&mut self, length: Length, since: Instant) {
        self.samples_mut(length).running.push(since);
    }

    /// Records the end of a streamed answer, complete or not.
    pub fn end(&mut self, length: Length, since: Instant) {
        let running = &mut self.samples_mut(length).running;
        if let Some(at) = running.iter().position(|s| *s == since) {
            running.swap_remove(at);
        }
    }

    /// Upper bound of the time from the estimated first byte to the end of an answer.
    pub fn upper_bound(&self, length: Length, now: Instant) -> Duration {
        self.bound(length, now).duration
    }

    /// Like [`Self::upper_bound`], with the number of observed answers that it is based on and the
    /// time over which they were observed.
    pub fn bound(&self, length: Length, now: Instant) -> Bound {
        let similar = self.summarize_similar(length, now);
        let margin = 1.0 + MARGIN + observation_margin(similar.observed_for);
        let duration = similar.slowest.mul_f64(margin);
        Bound {
            duration: match similar.is_sufficient() {
                true => duration,
                false => duration.max(length.default_duration()),
            },
            answers: similar.answers,
            observed_for: similar.observed_for,
        }
    }

    /// Summarizes similar answers, most similar first, until they suffice for a bound.
    fn summarize_similar(&self, length: Length, now: Instant) -> SampleSummary {
        let mut summary = SampleSummary::default();
        for (samples, factor) in self.similar_samples(length) {
            summary.add(samples, factor, now);
            if summary.is_sufficient() {
                break;
            }
        }
        summary
    }

    /// Samples that apply to an answer, most similar first, with factors for their durations.
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

impl SampleSummary {
    /// Adds samples with their durations multiplied by `factor`.
    fn add(&mut self, samples: &Samples, factor: u32, now: Instant) {
        let duration = samples.slowest(now).saturating_mul(factor);
        self.slowest = self.slowest.max(duration);
        self.answers += samples.count(now);
        self.observed_for = self.observed_for.max(samples.observed_for(now));
    }

    /// Whether the answers suffice for a bound.
    fn is_sufficient(&self) -> bool {
        self.answers >= MIN_ANSWERS && self.observed_for >= MIN_OBSERVED
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

    /// Windows that have not expired.
    fn current_windows(&self, now: Instant) -> impl Iterator<Item = &Window> {
        let oldest = WINDOW * WINDOWS as u32;
        let age = move |w: &Window| now.saturating_duration_since(w.since);
        self.windows.iter().filter(move |w| age(w) < oldest)
    }

    /// Time since the start of the oldest window.
    fn observed_for(&self, now: Instant) -> Duration {
        let oldest = self.current_windows(now).last();
        oldest.map_or(Duration::ZERO, |w| now.saturating_duration_since(w.since))
    }

    fn count(&self, now: Instant) -> usize {
        self.current_windows(now).map(|w| w.count).sum()
    }

    /// Slowest of the recent answers and of those that are still running.
    fn slowest(&self, now: Instant) -> Duration {
        let running = self.running.iter();
        let running = running.map(|since| now.saturating_duration_since(*since));
        let all = self.current_windows(now).map(|w| w.slowest).chain(running);
        all.max().unwrap_or_default()
    }
}

impl Length {
    /// Bound that is used while there are too few samples.
    fn default_duration(self) -> Duration {
        match self {
            Self::Plain { .. } => DEFAULT_PLAIN,
            Self::Tokens { expected, max } => {
                DEFAULT_BASE + DEFAULT_PER_TOKEN.saturating_mul(expected.max(max))
            }
        }
    }
}

/// Fraction that is added to the slowest answer because of a short observation time.
fn observation_margin(observed_for: Duration) -> f64 {
    MIN_OBSERVED.as_secs_f64() / observed_for.max(MIN_OBSERVED).as_secs_f64()
}

/// Length class of an engine's answer. Expected lengths within a class differ by less than a
/// factor of two.
fn class(tokens: u32) -> usize {
    let bits = u32::BITS - tokens.max(1).leading_zeros();
    bits.min(MAX_LENGTH_BITS) as usize - 1
}

/// Classes whose answers apply to a class, most similar first. A class doubles the lengths of the
/// one before it, so durations of shorter classes are scaled up; those of longer classes are
/// upper bounds as they are.
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
