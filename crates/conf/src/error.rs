//! Errors in a file, with their positions.

use std::fmt;

/// An error in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// All errors in a file.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ParseErrors(Vec<ParseError>);

impl ParseErrors {
    /// Adds an error.
    pub fn add(&mut self, (line, column): (usize, usize), message: impl Into<String>) {
        self.0.push(ParseError {
            line,
            column,
            message: message.into(),
        });
    }

    /// All errors so far.
    pub fn all(&self) -> &[ParseError] {
        &self.0
    }

    /// Returns `value` if there are no errors, and otherwise the errors in order of position.
    pub fn into_result<T>(mut self, value: Option<T>) -> Result<T, Self> {
        self.0.sort_by_key(|f| (f.line, f.column));
        match value {
            Some(v) if self.0.is_empty() => Ok(v),
            _ => Err(self),
        }
    }
}

impl fmt::Display for ParseErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.0 {
            writeln!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ParseErrors {}
