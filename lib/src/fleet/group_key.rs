//! Which group, and which life of it.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Epoch;
use crate::ids::GroupId;

/// A group at one epoch; its members never change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupKey {
    /// Name of the group.
    pub group: GroupId,
    /// Epoch at which its members joined.
    pub epoch: Epoch,
}

impl std::fmt::Display for GroupKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}@{}", self.group, self.epoch)
    }
}
