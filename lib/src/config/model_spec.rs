//! What operators say about a model.

use smol_str::SmolStr;

use crate::ids::ModelId;

/// A `[model NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// Name of the model, which callers send as `model`.
    pub model: ModelId,
    /// Version that its groups load.
    pub version: SmolStr,
    /// Adapters that its groups load beside it.
    pub adapters: Vec<SmolStr>,
    /// Number of VMs that together hold one replica.
    pub vms_per_group: u64,
    /// Number of groups over all availability zones.
    pub groups: u64,
    /// Requests that a warm group bears at a time.
    pub slots: u64,
    /// Requests that a group in cold start bears at a time.
    pub cold_slots: u64,
}
