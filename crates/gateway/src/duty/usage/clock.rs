//! Time of day agreed on by all hosts.
//!
//! The wall clock of a host may jump by seconds and back, while each process's monotonic clock
//! doesn't. The clock stores the difference between the two: in each round the median of all
//! hosts, and then the median over the rounds of the last minute. A jump on fewer than half of
//! the hosts has no effect, and one on more of them only after it has lasted for half a minute.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Minimum time between two rounds.
pub const ROUND_EVERY: Duration = Duration::from_secs(1);
/// Maximum number of rounds.
const MAX_ROUNDS: usize = 60;
/// Minimum number of rounds for a result, as a host that has just started may only know its own
/// time.
const MIN_ROUNDS: usize = 2;

/// Time of day agreed on by all hosts.
#[derive(Debug)]
pub struct FleetClock {
    /// Reference point on this process's monotonic clock.
    base: Instant,
    /// Unix milliseconds at `base` by round, each the median over all hosts.
    rounds: VecDeque<i64>,
    last_round_at: Option<Instant>,
}

impl FleetClock {
    /// A clock without any rounds.
    pub fn new(base: Instant) -> Self {
        Self {
            base,
            rounds: VecDeque::new(),
            last_round_at: None,
        }
    }

    /// Estimates the Unix time at `base` from a host's wall-clock time at an instant.
    pub fn estimate_base(&self, time_of_day_ms: i64, at: Instant) -> i64 {
        time_of_day_ms.saturating_sub(self.steady_ms(at))
    }

    /// Adds a round with one estimate per host, if a round is due.
    pub fn add_round(&mut self, mut estimates: Vec<i64>, now: Instant) {
        let since = self
            .last_round_at
            .map(|at| now.saturating_duration_since(at));
        if estimates.is_empty() || since.is_some_and(|since| since < ROUND_EVERY) {
            return;
        }
        self.last_round_at = Some(now);
        self.rounds.push_back(median(&mut estimates));
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
    }

    fn base_ms(&self) -> Option<i64> {
        if self.rounds.len() < MIN_ROUNDS {
            return None;
        }
        let mut rounds: Vec<i64> = self.rounds.iter().copied().collect();
        Some(median(&mut rounds))
    }

    /// Agreed time at an instant, in Unix milliseconds.
    pub fn unix_ms(&self, at: Instant) -> Option<i64> {
        Some(self.base_ms()?.saturating_add(self.steady_ms(at)))
    }

    /// Instant of an agreed time; `None` if it can't be represented.
    pub fn instant(&self, unix_ms: i64) -> Option<Instant> {
        let ms = unix_ms.checked_sub(self.base_ms()?)?;
        let span = Duration::from_millis(ms.unsigned_abs());
        match ms >= 0 {
            true => self.base.checked_add(span),
            false => self.base.checked_sub(span),
        }
    }

    fn steady_ms(&self, at: Instant) -> i64 {
        match at.checked_duration_since(self.base) {
            Some(since) => since.as_millis() as i64,
            None => -(self.base.duration_since(at).as_millis() as i64),
        }
    }
}

/// Median of some numbers, the lower of the two middle ones for an even count.
fn median(numbers: &mut [i64]) -> i64 {
    numbers.sort_unstable();
    numbers[(numbers.len() - 1) / 2]
}
