//! One reason why a configuration is refused.

use std::fmt;

use smol_str::SmolStr;

/// A fault in a configuration file and the place where it stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigProblem {
    /// Name of the file.
    pub file: SmolStr,
    /// Line in the file, counted from 1; 0 when the fault is the file itself.
    pub line: usize,
    /// What is wrong and what is expected instead.
    pub message: String,
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl std::error::Error for ConfigProblem {}
