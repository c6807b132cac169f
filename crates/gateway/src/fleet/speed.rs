//! How long engines take to the first byte, learned from first bytes.
//!
//! The time is taken as linear in what an engine has to do until then: a fixed
//! part, which prompts spend side by side; a part for each prompt, and one for
//! each uncached token, which they spend one after the other; and a part for each
//! turn of its slots, if all are taken. Old samples fade, and start values stand
//! in until there are some.

/// How much of the old samples is left after each new one: some 300 samples
/// count, a few seconds at a busy process.
const FADE: f64 = 0.997;
/// Weight of the start values, in samples. They never fade, so that a quiet hour
/// doesn't leave the line undetermined.
const PRIOR: f64 = 4.0;
/// Bounds of the time for each prompt, in milliseconds.
const PER_PROMPT: (f64, f64) = (0.0, 50.0);
/// Bounds of the time for each token: 5 to 5,000 tokens a millisecond.
const PER_TOKEN: (f64, f64) = (0.0002, 0.2);
/// Bounds of the time for each turn of the slots, in milliseconds.
const PER_TURN: (f64, f64) = (0.0, 200.0);
/// Weight of the newest sample in an upstream's own slowdown.
const NEWEST: f64 = 0.1;
/// Bounds of the slowdown: one sample must not close an upstream, and a fast
/// one gets no more than its queue allows.
const SLOWDOWN: (f64, f64) = (0.7, 12.0);

/// What an engine is given to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Task {
    /// Read the prompt and generate the answer.
    Generate,
    /// Read the prompt only; another engine generates.
    Prefill,
    /// Generate the answer from the KV cache that another engine holds.
    Take,
}

/// What an engine has to do until a first byte.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work {
    /// Prompts ahead.
    pub prompts: f64,
    /// Uncached tokens, those of the prompts ahead included.
    pub tokens: f64,
    /// How often the slots that no long answer holds change hands until one is
    /// free; 0 if one is free now.
    pub turns: f64,
}

/// Unknowns of the line.
const PARTS: usize = 4;
type Row = [f64; PARTS];

/// Time to the first byte over the work until then.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    start: Line,
    /// Sums of products of the samples: of (1, prompts, tokens, turns) with each
    /// other, and with the times.
    squares: [Row; PARTS],
    times: Row,
    line: Line,
}

/// The time's parts, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Line {
    fixed: f64,
    per_prompt: f64,
    per_token: f64,
    per_turn: f64,
}

impl Line {
    fn at(&self, work: Work) -> f64 {
        let reading = self.per_prompt * work.prompts + self.per_token * work.tokens;
        self.fixed + reading + self.per_turn * work.turns
    }
}

impl Speed {
    /// The start values for a task. Engines that only read are taken to read 150
    /// tokens a ms, by the geometric mean of the slowest and the fastest that the
    /// users have (37 and 940), others half of it. With 600, the first second
    /// sent slow engines a queue of 2 s. A KV cache takes some 4 ms to fetch.
    pub fn of(task: Task) -> Self {
        let (fixed, per_token) = match task {
            Task::Generate => (10.0, 1.0 / 75.0),
            Task::Prefill => (10.0, 1.0 / 150.0),
            Task::Take => (8.0, 1.0 / 300.0),
        };
        Self::new(Line {
            fixed,
            per_prompt: 5.0,
            per_token,
            per_turn: 30.0,
        })
    }

    fn new(start: Line) -> Self {
        Self {
            start,
            squares: [[0.0; PARTS]; PARTS],
            times: [0.0; PARTS],
            line: start,
        }
    }

    /// Notes a first byte that came after so much work.
    pub fn sample(&mut self, work: Work, ms: f64) {
        let x = scaled(work);
        for (row, x_row) in self.squares.iter_mut().zip(x) {
            for (sum, x) in row.iter_mut().zip(x) {
                *sum = *sum * FADE + x_row * x;
            }
        }
        // What counts is how far the samples are from the start values.
        let off = ms - self.start.at(work);
        for (sum, x) in self.times.iter_mut().zip(x) {
            *sum = *sum * FADE + x * off;
        }
        self.line = self.fit();
    }

    /// Estimated time to a first byte after so much work, in milliseconds.
    pub fn estimate(&self, work: Work) -> f64 {
        self.line.at(work)
    }

    /// Least squares, drawn towards the start values by their weight.
    fn fit(&self) -> Line {
        let mut rows = self.squares;
        for (at, row) in rows.iter_mut().enumerate() {
            row[at] += PRIOR;
        }
        let Some(off) = solve(rows, self.times) else {
            return self.line;
        };
        let start = self.start;
        let per_prompt = start.per_prompt + off[1];
        let per_token = start.per_token + off[2] / TOKENS;
        let per_turn = start.per_turn + off[3];
        Line {
            fixed: (start.fixed + off[0]).max(0.0),
            per_prompt: per_prompt.clamp(PER_PROMPT.0, PER_PROMPT.1),
            per_token: per_token.clamp(PER_TOKEN.0, PER_TOKEN.1),
            per_turn: per_turn.clamp(PER_TURN.0, PER_TURN.1),
        }
    }
}

/// Tokens are counted in thousands for the fit, so that all weights are alike.
const TOKENS: f64 = 1000.0;

fn scaled(work: Work) -> Row {
    [1.0, work.prompts, work.tokens / TOKENS, work.turns]
}

/// Solves linear equations by Gaussian elimination; none if they are dependent.
/// The rows are symmetric and positive, so no pivots are swapped.
fn solve(mut rows: [Row; PARTS], mut y: Row) -> Option<Row> {
    for at in 0..PARTS {
        let pivot = rows[at];
        if pivot[at] < f64::EPSILON {
            return None;
        }
        for below in at + 1..PARTS {
            let factor = rows[below][at] / pivot[at];
            for (x, p) in rows[below].iter_mut().zip(pivot).skip(at) {
                *x -= factor * p;
            }
            y[below] -= factor * y[at];
        }
    }
    let mut out = [0.0; PARTS];
    for at in (0..PARTS).rev() {
        let known: f64 = (at + 1..PARTS).map(|i| rows[at][i] * out[i]).sum();
        out[at] = (y[at] - known) / rows[at][at];
    }
    Some(out)
}

/// How much slower one upstream is than its kind: the geometric mean of its last
/// first bytes over their estimates. The arithmetic mean would follow a few
/// prompts that waited long at a sound upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Slowdown {
    log: f64,
}

impl Slowdown {
    /// Notes a first byte against what was estimated for its kind.
    pub fn sample(&mut self, ms: f64, estimate: f64) {
        let ratio = (ms / estimate.max(1.0)).clamp(SLOWDOWN.0, SLOWDOWN.1);
        self.log += (ratio.ln() - self.log) * NEWEST;
    }

    /// By how much its estimates are multiplied.
    pub fn factor(&self) -> f64 {
        self.log.exp()
    }
}
