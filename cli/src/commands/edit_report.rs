//! Result of an accepted change to the configuration.

use std::fmt;

use jujuberoad::config::ConfigEdit;
use serde::Serialize;

use crate::CommandError;
use crate::ConfigStore;
use crate::RolloutReport;

/// An accepted change and its rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EditReport {
    /// Description of the change.
    pub change: String,
    /// Rollout of the new revision to the routers.
    pub force: RolloutReport,
}

impl EditReport {
    /// Submits `edit` to the store and waits for the rollout of the new revision.
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
