//! Configuration of a model.

use smol_str::SmolStr;

use crate::ids::ModelId;

/// A `[model NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// Name of the model, sent by callers in the `model` field.
    pub model: ModelId,
    /// Version that its groups load.
    pub version: SmolStr,
    /// Adapters that its groups load in addition.
    pub adapters: Vec<SmolStr>,
    /// Number of VMs that form one replica.
    pub vms_per_group: u64,
    /// Number of groups across all availability zones.
    pub groups: u64,
    /// Concurrent requests that a warm group can handle.
    pub slots: u64,
    /// Concurrent requests that a group can handle during cold start.
    pub cold_slots: u64,
}
