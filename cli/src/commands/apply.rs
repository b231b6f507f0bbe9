//! `jujube apply`: replaces the configuration in force with a folder.

use std::path::Path;

use jujuberoad::config::ConfigEdit;
use jujuberoad::ids::Revision;

use super::EditReport;
use crate::CommandError;
use crate::ConfigStore;
use crate::read_folder;

/// Replaces all files of the configuration in force with those in `folder`.
///
/// If `base` is given and another revision is in force, the change is refused.
pub async fn apply(
    store: &ConfigStore,
    folder: &Path,
    base: Option<Revision>,
) -> Result<EditReport, CommandError> {
    let files = read_folder(folder)?;
    let base = match base {
        Some(base) => base,
        None => store.read().await?.0.revision,
    };
    let change = format!("applied {} files", files.len());
    EditReport::submit(store, &ConfigEdit::Apply { base, files }, change).await
}
