//! Estimates of the upstream's speed, measured from its responses.
//!
//! There are no built-in defaults: without measurements the expected cost is zero, so the first
//! requests are admitted and measured.

use conf::Class;
use std::sync::Mutex;
use wire::Call;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Minimum prompt length used for the prefill rate, in bytes. For shorter prompts the duration says
/// little about the rate.
const MIN_PREFILL_BYTES: f64 = 256.0;

/// Expected cost of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cost {
    /// Time from the start at the upstream to the first byte, in milliseconds.
    pub first_byte_ms: f64,
    /// Time from the start at the upstream to the end, in milliseconds.
    pub total_ms: f64,
}

/// An exponential moving average.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct MovingAverage {
    value: Option<f64>,
}

impl MovingAverage {
    fn add(&mut self, x: f64) {
        let old = self.value.unwrap_or(x);
        self.value = Some(old + SAMPLE_WEIGHT * (x - old));
    }

    fn get(self) -> f64 {
        self.value.unwrap_or(0.0)
    }
}

#[derive(Debug, Default)]
struct Estimates {
    prefill_ms_per_byte: MovingAverage,
    decode_ms_per_token: MovingAverage,
    plain: Vec<(String, MovingAverage)>,
}

/// Estimated rates of one upstream.
#[derive(Debug, Default)]
pub struct Rates {
    estimates: Mutex<Estimates>,
}

impl Rates {
    /// Expected cost of a call, where `cached_bytes` of the prompt need no prefill.
    pub fn cost(&self, class: &Class, call: &Call, cached_bytes: usize) -> Cost {
        match call {
            Call::Completion(c) => {
                let prefill_bytes = c.prompt.len().saturating_sub(cached_bytes);
                self.completion_cost(prefill_bytes, c.max_tokens.saturating_sub(c.resume_from))
            }
            Call::Plain(_) => self.plain_cost(&class.name),
        }
    }

    /// Expected cost of the prefill of so many bytes and the decoding of so many tokens.
    pub fn completion_cost(&self, prefill_bytes: usize, tokens: u32) -> Cost {
        let estimates = self.estimates.lock().expect("no panic while locked");
        let first_byte_ms = estimates.prefill_ms_per_byte.get() * prefill_bytes as f64;
        Cost {
            first_byte_ms,
            total_ms: first_byte_ms + estimates.decode_ms_per_token.get() * f64::from(tokens),
        }
    }

    /// Expected cost of a plain call of a class.
    pub fn plain_cost(&self, class: &str) -> Cost {
        let estimates = self.estimates.lock().expect("no panic while locked");
        let at = estimates
            .plain
            .binary_search_by(|(name, _)| name.as_str().cmp(class));
        let ms = at.map_or(0.0, |i| estimates.plain[i].1.get());
        Cost {
            first_byte_ms: ms,
            total_ms: ms,
        }
    }

    /// Records the prefill of so many uncached bytes, and its duration.
    pub fn record_prefill(&self, bytes: usize, ms: f64) {
        let mut estimates = self.estimates.lock().expect("no panic while locked");
        estimates
            .prefill_ms_per_byte
            .add(ms / (bytes as f64).max(MIN_PREFILL_BYTES));
    }

    /// Records the decoding of so many tokens, and its duration.
    pub fn record_decode(&self, tokens: u32, ms: f64) {
        if tokens == 0 {
            return;
        }
        let mut estimates = self.estimates.lock().expect("no panic while locked");
        estimates.decode_ms_per_token.add(ms / f64::from(tokens));
    }

    /// Records the duration of a plain call of a class.
    pub fn record_plain(&self, class: &str, ms: f64) {
        let mut estimates = self.estimates.lock().expect("no panic while locked");
        match estimates
            .plain
            .binary_search_by(|(name, _)| name.as_str().cmp(class))
        {
            Ok(i) => estimates.plain[i].1.add(ms),
            Err(i) => {
                let mut average = MovingAverage::default();
                average.add(ms);
                estimates.plain.insert(i, (class.to_owned(), average));
            }
        }
    }
}
