//! Parts of prompts that were answered lately.

use std::time::Instant;

/// Number of parts per generation, of 24 bytes each. Two generations are kept.
const MAX_PER_GENERATION: usize = 1024;

/// Part of a prompt that was answered completely.
#[derive(Debug, Clone, Copy)]
struct Answered {
    part: u64,
    at: Instant,
}

/// Times of the last complete answers to prompts with a part. Parts that aren't answered while
/// many others are get dropped.
#[derive(Debug, Default)]
pub(super) struct AnsweredParts {
    /// Sorted by part.
    current: Vec<Answered>,
    /// The generation before, sorted by part.
    previous: Vec<Answered>,
}

impl AnsweredParts {
    /// Records an answer to a prompt with a part.
    pub(super) fn record(&mut self, part: u64, at: Instant) {
        match find(&self.current, part) {
            Ok(i) => self.current[i].at = self.current[i].at.max(at),
            Err(_) if self.current.len() >= MAX_PER_GENERATION => {
                self.previous = std::mem::take(&mut self.current);
                self.current.push(Answered { part, at });
            }
            Err(i) => self.current.insert(i, Answered { part, at }),
        }
    }

    /// Time of the last known answer to a prompt with a part.
    pub(super) fn answered_at(&self, part: u64) -> Option<Instant> {
        let look_up = |list: &[Answered]| find(list, part).ok().map(|i| list[i].at);
        look_up(&self.current).max(look_up(&self.previous))
    }
}

fn find(list: &[Answered], part: u64) -> Result<usize, usize> {
    list.binary_search_by_key(&part, |answered| answered.part)
}
