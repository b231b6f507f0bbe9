//! Why a command did not do what it was asked.

use std::path::PathBuf;

use jujuberoad::config::ConfigProblem;
use jujuberoad::config::EditError;
use jujuberoad_node::backends::StoreError;

/// Failure of a command; nothing has changed unless it says otherwise.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file or folder could not be read.
    #[error("{path:?}: {source}")]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// A folder holds no configuration file.
    #[error("folder {0:?} holds no file that ends in .ini")]
    EmptyFolder(PathBuf),
    /// The files are not a valid configuration.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Invalid(Vec<ConfigProblem>),
    /// The change was refused.
    #[error("refused, nothing changed: {0}")]
    Edit(#[from] EditError),
    /// The platform's store did not answer as it should.
    #[error("platform store, {step}: {source}")]
    Store {
        /// What was being done.
        step: &'static str,
        /// What went wrong.
        source: StoreError,
    },
    /// The change may or may not have been accepted.
    #[error("no answer came; revision {revision} may have been accepted: see `jujube show`")]
    InDoubt {
        /// Revision that the change would have.
        revision: u64,
    },
    /// A record in the store is not what its key promises.
    #[error("record {key:?} in the platform's store: {message}")]
    Record {
        /// Key of the record.
        key: String,
        /// What is wrong with it.
        message: String,
    },
}

impl CommandError {
    /// Returns the exit code: 1 refused, 2 not reachable, 3 in doubt.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Store { .. } => 2,
            Self::InDoubt { .. } => 3,
            _ => 1,
        }
    }
}
