//! `jujube apply`: puts a whole folder into force.

use std::path::Path;

use jujuberoad::config::ConfigEdit;
use jujuberoad::ids::Revision;

use super::EditReport;
use crate::CommandError;
use crate::ConfigStore;
use crate::read_folder;

/// Replaces all files in force by those in `folder`.
///
/// With a `base`, the change is refused when another revision is in force.
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
