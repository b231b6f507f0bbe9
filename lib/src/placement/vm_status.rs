//! State of a VM as known to the placer.

use crate::ids::Incarnation;
use crate::ids::ModelId;

/// State of a VM at the moment of planning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmStatus {
    /// Incarnation of its engine.
    pub incarnation: Incarnation,
    /// Whether the settings or the platform's list mark it as leaving.
    pub leaving: bool,
    /// Whether its engine is ready for the group that it reports.
    pub ready: bool,
    /// Model that the engine has loaded or is loading; empty for none.
    pub model: ModelId,
}
