//! What a request needs a slot for.

use jujuberoad::ids::ServiceId;
use jujuberoad::routing::ModelName;
use jujuberoad::routing::RouteTarget;
use jujuberoad::routing::TargetKind;

/// Requests with the same demand wait in the same queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum SlotDemand {
    /// A group that holds this model, version and adapter.
    Model(ModelName),
    /// An endpoint of this service.
    Service(ServiceId),
}

impl SlotDemand {
    /// Returns what targets must serve.
    pub(crate) fn kind(&self) -> TargetKind {
        match self {
            Self::Model(name) => TargetKind::Model(name.model.clone()),
            Self::Service(service) => TargetKind::Service(service.clone()),
        }
    }

    /// Tells whether `target`, which serves the kind, holds all that is needed.
    pub(crate) fn is_met_by(&self, target: &RouteTarget) -> bool {
        match (self, &target.group) {
            (Self::Model(name), Some(group)) => name.is_served_by(&group.version, &group.adapters),
            (Self::Model(_), None) => false,
            (Self::Service(_), _) => true,
        }
    }
}
