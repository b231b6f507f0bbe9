//! A validation error of a configuration.

use std::fmt;

use smol_str::SmolStr;

/// A validation error and its position in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigProblem {
    /// Name of the file.
    pub file: SmolStr,
    /// Line number, counted from 1; 0 when the error concerns the whole file.
    pub line: usize,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl std::error::Error for ConfigProblem {}
