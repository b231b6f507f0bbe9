//! Edits that operators make to the configuration.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::ConfigDiff;
use super::ConfigProblem;
use super::ConfigRecord;
use super::FleetConfig;
use crate::ids::Nonce;
use crate::ids::Revision;

/// An edit of the set of configuration files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigEdit {
    /// Replaces all files if `base` is still the current revision.
    Apply {
        /// Revision that the edit is based on.
        base: Revision,
        /// The new files.
        files: BTreeMap<SmolStr, String>,
    },
    /// Adds one file. Adding a file again with the same content is accepted.
    Add {
        /// Name of the file.
        name: SmolStr,
        /// Content of the file.
        text: String,
    },
    /// Removes one file.
    Remove {
        /// Name of the file.
        name: SmolStr,
    },
}

/// The reason why an edit is rejected without being written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EditError {
    /// The configuration has changed since the base revision.
    #[error("the configuration is at revision {found}, not {base}; changed since:\n{changes}")]
    StaleRevision {
        /// Revision that the edit is based on.
        base: Revision,
        /// Current revision.
        found: Revision,
        /// Changes from the operator's files to the current ones.
        changes: ConfigDiff,
    },
    /// A file of the same name exists with different content.
    #[error("file {0:?} is already part of the configuration, with another text")]
    FileExists(SmolStr),
    /// The file to remove does not exist.
    #[error("file {0:?} is not part of the configuration")]
    FileMissing(SmolStr),
    /// The resulting configuration is invalid.
    #[error("{}", join_problems(.0))]
    Invalid(Vec<ConfigProblem>),
}

impl ConfigEdit {
    /// Returns the record that results from applying the edit to `current`.
    pub fn apply(&self, current: &ConfigRecord, nonce: Nonce) -> Result<ConfigRecord, EditError> {
        let files = self.edited_files(current)?;
        FleetConfig::parse(&files).map_err(EditError::Invalid)?;
        Ok(ConfigRecord {
            revision: current.revision + 1,
            nonce,
            files,
        })
    }

    fn edited_files(&self, current: &ConfigRecord) -> Result<BTreeMap<SmolStr, String>, EditError> {
        let mut files = current.files.clone();
        match self {
            Self::Apply { base, files } if *base == current.revision => return Ok(files.clone()),
            Self::Apply { base, files } => {
                let changes = ConfigDiff::between(files, &current.files);
                return Err(EditError::StaleRevision {
                    base: *base,
                    found: current.revision,
                    changes,
                });
            }
            Self::Add { name, text } => {
                if files.get(name).is_some_and(|earlier| earlier != text) {
                    return Err(EditError::FileExists(name.clone()));
                }
                files.insert(name.clone(), text.clone());
            }
            Self::Remove { name } => {
                if files.remove(name).is_none() {
                    return Err(EditError::FileMissing(name.clone()));
                }
            }
        }
        Ok(files)
    }
}

fn join_problems(problems: &[ConfigProblem]) -> String {
    let lines = problems.iter().map(ToString::to_string);
    lines.collect::<Vec<_>>().join("\n")
}
