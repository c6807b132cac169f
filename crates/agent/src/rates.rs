//! Rates of the upstream, learned from its own answers.
//!
//! No figure is built in: until something was measured, the expected time is
//! nothing, and a request is let through to be measured.

use conf::Class;
use std::sync::Mutex;
use wire::Call;

/// Weight of a new measurement in the running mean.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Bytes of a prompt below which its reading time says nothing about the rate.
const MIN_PREFILL_BYTES: f64 = 256.0;

/// What a request is expected to cost.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cost {
    /// Time from its start at the upstream to its first byte, in milliseconds.
    pub first_byte_ms: f64,
    /// Time from its start to its end, in milliseconds.
    pub total_ms: f64,
}

/// A running mean.
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

/// The learned rates.
#[derive(Debug, Default)]
pub struct Rates {
    estimates: Mutex<Estimates>,
}

impl Rates {
    /// Expected cost of a call, of whose prompt `cached` bytes need no reading.
    pub fn cost(&self, class: &Class, call: &Call, cached_bytes: usize) -> Cost {
        match call {
            Call::Completion(c) => {
                let prefill_bytes = c.prompt.len().saturating_sub(cached_bytes);
                self.completion_cost(prefill_bytes, c.max_tokens.saturating_sub(c.resume_from))
            }
            Call::Plain(_) => self.plain_cost(&class.name),
        }
    }

    /// Expected cost of reading so many bytes and writing so many tokens.
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

    /// Learns from a prompt of so many uncached bytes that took so long to read.
    pub fn record_prefill(&self, bytes: usize, ms: f64) {
        let mut estimates = self.estimates.lock().expect("no panic while locked");
        estimates
            .prefill_ms_per_byte
            .add(ms / (bytes as f64).max(MIN_PREFILL_BYTES));
    }

    /// Learns from so many tokens that took so long to write.
    pub fn record_decode(&self, tokens: u32, ms: f64) {
        if tokens == 0 {
            return;
        }
        let mut estimates = self.estimates.lock().expect("no panic while locked");
        estimates.decode_ms_per_token.add(ms / f64::from(tokens));
    }

    /// Learns from a plain call of a class.
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
