//! `jujube diff`: compares a folder with the configuration in force.

use std::fmt;
use std::path::Path;

use jujuberoad::config::ConfigDiff;
use jujuberoad::ids::Revision;
use serde::Serialize;

use crate::CommandError;
use crate::ConfigStore;
use crate::read_folder;

/// Changes that applying the folder would make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DiffReport {
    /// Revision in force; pass it to `jujube apply --base`.
    pub revision: Revision,
    /// Files that differ.
    pub changes: ConfigDiff,
}

/// Compares the files in `folder` with those in force.
pub async fn diff(store: &ConfigStore, folder: &Path) -> Result<DiffReport, CommandError> {
    let files = read_folder(folder)?;
    let (record, _) = store.read().await?;
    let changes = ConfigDiff::between(&record.files, &files);
    Ok(DiffReport {
        revision: record.revision,
        changes,
    })
}

impl fmt::Display for DiffReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "against revision {}:", self.revision)?;
        self.changes.fmt(f)
    }
}
