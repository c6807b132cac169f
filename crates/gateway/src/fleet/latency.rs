//! How long engines take to the first byte, learned from first bytes.
//!
//! The time is taken as linear in what an engine has to do until then: a fixed
//! part, which prompts spend side by side; a part for each prompt, and one for
//! each uncached token, which they spend one after the other; and a part for each
//! turn of its slots, if all are taken. Old samples fade, and start values stand
//! in until there are some.

/// How much of the old samples is left after each new one: some 300 samples
/// count, a few seconds at a busy process.
const DECAY: f64 = 0.997;
/// Weight of the start values, in samples. They never fade, so that a quiet hour
/// doesn't leave the line undetermined.
const PRIOR_WEIGHT: f64 = 4.0;
/// Bounds of the time for each prompt, in milliseconds.
const PER_PROMPT_RANGE_MS: (f64, f64) = (0.0, 50.0);
/// Bounds of the time for each token: 5 to 5,000 tokens a millisecond.
const PER_TOKEN_RANGE_MS: (f64, f64) = (0.0002, 0.2);
/// Bounds of the time for each turn of the slots, in milliseconds.
const PER_TURNOVER_RANGE_MS: (f64, f64) = (0.0, 200.0);
/// Weight of the newest sample in an upstream's own slowdown.
const SLOWDOWN_SMOOTHING: f64 = 0.1;
/// Bounds of the slowdown: one sample must not close an upstream, and a fast
/// one gets no more than its queue allows.
const SLOWDOWN_RANGE: (f64, f64) = (0.7, 12.0);

/// What an engine is given to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Task {
    /// Read the prompt and generate the answer.
    Generate,
    /// Read the prompt only; another engine generates.
    Prefill,
    /// Generate the answer from the KV cache that another engine holds.
    Decode,
}

/// What an engine has to do until a first byte.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Backlog {
    /// Prompts ahead.
    pub prompts: f64,
    /// Uncached tokens, those of the prompts ahead included.
    pub tokens: f64,
    /// How often the slots that no long answer holds change hands until one is
    /// free; 0 if one is free now.
    pub slot_turnovers: f64,
}

/// Unknowns of the line.
const TERMS: usize = 4;
type Vector = [f64; TERMS];

/// Time to the first byte over the work until then.
#[derive(Debug, Clone, Copy)]
pub struct LatencyModel {
    prior: Coefficients,
    /// Sums of products of the samples: of (1, prompts, tokens, turns) with each
    /// other, and with the times.
    gram: [Vector; TERMS],
    moments: Vector,
    fitted: Coefficients,
}

/// The time's parts, in milliseconds.
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
    /// The start values for a task. Engines that only read are taken to read 150
    /// tokens a ms, by the geometric mean of the slowest and the fastest that the
    /// users have (37 and 940), others half of it. With 600, the first second
    /// sent slow engines a queue of 2 s. A KV cache takes some 4 ms to fetch.
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

    /// Notes a first byte that came after so much work.
    pub fn add_sample(&mut self, backlog: Backlog, ms: f64) {
        let x = features(backlog);
        for (row, x_row) in self.gram.iter_mut().zip(x) {
            for (sum, x) in row.iter_mut().zip(x) {
                *sum = *sum * DECAY + x_row * x;
            }
        }
        // What counts is how far the samples are from the start values.
        let deviation = ms - self.prior.evaluate(backlog);
        for (sum, x) in self.moments.iter_mut().zip(x) {
            *sum = *sum * DECAY + x * deviation;
        }
        self.fitted = self.fit();
    }

    /// Estimated time to a first byte after so much work, in milliseconds.
    pub fn estimate(&self, backlog: Backlog) -> f64 {
        self.fitted.evaluate(backlog)
    }

    /// Least squares, drawn towards the start values by their weight.
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

/// Tokens are counted in thousands for the fit, so that all weights are alike.
const TOKEN_SCALE: f64 = 1000.0;

fn features(backlog: Backlog) -> Vector {
    [
        1.0,
        backlog.prompts,
        backlog.tokens / TOKEN_SCALE,
        backlog.slot_turnovers,
    ]
}

/// Solves linear equations by Gaussian elimination; none if they are dependent.
/// The rows are symmetric and positive, so no pivots are swapped.
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

/// How much slower one upstream is than its kind: the geometric mean of its last
/// first bytes over their estimates. The arithmetic mean would follow a few
/// prompts that waited long at a sound upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Slowdown {
    log_mean: f64,
}

impl Slowdown {
    /// Notes a first byte against what was estimated for its kind.
    pub fn add_sample(&mut self, ms: f64, estimate: f64) {
        let ratio = (ms / estimate.max(1.0)).clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.log_mean += (ratio.ln() - self.log_mean) * SLOWDOWN_SMOOTHING;
    }

    /// By how much its estimates are multiplied.
    pub fn factor(&self) -> f64 {
        self.log_mean.exp()
    }
}
