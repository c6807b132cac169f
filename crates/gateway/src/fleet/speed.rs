//! How long engines take to read prompts, learned from first bytes.
//!
//! The time to the first byte at an idle engine is taken as a line over the
//! tokens that weren't cached: a fixed part and a part for each token. Old
//! samples fade, and a start value stands in until there are some.

/// How much of the old samples is left after each new one: some 200 samples
/// count, a second or two at a busy entry.
const FADE: f64 = 0.995;
/// Weight of the start value, in samples.
const PRIOR: f64 = 20.0;
/// Spread of the start value's tokens, so that it has a slope.
const PRIOR_TOKENS: f64 = 3000.0;
/// Bounds of the slope, in milliseconds a token: 20 to 5,000 tokens a ms.
const SLOPE: (f64, f64) = (0.0002, 0.05);
/// Weight of the newest sample in an upstream's own slowdown.
const NEWEST: f64 = 0.1;
/// Bounds of the slowdown: one sample must not close an upstream, and a fast
/// one gets no more than its queue allows.
const SLOWDOWN: (f64, f64) = (0.7, 12.0);

/// Time to the first byte at an idle engine, over uncached tokens.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Speed {
    /// The start value of an engine that also generates: 6 ms, and 300 tokens a
    /// ms, a third below the slowest engine that the users have.
    pub fn decode() -> Self {
        Self::line(6.0, 1.0 / 300.0)
    }

    /// The start value of an engine that only reads prompts: twice as fast.
    pub fn prefill() -> Self {
        Self::line(6.0, 1.0 / 600.0)
    }

    fn line(fixed: f64, slope: f64) -> Self {
        let mut speed = Self {
            n: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        for x in [0.0, PRIOR_TOKENS * 2.0] {
            speed.add(x, fixed + slope * x, PRIOR / 2.0);
        }
        speed
    }

    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.n += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }

    /// Notes a first byte from an engine that had nothing else to read.
    pub fn sample(&mut self, tokens: u32, ms: f64) {
        for sum in [
            &mut self.n,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= FADE;
        }
        self.add(f64::from(tokens), ms, 1.0);
    }

    /// Estimated time to read so many tokens, in milliseconds.
    pub fn estimate(&self, tokens: u32) -> f64 {
        let slope = self.slope();
        let fixed = ((self.y - slope * self.x) / self.n).max(0.0);
        fixed + slope * f64::from(tokens)
    }

    fn slope(&self) -> f64 {
        let spread = self.n * self.xx - self.x * self.x;
        let slope = if spread > 0.0 {
            (self.n * self.xy - self.x * self.y) / spread
        } else {
            0.0
        };
        slope.clamp(SLOPE.0, SLOPE.1)
    }
}

/// How much slower one upstream is than its kind.
#[derive(Debug, Clone, Copy)]
pub struct Slowdown {
    factor: f64,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl Slowdown {
    /// Notes a first byte against what was estimated for it.
    pub fn sample(&mut self, ms: f64, estimate: f64) {
        let ratio = (ms / estimate.max(1.0)).clamp(SLOWDOWN.0, SLOWDOWN.1);
        self.factor += (ratio - self.factor) * NEWEST;
    }

    /// By how much its estimates are multiplied.
    pub fn factor(&self) -> f64 {
        self.factor
    }
}
