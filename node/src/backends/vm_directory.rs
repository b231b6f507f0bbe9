//! The platform's list of VMs.

use std::time::Instant;

use async_trait::async_trait;

use super::CallError;
use super::VmListing;

/// Lists live and leaving VMs; the list lags behind what has happened.
#[async_trait]
pub trait VmDirectory: Send + Sync {
    /// Reads the list.
    async fn list(&self, deadline: Instant) -> Result<Vec<VmListing>, CallError>;
}
