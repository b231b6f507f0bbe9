//! Interface of the placement strategies.

use std::collections::BTreeMap;

use super::PlacementRecord;
use super::PlanInput;
use crate::ids::ModelId;
use crate::ids::VmId;

/// Decides which VMs form which group of a zone.
pub trait PlacementPlanner: Send + Sync {
    /// Returns the record that should replace `input.current`.
    ///
    /// The result equals `input.current` when nothing needs to change. The
    /// writer sets fence and nonce.
    fn plan(&self, input: &PlanInput<'_>) -> PlacementRecord;

    /// Returns the models to preload on VMs without a group, so that they can
    /// replace a lost member without loading first.
    ///
    /// `planned` is the record in force. The default preloads nothing.
    fn preloads(
        &self,
        input: &PlanInput<'_>,
        planned: &PlacementRecord,
    ) -> BTreeMap<VmId, ModelId> {
        let _ = (input, planned);
        BTreeMap::new()
    }
}
