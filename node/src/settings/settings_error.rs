//! Error of reading the settings of a process.

use std::path::PathBuf;

use jujuberoad::config::ConfigProblem;

/// Reason why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("settings file {path:?}: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The file has invalid, missing or unknown keys or sections.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Invalid(Vec<ConfigProblem>),
}
