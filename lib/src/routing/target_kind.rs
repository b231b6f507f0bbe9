//! What a target serves.

use crate::ids::ModelId;
use crate::ids::ServiceId;

/// Model or plain service that a target serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TargetKind {
    /// A group of VMs that serves a replica of this model.
    Model(ModelId),
    /// An endpoint of this plain service.
    Service(ServiceId),
}
