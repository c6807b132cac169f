//! The faults of a run, drawn at random or replayed from a file.
//!
//! A seed can't be kept as a test case, because it draws other faults as soon as a kind of fault
//! is added. A file names each fault and the generator state that decides its parameters.

use crate::fault::{Fault, FaultSet};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::Path;

/// A fault and the pause before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Pause before the fault, in milliseconds.
    pub pause_ms: u64,
    /// Kind of the fault.
    pub fault: Fault,
    /// State of the random generator that draws its parameters.
    pub state: u64,
}

/// Source of the faults of a run.
#[derive(Debug)]
pub enum Schedule {
    /// Faults drawn at random.
    Random(FaultSet, fastrand::Rng),
    /// The remaining faults of a file.
    File(std::vec::IntoIter<Step>),
}

impl Schedule {
    /// Creates a schedule of random faults.
    pub fn from_seed(set: FaultSet, seed: u64) -> Self {
        Self::Random(set, fastrand::Rng::with_seed(seed))
    }

    /// Reads a schedule from a file with one step in JSON per line. Fails if the file or a line
    /// can't be read.
    pub fn read(path: &Path) -> io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        let steps: Result<Vec<Step>, _> = text.lines().map(serde_json::from_str).collect();
        Ok(Self::File(steps?.into_iter()))
    }

    /// Returns the next step and the generator for its parameters, or none at the end of a file.
    pub fn next_step(&mut self) -> Option<(Step, fastrand::Rng)> {
        match self {
            Self::Random(set, rng) => {
                let (pause_ms, fault) = Fault::draw(*set, rng);
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

    /// Continues the random schedule with the generator that drew the parameters of a step.
    pub fn advance(&mut self, after: fastrand::Rng) {
        if let Self::Random(_, rng) = self {
            *rng = after;
        }
    }
}

/// Writes steps to a file for [`Schedule::read`].
pub fn write(path: &Path, steps: &[Step]) -> io::Result<()> {
    let lines: Result<Vec<String>, _> = steps.iter().map(serde_json::to_string).collect();
    std::fs::write(path, lines?.join("\n") + "\n")
}
