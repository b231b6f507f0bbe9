//! Rollout of a configuration revision to the routers.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::ids::Revision;
use serde::Serialize;

use crate::CommandError;
use crate::ConfigStore;
use crate::commands::router_statuses;

/// Time within which all routers should apply a revision.
const ROLLOUT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Interval between polls of the routers.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of routers at which a revision is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RolloutReport {
    /// The revision.
    pub revision: Revision,
    /// Number of routers that have applied this revision or a later one.
    pub in_force: usize,
    /// Number of routers on the list.
    pub routers: usize,
}

impl RolloutReport {
    /// Waits until `revision` is in force at all routers or `ROLLOUT_TIMEOUT` has passed.
    pub(crate) async fn wait(
        store: &ConfigStore,
        revision: Revision,
    ) -> Result<Self, CommandError> {
        let deadline = Instant::now() + ROLLOUT_TIMEOUT;
        loop {
            let statuses = router_statuses(store).await?;
            let routers = statuses.len();
            let up_to_date = statuses
                .iter()
                .filter(|status| status.revision >= Some(revision));
            let report = Self {
                revision,
                in_force: up_to_date.count(),
                routers,
            };
            if report.in_force == routers || Instant::now() >= deadline {
                return Ok(report);
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }
}

impl fmt::Display for RolloutReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            revision,
            in_force,
            routers,
        } = self;
        write!(
            f,
            "revision {revision} in force at {in_force} of {routers} routers"
        )
    }
}
