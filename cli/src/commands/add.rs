//! `jujube add`: adds one file to the configuration in force.

use std::path::Path;

use jujuberoad::config::ConfigEdit;

use super::EditReport;
use crate::CommandError;
use crate::ConfigStore;
use crate::read_file;

/// Adds the file at `path`.
pub async fn add(store: &ConfigStore, path: &Path) -> Result<EditReport, CommandError> {
    let (name, text) = read_file(path)?;
    let change = format!("added {name}");
    EditReport::submit(store, &ConfigEdit::Add { name, text }, change).await
}
