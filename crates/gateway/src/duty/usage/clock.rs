//! True time, by what all hosts believe.
//!
//! Hosts' times of day may jump by seconds and back; each process's own steady clock
//! doesn't. So what is kept is the difference between the two: at each round the middle of
//! what all hosts say, and of the rounds of the last minute the middle again. A jump on
//! fewer than half of all hosts changes nothing, and one on more of them nothing until it
//! has lasted for half a minute.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time between two rounds that are kept.
pub const ROUND_EVERY: Duration = Duration::from_secs(1);
/// Rounds that are kept.
const MAX_ROUNDS: usize = 60;
/// Rounds that a first answer needs: a host that has just started may know itself alone.
const MIN_ROUNDS: usize = 2;

/// True time as far as it is known.
#[derive(Debug)]
pub struct FleetClock {
    /// Where this process's steady time is counted from.
    base: Instant,
    /// Unix milliseconds at `base`, the middle of all hosts, by round.
    rounds: VecDeque<i64>,
    last_round_at: Option<Instant>,
}

impl FleetClock {
    /// Knows nothing yet.
    pub fn new(base: Instant) -> Self {
        Self {
            base,
            rounds: VecDeque::new(),
            last_round_at: None,
        }
    }

    /// What a time of day that a host had at an instant makes `base`.
    pub fn estimate_base(&self, time_of_day_ms: i64, at: Instant) -> i64 {
        time_of_day_ms.saturating_sub(self.steady_ms(at))
    }

    /// Takes what hosts believe, one each, if a round is due.
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

    /// True time at an instant, in Unix milliseconds.
    pub fn unix_ms(&self, at: Instant) -> Option<i64> {
        Some(self.base_ms()?.saturating_add(self.steady_ms(at)))
    }

    /// The instant of a true time; none if this process can't name it.
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

/// The middle of some numbers, the lower of two.
fn median(numbers: &mut [i64]) -> i64 {
    numbers.sort_unstable();
    numbers[(numbers.len() - 1) / 2]
}
