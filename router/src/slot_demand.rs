//! Model or service that a request needs a slot for.

use jujuberoad::ids::ServiceId;
use jujuberoad::routing::ModelName;
use jujuberoad::routing::RouteTarget;
use jujuberoad::routing::TargetKind;

/// What a target must serve. Requests with the same demand share a queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum SlotDemand {
    /// A group that has loaded this model, version and adapter.
    Model(ModelName),
    /// An endpoint of this service.
    Service(ServiceId),
}

impl SlotDemand {
    /// Returns the kind of the targets that can serve this demand.
    pub(crate) fn kind(&self) -> TargetKind {
        match self {
            Self::Model(name) => TargetKind::Model(name.model.clone()),
            Self::Service(service) => TargetKind::Service(service.clone()),
        }
    }

    /// Returns whether `target`, which is of the right kind, also has the requested version
    /// and adapter.
    pub(crate) fn is_met_by(&self, target: &RouteTarget) -> bool {
        match (self, &target.group) {
            (Self::Model(name), Some(group)) => name.is_served_by(&group.version, &group.adapters),
            (Self::Model(_), None) => false,
            (Self::Service(_), _) => true,
        }
    }
}
