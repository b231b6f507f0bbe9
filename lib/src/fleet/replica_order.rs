//! Orders that engines accept.

use crate::ids::EndpointId;
use crate::ids::ModelId;

use super::GroupKey;

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaOrder {
    /// Join a group; the first of `members` is the head.
    Join {
        /// Key of the group.
        key: GroupKey,
        /// Model to load.
        model: ModelId,
        /// All members in rank order.
        members: Vec<EndpointId>,
    },
    /// Start serving as the head.
    Open {
        /// Key of the group.
        key: GroupKey,
    },
    /// Stop serving as the head.
    Close {
        /// Key of the group.
        key: GroupKey,
        /// Whether running requests are aborted instead of finished.
        is_abrupt: bool,
    },
    /// Leave the group immediately.
    Leave {
        /// Key of the group.
        key: GroupKey,
    },
    /// Copy the weights of a model to the host.
    Stage {
        /// Model whose weights to copy.
        model: ModelId,
    },
}

impl ReplicaOrder {
    /// Returns the name of the order for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }
}
