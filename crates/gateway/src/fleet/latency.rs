//! Predicts engines' time to the first byte by an online linear regression.
//!
//! The model has a fixed part, which concurrent prompts spend in parallel; a part for each queued
//! prompt and for each uncached token, which are processed in sequence; and a part for each
//! turnover of the engine's slots if all are taken. Old samples decay, and prior coefficients are
//! used until there are samples.

use crate::monotonic;
use std::time::Instant;

/// Weight of the old samples after each new one. About 300 samples count, a few seconds' worth at
/// a busy process.
const DECAY: f64 = 0.997;
/// Weight of the prior coefficients, in samples. It doesn't decay, so that the model stays
/// determined when there are few requests.
const PRIOR_WEIGHT: f64 = 4.0;
/// Range of the time per prompt, in milliseconds.
const PER_PROMPT_RANGE_MS: (f64, f64) = (0.0, 50.0);
/// Range of the time per token: 5 to 5,000 tokens per millisecond.
const PER_TOKEN_RANGE_MS: (f64, f64) = (0.0002, 0.2);
/// Range of the time per slot turnover, in milliseconds.
const PER_TURNOVER_RANGE_MS: (f64, f64) = (0.0, 200.0);
/// Weight of the newest sample in an upstream's slowdown.
const SLOWDOWN_SMOOTHING: f64 = 0.1;
/// Range of the slowdown. A single sample must not exclude an upstream, and a fast upstream must
/// not get more requests than its queue allows.
const SLOWDOWN_RANGE: (f64, f64) = (0.7, 12.0);
/// Logarithm of the slowdown above which it decays without samples, and the half-life.
const SLOW_LOG_MEAN: f64 = 0.4;
const SLOWDOWN_HALF_LIFE_S: f64 = 2.0;

/// Task that an engine has to perform for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Task {
    /// Prefill the prompt and generate the answer.
    Generate,
    /// Prefill the prompt only; another engine generates the answer.
    Prefill,
    /// Generate the answer from a KV cache on another engine.
    Decode,
}

/// Work of an engine that precedes a first byte.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backlog {
    /// Number of queued prompts.
    pub prompts: f64,
    /// Uncached tokens, including those of the queued prompts.
    pub tokens: f64,
    /// How many times the slots without long answers have to become free until one is available;
    /// 0 if one is free now.
    pub slot_turnovers: f64,
}

/// Number of coefficients.
const TERMS: usize = 4;
type Vector = [f64; TERMS];

/// Linear model of the time to the first byte as a function of the backlog.
#[derive(Debug, Clone, Copy)]
pub struct LatencyModel {
    prior: Coefficients,
    /// Decayed sums over the samples for the normal equations: products of the features (1,
    /// prompts, tokens, slot turnovers) with each other, and with the deviations from the prior.
    gram: [Vector; TERMS],
    moments: Vector,
    fitted: Coefficients,
}

/// Coefficients of the model, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Coefficients {
    fixed: f64,
    per_prompt: f64,
    per_token: f64,
    per_turnover: f64,
}

impl Coefficients {
    fn evaluate(&self, backlog: Backlog) -> f64 {
        let sequential = self.per_prompt * backlog.prompts + self.per_token * backlog.tokens;
        self.fixed + sequential + self.per_turnover * backlog.slot_turnovers
    }
}

impl LatencyModel {
    /// Model with the prior coefficients for a task. Prefill-only engines are assumed to prefill
    /// 150 tokens per ms, about the geometric mean of the slowest and the fastest engines in use
    /// (37 and 940), others half of that. With 600, slow engines built up a queue of 2 s within
    /// the first second. Fetching a KV cache takes about 4 ms.
    pub fn for_task(task: Task) -> Self {
        let (fixed, per_token) = match task {
            Task::Generate => (10.0, 1.0 / 75.0),
            Task::Prefill => (10.0, 1.0 / 150.0),
            Task::Decode => (8.0, 1.0 / 300.0),
        };
        Self::new(Coefficients {
            fixed,
            per_prompt: 5.0,
            per_token,
            per_turnover: 30.0,
        })
    }

    fn new(prior: Coefficients) -> Self {
        Self {
            prior,
            gram: [[0.0; TERMS]; TERMS],
            moments: [0.0; TERMS],
            fitted: prior,
        }
    }

    /// Adds the measured time of a first byte.
    pub fn add_sample(&mut self, backlog: Backlog, ms: f64) {
        let x = features(backlog);
        for (row, x_row) in self.gram.iter_mut().zip(x) {
            for (sum, x) in row.iter_mut().zip(x) {
                *sum = *sum * DECAY + x_row * x;
            }
        }
        // The model is fitted to the deviations from the prior.
        let deviation = ms - self.prior.evaluate(backlog);
        for (sum, x) in self.moments.iter_mut().zip(x) {
            *sum = *sum * DECAY + x * deviation;
        }
        self.fitted = self.fit();
    }

    /// Estimated time to the first byte, in milliseconds.
    pub fn estimate(&self, backlog: Backlog) -> f64 {
        self.fitted.evaluate(backlog)
    }

    /// Least-squares fit, regularized towards the prior.
    fn fit(&self) -> Coefficients {
        let mut rows = self.gram;
        for (at, row) in rows.iter_mut().enumerate() {
            row[at] += PRIOR_WEIGHT;
        }
        let Some(deviation) = solve(rows, self.moments) else {
            return self.fitted;
        };
        let prior = self.prior;
        let per_prompt = prior.per_prompt + deviation[1];
        let per_token = prior.per_token + deviation[2] / TOKEN_SCALE;
        let per_turnover = prior.per_turnover + deviation[3];
        Coefficients {
            fixed: (prior.fixed + deviation[0]).max(0.0),
            per_prompt: per_prompt.clamp(PER_PROMPT_RANGE_MS.0, PER_PROMPT_RANGE_MS.1),
            per_token: per_token.clamp(PER_TOKEN_RANGE_MS.0, PER_TOKEN_RANGE_MS.1),
            per_turnover: per_turnover.clamp(PER_TURNOVER_RANGE_MS.0, PER_TURNOVER_RANGE_MS.1),
        }
    }
}

/// Tokens are counted in thousands for the fit, so that the features have similar magnitudes.
const TOKEN_SCALE: f64 = 1000.0;

fn features(backlog: Backlog) -> Vector {
    [
        1.0,
        backlog.prompts,
        backlog.tokens / TOKEN_SCALE,
        backlog.slot_turnovers,
    ]
}

/// Solves linear equations by Gaussian elimination; `None` if they are dependent. The matrix is
/// symmetric and positive, so no pivoting is needed.
fn solve(mut rows: [Vector; TERMS], mut y: Vector) -> Option<Vector> {
    for at in 0..TERMS {
        let pivot = rows[at];
        if pivot[at] < f64::EPSILON {
            return None;
        }
        for below in at + 1..TERMS {
            let factor = rows[below][at] / pivot[at];
            for (x, p) in rows[below].iter_mut().zip(pivot).skip(at) {
                *x -= factor * p;
            }
            y[below] -= factor * y[at];
        }
    }
    let mut solution = [0.0; TERMS];
    for at in (0..TERMS).rev() {
        let known: f64 = (at + 1..TERMS).map(|i| rows[at][i] * solution[i]).sum();
        solution[at] = (y[at] - known) / rows[at][at];
    }
    Some(solution)
}

/// Slowdown of one upstream relative to its service's model: the geometric mean of recent
/// measured times divided by the estimates. An arithmetic mean would be dominated by a few
/// prompts that waited long at a healthy upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Slowdown {
    log_mean: f64,
    sampled_at: Option<Instant>,
}

impl Slowdown {
    /// Adds a measured time and the estimate for it.
    pub fn add_sample(&mut self, ms: f64, estimate: f64) {
        let ratio = (ms / estimate.max(1.0)).clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        let log_mean = self.current_log_mean();
        self.log_mean = log_mean + (ratio.ln() - log_mean) * SLOWDOWN_SMOOTHING;
        self.sampled_at = Some(monotonic::now());
    }

    /// Factor by which the upstream's estimates are multiplied.
    pub fn factor(&self) -> f64 {
        self.current_log_mean().exp()
    }

    /// Logarithm of the mean. That of a slow upstream decays while it isn't measured, as its
    /// estimates may keep all requests away from it.
    fn current_log_mean(&self) -> f64 {
        match self.sampled_at {
            Some(at) if self.log_mean > SLOW_LOG_MEAN => {
                let half_lives = monotonic::elapsed(at).as_secs_f64() / SLOWDOWN_HALF_LIFE_S;
                self.log_mean * (-half_lives).exp2()
            }
            _ => self.log_mean,
        }
    }
}
