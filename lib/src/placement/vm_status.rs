//! What a placer knows about a VM.

use crate::ids::Incarnation;
use crate::ids::ModelId;

/// State of a VM at the moment of planning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmStatus {
    /// Incarnation of its engine.
    pub incarnation: Incarnation,
    /// Whether settings or the platform's list say that it leaves.
    pub leaving: bool,
    /// Whether its engine is ready for the group that it reports.
    pub ready: bool,
    /// Model that the engine holds or loads; empty for none.
    pub model: ModelId,
}
