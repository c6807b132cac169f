//! Mean time that a request occupies a slot.

use std::time::Duration;

/// Weight of a new sample in the mean, and in the mean deviation.
const MEAN_WEIGHT: f64 = 0.05;
const DEVIATION_WEIGHT: f64 = 0.1;
/// Number of mean deviations within which nearly all requests end.
const DEVIATIONS: f64 = 2.0;

/// Mean and mean deviation of the time of a service's requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    mean_s: f64,
    deviation_s: f64,
}

impl ServiceTime {
    /// Records the time of a request that was answered.
    pub fn record(&mut self, took: Duration) {
        let took_s = took.as_secs_f64();
        if self.mean_s == 0.0 {
            (self.mean_s, self.deviation_s) = (took_s, took_s / 4.0);
            return;
        }
        let error = took_s - self.mean_s;
        self.mean_s += error * MEAN_WEIGHT;
        self.deviation_s += (error.abs() - self.deviation_s) * DEVIATION_WEIGHT;
    }

    /// Requests per second that `slots` slots serve; `None` before the first answer.
    pub fn rate(&self, slots: f64) -> Option<f64> {
        (self.mean_s > 0.0).then(|| slots / self.mean_s)
    }

    /// Mean time; zero before the first answer.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Time within which nearly all requests end.
    pub fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATIONS * self.deviation_s)
    }
}
