//! What an engine may be told.

use crate::ids::EndpointId;
use crate::ids::ModelId;

use super::GroupKey;

/// One order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaOrder {
    /// Become a member; the first of `members` is the head.
    Join {
        /// The group.
        key: GroupKey,
        /// Model that it is to hold.
        model: ModelId,
        /// All members by rank.
        members: Vec<EndpointId>,
    },
    /// Begin to serve, as the head.
    Open {
        /// The group.
        key: GroupKey,
    },
    /// Stop serving, as the head.
    Close {
        /// The group.
        key: GroupKey,
        /// Whether running requests are cut off instead of finished.
        is_abrupt: bool,
    },
    /// Leave the group at once.
    Leave {
        /// The group.
        key: GroupKey,
    },
    /// Load the weights of a model onto the host.
    Stage {
        /// The model.
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
