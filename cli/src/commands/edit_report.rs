//! What an accepted change has led to.

use std::fmt;

use jujuberoad::config::ConfigEdit;
use serde::Serialize;

use crate::CommandError;
use crate::ConfigStore;
use crate::RolloutReport;

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EditReport {
    /// What was done.
    pub change: String,
    /// How far the new revision is in force.
    pub force: RolloutReport,
}

impl EditReport {
    /// Makes `edit` and waits until it is in force.
    pub(super) async fn submit(
        store: &ConfigStore,
        edit: &ConfigEdit,
        change: String,
    ) -> Result<Self, CommandError> {
        let record = store.edit(edit).await?;
        let force = RolloutReport::wait(store, record.revision).await?;
        Ok(Self { change, force })
    }
}

impl fmt::Display for EditReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {}", self.change, self.force)
    }
}
