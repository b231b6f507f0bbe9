//! Identifies a group at one epoch.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Epoch;
use crate::ids::GroupId;

/// A group at one epoch. The set of members is fixed for a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupKey {
    /// Name of the group.
    pub group: GroupId,
    /// Epoch in which its members joined.
    pub epoch: Epoch,
}

impl std::fmt::Display for GroupKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}@{}", self.group, self.epoch)
    }
}
