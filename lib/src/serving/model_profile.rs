//! One model that engines may hold.

use crate::ids::Milliseconds;
use crate::ids::ModelId;

/// Size and times of a model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelProfile {
    /// Name of the model.
    pub model: ModelId,
    /// VMs that together hold one replica.
    pub vms_per_group: usize,
    /// Part of the VMs that its work needs, against the other models.
    pub share: f64,
    /// Factor on all times of a group.
    pub time_factor: f64,
    /// Time of a load from the weight store.
    pub load_ms: Milliseconds,
    /// Time of a load from the VM's own host.
    pub local_load_ms: Milliseconds,
}
