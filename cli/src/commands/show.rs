//! `jujube show`: prints the configuration in force.

use std::collections::BTreeMap;
use std::fmt;

use jujuberoad::ids::Revision;
use serde::Serialize;
use smol_str::SmolStr;

use crate::CommandError;
use crate::ConfigStore;

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ShowReport {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Texts of the files by name.
    pub files: BTreeMap<SmolStr, String>,
}

/// Reads the configuration in force.
pub async fn show(store: &ConfigStore) -> Result<ShowReport, CommandError> {
    let (record, _) = store.read().await?;
    Ok(ShowReport {
        revision: record.revision,
        files: record.files,
    })
}

impl fmt::Display for ShowReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "; revision {}", self.revision)?;
        for (name, text) in &self.files {
            writeln!(f, "; file {name}")?;
            writeln!(f, "{}", text.trim_end())?;
        }
        Ok(())
    }
}
