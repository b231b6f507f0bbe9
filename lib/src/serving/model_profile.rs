//! Size and timing of a model.

use crate::ids::Milliseconds;
use crate::ids::ModelId;

/// Group size, capacity share and load times of a model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelProfile {
    /// Name of the model.
    pub model: ModelId,
    /// Number of VMs that hold one replica, which is the size of its groups.
    pub vms_per_group: usize,
    /// Share of VMs that its traffic needs, relative to the other models.
    pub share: f64,
    /// Factor on all times of a group that serves it, relative to the engine profile.
    pub time_factor: f64,
    /// Time to load the weights from the weight store.
    pub load_ms: Milliseconds,
    /// Time to load the weights from the VM's own host.
    pub local_load_ms: Milliseconds,
}
