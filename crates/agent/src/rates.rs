//! Rates of the upstream, learned from its own answers.
//!
//! No figure is built in: until something was measured, the expected time is
//! nothing, and a request is let through to be measured.

use conf::Class;
use std::sync::Mutex;
use wire::Call;

/// Weight of a new measurement in the running mean.
const WEIGHT: f64 = 0.1;
/// Bytes of a prompt below which its reading time says nothing about the rate.
const MIN_READ: f64 = 256.0;

/// What a request is expected to cost.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cost {
    /// Time from its start at the upstream to its first byte, in milliseconds.
    pub first_ms: f64,
    /// Time from its start to its end, in milliseconds.
    pub total_ms: f64,
}

/// A running mean.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Mean {
    value: Option<f64>,
}

impl Mean {
    fn add(&mut self, x: f64) {
        let old = self.value.unwrap_or(x);
        self.value = Some(old + WEIGHT * (x - old));
    }

    fn get(self) -> f64 {
        self.value.unwrap_or(0.0)
    }
}

#[derive(Debug, Default)]
struct Learned {
    read_ms_per_byte: Mean,
    ms_per_token: Mean,
    plain: Vec<(String, Mean)>,
}

/// The learned rates.
#[derive(Debug, Default)]
pub struct Rates {
    learned: Mutex<Learned>,
}

impl Rates {
    /// Expected cost of a call, of whose prompt `cached` bytes need no reading.
    pub fn cost(&self, class: &Class, call: &Call, cached: usize) -> Cost {
        match call {
            Call::Completion(c) => {
                let read = c.prompt.len().saturating_sub(cached);
                self.completion(read, c.max_tokens.saturating_sub(c.resume_from))
            }
            Call::Plain(_) => self.plain(&class.name),
        }
    }

    /// Expected cost of reading so many bytes and writing so many tokens.
    pub fn completion(&self, read: usize, tokens: u32) -> Cost {
        let l = self.learned.lock().expect("no panic while locked");
        let first_ms = l.read_ms_per_byte.get() * read as f64;
        Cost {
            first_ms,
            total_ms: first_ms + l.ms_per_token.get() * f64::from(tokens),
        }
    }

    /// Expected cost of a plain call of a class.
    pub fn plain(&self, class: &str) -> Cost {
        let l = self.learned.lock().expect("no panic while locked");
        let at = l
            .plain
            .binary_search_by(|(name, _)| name.as_str().cmp(class));
        let ms = at.map_or(0.0, |i| l.plain[i].1.get());
        Cost {
            first_ms: ms,
            total_ms: ms,
        }
    }

    /// Learns from a prompt of so many uncached bytes that took so long to read.
    pub fn learn_read(&self, bytes: usize, ms: f64) {
        let mut l = self.learned.lock().expect("no panic while locked");
        l.read_ms_per_byte.add(ms / (bytes as f64).max(MIN_READ));
    }

    /// Learns from so many tokens that took so long to write.
    pub fn learn_write(&self, tokens: u32, ms: f64) {
        if tokens == 0 {
            return;
        }
        let mut l = self.learned.lock().expect("no panic while locked");
        l.ms_per_token.add(ms / f64::from(tokens));
    }

    /// Learns from a plain call of a class.
    pub fn learn_plain(&self, class: &str, ms: f64) {
        let mut l = self.learned.lock().expect("no panic while locked");
        match l
            .plain
            .binary_search_by(|(name, _)| name.as_str().cmp(class))
        {
            Ok(i) => l.plain[i].1.add(ms),
            Err(i) => {
                let mut mean = Mean::default();
                mean.add(ms);
                l.plain.insert(i, (class.to_owned(), mean));
            }
        }
    }
}
