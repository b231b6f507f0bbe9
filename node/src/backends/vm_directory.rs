//! Trait for the platform's list of VMs.

use std::time::Instant;

use async_trait::async_trait;

use super::CallError;
use super::VmListing;

/// Lists running VMs and those about to be removed. The list is eventually consistent: it
/// lags behind the real state.
#[async_trait]
pub trait VmDirectory: Send + Sync {
    /// Fetches the list.
    async fn list(&self, deadline: Instant) -> Result<Vec<VmListing>, CallError>;
}
