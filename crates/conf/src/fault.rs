//! What is wrong with a file, and where.

use std::fmt;

/// One fault in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
    /// What is wrong, in plain words.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.what)
    }
}

/// All faults of a file, in order of place.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Notes a fault.
    pub fn add(&mut self, (line, column): (usize, usize), what: impl Into<String>) {
        self.0.push(Fault {
            line,
            column,
            what: what.into(),
        });
    }

    /// The faults so far.
    pub fn all(&self) -> &[Fault] {
        &self.0
    }

    /// Gives `value` if no fault was noted, else the faults in order of place.
    pub fn settle<T>(mut self, value: Option<T>) -> Result<T, Self> {
        self.0.sort_by_key(|f| (f.line, f.column));
        match value {
            Some(v) if self.0.is_empty() => Ok(v),
            _ => Err(self),
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            writeln!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
