//! `jujube remove`: removes one file from the configuration in force.

use jujuberoad::config::ConfigEdit;

use super::EditReport;
use crate::CommandError;
use crate::ConfigStore;

/// Removes the file called `name`.
pub async fn remove(store: &ConfigStore, name: &str) -> Result<EditReport, CommandError> {
    let edit = ConfigEdit::Remove { name: name.into() };
    EditReport::submit(store, &edit, format!("removed {name}")).await
}
