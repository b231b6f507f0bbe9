//! What an engine says of itself when it is asked.

use serde::Deserialize;
use serde::Serialize;

use super::GroupMembership;
use crate::ids::Incarnation;
use crate::ids::ModelId;

/// The state of an engine at the moment of the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Number that differs between two starts under one name.
    pub incarnation: Incarnation,
    /// Group that it has joined.
    pub membership: Option<GroupMembership>,
    /// Model that it holds as a member.
    pub model: Option<ModelId>,
    /// Models whose weights lie on its host.
    pub staged: Vec<ModelId>,
    /// Orders that it has begun since its start.
    pub sequence: u64,
}
