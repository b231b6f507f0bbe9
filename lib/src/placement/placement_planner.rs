//! The border behind which ways of placing groups vary.

use super::PlacementRecord;
use super::PlanInput;

/// Decides which VMs form which group of a zone.
pub trait PlacementPlanner: Send + Sync {
    /// Returns the record that should follow `input.current`.
    ///
    /// The result equals `input.current` when nothing needs to change. Fence
    /// and nonce are left to the writer.
    fn plan(&self, input: &PlanInput<'_>) -> PlacementRecord;
}
