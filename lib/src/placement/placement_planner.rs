//! The border behind which ways of placing groups vary.

use std::collections::BTreeMap;

use super::PlacementRecord;
use super::PlanInput;
use crate::ids::ModelId;
use crate::ids::VmId;

/// Decides which VMs form which group of a zone.
pub trait PlacementPlanner: Send + Sync {
    /// Returns the record that should follow `input.current`.
    ///
    /// The result equals `input.current` when nothing needs to change. Fence
    /// and nonce are left to the writer.
    fn plan(&self, input: &PlanInput<'_>) -> PlacementRecord;

    /// Returns the models that VMs without a group should hold, so that they
    /// can replace a lost member without loading first.
    ///
    /// `planned` is the record in force. The default holds nothing ready.
    fn preloads(
        &self,
        input: &PlanInput<'_>,
        planned: &PlacementRecord,
    ) -> BTreeMap<VmId, ModelId> {
        let _ = (input, planned);
        BTreeMap::new()
    }
}
