//! How long engines take to the first byte, learned from first bytes.
//!
//! The time is taken as linear in what an engine has to read until then: a fixed
//! part, which prompts spend side by side; a part for each prompt, and one for
//! each uncached token, which they spend one after the other. Old samples fade,
//! and start values stand in until there are some.

/// How much of the old samples is left after each new one: some 300 samples
/// count, a few seconds at a busy process.
const FADE: f64 = 0.997;
/// Weight of the start values, in samples. They never fade, so that a quiet hour
/// doesn't leave the line undetermined.
const PRIOR: f64 = 4.0;
/// Bounds of the time for each prompt, in milliseconds.
const PER_PROMPT: (f64, f64) = (0.0, 50.0);
/// Bounds of the time for each token: 20 to 5,000 tokens a millisecond.
const PER_TOKEN: (f64, f64) = (0.0002, 0.05);
/// Weight of the newest sample in an upstream's own slowdown.
const NEWEST: f64 = 0.1;
/// Bounds of the slowdown: one sample must not close an upstream, and a fast
/// one gets no more than its queue allows.
const SLOWDOWN: (f64, f64) = (0.7, 12.0);

/// What an engine has to read until a first byte.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work {
    /// Prompts ahead.
    pub prompts: f64,
    /// Uncached tokens, those of the prompts ahead included.
    pub tokens: f64,
}

/// Time to the first byte over the work until then.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    start: Line,
    /// Sums of products of the samples: of (1, prompts, tokens) with each other,
    /// row by row above the diagonal, and with the times.
    squares: [f64; 6],
    times: [f64; 3],
    line: Line,
}

/// The time's parts, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Line {
    fixed: f64,
    per_prompt: f64,
    per_token: f64,
}

impl Line {
    fn at(&self, work: Work) -> f64 {
        self.fixed + self.per_prompt * work.prompts + self.per_token * work.tokens
    }
}

impl Speed {
    /// The start value of an engine that also generates: 300 tokens a ms, a
    /// little below the slowest engine that the users have.
    pub fn decode() -> Self {
        Self::new(1.0 / 300.0)
    }

    /// The start value of an engine that only reads prompts: twice as fast.
    pub fn prefill() -> Self {
        Self::new(1.0 / 600.0)
    }

    fn new(per_token: f64) -> Self {
        let start = Line {
            fixed: 10.0,
            per_prompt: 5.0,
            per_token,
        };
        Self {
            start,
            squares: [0.0; 6],
            times: [0.0; 3],
            line: start,
        }
    }

    /// Notes a first byte that came after so much work.
    pub fn sample(&mut self, work: Work, ms: f64) {
        let x = scaled(work);
        let products = [
            x[0] * x[0],
            x[0] * x[1],
            x[0] * x[2],
            x[1] * x[1],
            x[1] * x[2],
            x[2] * x[2],
        ];
        for (sum, product) in self.squares.iter_mut().zip(products) {
            *sum = *sum * FADE + product;
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
        let [a, b, c, d, e, f] = self.squares;
        let rows = [[a + PRIOR, b, c], [b, d + PRIOR, e], [c, e, f + PRIOR]];
        let Some(off) = solve(rows, self.times) else {
            return self.line;
        };
        let start = self.start;
        let per_prompt = start.per_prompt + off[1];
        let per_token = start.per_token + off[2] / TOKENS;
        Line {
            fixed: (start.fixed + off[0]).max(0.0),
            per_prompt: per_prompt.clamp(PER_PROMPT.0, PER_PROMPT.1),
            per_token: per_token.clamp(PER_TOKEN.0, PER_TOKEN.1),
        }
    }
}

/// Tokens are counted in thousands for the fit, so that all weights are alike.
const TOKENS: f64 = 1000.0;

fn scaled(work: Work) -> [f64; 3] {
    [1.0, work.prompts, work.tokens / TOKENS]
}

/// Solves three linear equations; none if they are dependent.
fn solve(rows: [[f64; 3]; 3], y: [f64; 3]) -> Option<[f64; 3]> {
    let whole = determinant(rows);
    if whole.abs() < f64::EPSILON {
        return None;
    }
    let mut out = [0.0; 3];
    for (column, out) in out.iter_mut().enumerate() {
        let mut replaced = rows;
        for (row, y) in replaced.iter_mut().zip(y) {
            row[column] = y;
        }
        *out = determinant(replaced) / whole;
    }
    Some(out)
}

fn determinant(m: [[f64; 3]; 3]) -> f64 {
    m[0][0] * (m[1][1] * m[2][2] - m[1][2] * m[2][1])
        - m[0][1] * (m[1][0] * m[2][2] - m[1][2] * m[2][0])
        + m[0][2] * (m[1][0] * m[2][1] - m[1][1] * m[2][0])
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
