//! An order from a placer to an engine.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::GroupRecord;
use crate::config::ModelSpec;
use crate::health::MemberReport;
use crate::ids::Fence;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::ModelId;
use crate::ids::VmId;

/// Tells an engine which group it joins and which model it loads.
///
/// Without a group the engine only keeps the model loaded; without a model it
/// unloads the current one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// VM whose engine receives the order.
    pub vm: VmId,
    /// Fencing token of the placer; engines that check it reject an order with a lower one.
    pub fence: Fence,
    /// Group to join; empty for none.
    pub group: GroupId,
    /// Generation of the group.
    pub generation: Generation,
    /// Model to load.
    pub model: ModelId,
    /// Version to load.
    pub version: SmolStr,
    /// Adapters to load.
    pub adapters: Vec<SmolStr>,
    /// Members of the group in the order of their ranks.
    pub members: Vec<VmId>,
}

impl EngineOrder {
    /// Returns the order that makes `vm` a member of `group`.
    pub fn join(vm: &VmId, group: &GroupRecord, fence: Fence) -> Self {
        Self {
            vm: vm.clone(),
            fence,
            group: group.group.clone(),
            generation: group.generation,
            model: group.model.clone(),
            version: group.version.clone(),
            adapters: group.adapters.clone(),
            members: group
                .members
                .iter()
                .map(|member| member.vm.clone())
                .collect(),
        }
    }

    /// Returns the order that makes `vm` load a model without joining a group.
    pub fn preload(vm: &VmId, spec: &ModelSpec, fence: Fence) -> Self {
        Self {
            vm: vm.clone(),
            fence,
            model: spec.model.clone(),
            version: spec.version.clone(),
            adapters: spec.adapters.clone(),
            ..Self::default()
        }
    }

    /// Returns the order that unloads `vm`.
    pub fn unload(vm: &VmId, fence: Fence) -> Self {
        Self {
            vm: vm.clone(),
            fence,
            ..Self::default()
        }
    }

    /// Tells whether the reported state of the engine matches the order.
    pub fn is_met_by(&self, report: &MemberReport) -> bool {
        report.group == self.group
            && report.generation == self.generation
            && report.model == self.model
            && report.version == self.version
    }
}
