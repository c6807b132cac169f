//! The faults of a run as a file that can be played again.
//!
//! A seed doesn't last as a case: it draws others as soon as a kind of fault is added. A file
//! names each fault, and what decides its parameters.

use crate::fault::Fault;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;

/// A fault, and what comes before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Pause before it, in milliseconds.
    pub pause_ms: u64,
    /// Its kind.
    pub fault: Fault,
    /// From what its parameters are drawn.
    pub state: u64,
}

/// Where the faults of a run come from.
#[derive(Debug)]
pub enum Schedule {
    /// Chance.
    Random(fastrand::Rng),
    /// A file, the next one first.
    File(std::vec::IntoIter<Step>),
}

impl Schedule {
    /// One that a seed draws.
    pub fn from_seed(seed: u64) -> Self {
        Self::Random(fastrand::Rng::with_seed(seed))
    }

    /// Reads one from a file, a step a line.
    pub fn read(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        let steps: Result<Vec<Step>, _> = text.lines().map(serde_json::from_str).collect();
        Ok(Self::File(steps?.into_iter()))
    }

    /// The next step, with what its parameters are drawn from; none if a file has no more.
    pub fn next_step(&mut self) -> Option<(Step, fastrand::Rng)> {
        match self {
            Self::Random(rng) => {
                let (pause_ms, fault) = Fault::draw(rng);
                let state = rng.get_seed();
                Some((
                    Step {
                        pause_ms,
                        fault,
                        state,
                    },
                    rng.clone(),
                ))
            }
            Self::File(steps) => {
                let step = steps.next()?;
                Some((step, fastrand::Rng::with_seed(step.state)))
            }
        }
    }

    /// Takes what was drawn for a step, so that the next follows from it.
    pub fn advance(&mut self, after: fastrand::Rng) {
        if let Self::Random(rng) = self {
            *rng = after;
        }
    }
}

/// Writes steps to a file that [`Schedule::read`] reads.
pub fn write(path: &Path, steps: &[Step]) -> io::Result<()> {
    let lines: Result<Vec<String>, _> = steps.iter().map(serde_json::to_string).collect();
    std::fs::write(path, lines?.join("\n") + "\n")
}
