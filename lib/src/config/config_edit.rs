//! Changes that operators make to the configuration.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::ConfigDiff;
use super::ConfigProblem;
use super::ConfigRecord;
use super::FleetConfig;
use crate::ids::Nonce;
use crate::ids::Revision;

/// A change to the set of configuration files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigEdit {
    /// Replaces all files, provided that `base` is still the revision in force.
    Apply {
        /// Revision that the operator has seen.
        base: Revision,
        /// The new files.
        files: BTreeMap<SmolStr, String>,
    },
    /// Adds one file that is not there yet.
    Add {
        /// Name of the file.
        name: SmolStr,
        /// Its text.
        text: String,
    },
    /// Removes one file.
    Remove {
        /// Name of the file.
        name: SmolStr,
    },
}

/// Why a change is refused; nothing has been written then.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EditError {
    /// Somebody else changed the configuration in between.
    #[error("the configuration is at revision {found}, not {base}; changed since:\n{changes}")]
    StaleRevision {
        /// Revision that the operator has seen.
        base: Revision,
        /// Revision that is in force.
        found: Revision,
        /// What differs between the record and the operator's files.
        changes: ConfigDiff,
    },
    /// The file to be added is there already with another text.
    #[error("file {0:?} is already part of the configuration, with another text")]
    FileExists(SmolStr),
    /// The file to be removed is not there.
    #[error("file {0:?} is not part of the configuration")]
    FileMissing(SmolStr),
    /// The result would not be a valid configuration.
    #[error("{}", join_problems(.0))]
    Invalid(Vec<ConfigProblem>),
}

impl ConfigEdit {
    /// Returns the record that follows `current`, or why there is none.
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
