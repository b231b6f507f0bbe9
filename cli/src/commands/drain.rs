//! `jujube drain`: takes a zone, VM or endpoint out of service.

use jujuberoad::config::ConfigEdit;

use super::EditReport;
use crate::CommandError;
use crate::ConfigStore;

/// Adds a file that takes `name` out of service; removing that file reverts this.
pub async fn drain(
    store: &ConfigStore,
    kind: &str,
    name: &str,
) -> Result<EditReport, CommandError> {
    let key = if kind == "zone" { "out" } else { "leaving" };
    let text = format!("[{kind} {name}]\n{key} = yes\n");
    let file = format!("90-drain-{kind}-{name}.ini");
    let change = format!("draining {kind} {name} by {file}");
    let edit = ConfigEdit::Add {
        name: file.into(),
        text,
    };
    EditReport::submit(store, &edit, change).await
}
