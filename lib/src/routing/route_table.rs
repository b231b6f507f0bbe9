//! Routing table, derived from the configuration and the placement records.

use std::collections::BTreeMap;

use super::ClosedReason;
use super::RouteTarget;
use super::TargetKind;
use crate::config::EndpointSpec;
use crate::config::FleetConfig;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::placement::GroupRecord;
use crate::placement::GroupState;
use crate::placement::PlacementRecord;

/// Targets by name and by what they serve.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    targets: BTreeMap<TargetId, RouteTarget>,
    by_kind: BTreeMap<TargetKind, Vec<TargetId>>,
}

impl RouteTable {
    /// Builds the table from one snapshot of the configuration and the placements.
    pub fn build(config: &FleetConfig, placements: &BTreeMap<ZoneId, PlacementRecord>) -> Self {
        let mut table = Self::default();
        for (zone, placement) in placements {
            for group in placement.groups.values() {
                table.insert_group(config, zone, group);
            }
        }
        for endpoint in config.endpoints.values() {
            table.insert_endpoint(config, endpoint);
        }
        table
    }

    /// Returns the target with this name.
    pub fn get(&self, target: &str) -> Option<&RouteTarget> {
        self.targets.get(target)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &RouteTarget> {
        self.targets.values()
    }

    /// Returns the targets that serve `kind`, including closed ones.
    pub fn serving(&self, kind: &TargetKind) -> impl Iterator<Item = &RouteTarget> {
        let names = self
            .by_kind
            .get(kind)
            .map(Vec::as_slice)
            .unwrap_or_default();
        names.iter().filter_map(|name| self.targets.get(name))
    }

    fn insert_group(&mut self, config: &FleetConfig, zone: &ZoneId, group: &GroupRecord) {
        let Some(leader) = group.members.first() else {
            return;
        };
        let model = config.models.get(&group.model);
        self.insert(RouteTarget {
            target: group.group.clone(),
            kind: TargetKind::Model(group.model.clone()),
            zone: zone.clone(),
            address: leader.address,
            generation: group.generation,
            slots: model.map_or(0, |model| clamp_slots(model.slots)),
            cold_slots: model.map_or(0, |model| clamp_slots(model.cold_slots)),
            group: Some(group.clone()),
            closed: group_closed(config, zone, group),
        });
    }

    fn insert_endpoint(&mut self, config: &FleetConfig, endpoint: &EndpointSpec) {
        let Some(service) = config.services.get(&endpoint.service) else {
            return;
        };
        let is_out = config.is_zone_out(&endpoint.zone);
        let closed = match (is_out, endpoint.leaving) {
            (true, _) => Some(ClosedReason::ZoneOut),
            (false, true) => Some(ClosedReason::Leaving),
            (false, false) => None,
        };
        self.insert(RouteTarget {
            target: endpoint.endpoint.clone(),
            kind: TargetKind::Service(endpoint.service.clone()),
            zone: endpoint.zone.clone(),
            address: endpoint.address,
            generation: 0,
            slots: clamp_slots(service.slots),
            cold_slots: clamp_slots(service.cold_slots),
            group: None,
            closed,
        });
    }

    fn insert(&mut self, target: RouteTarget) {
        let names = self.by_kind.entry(target.kind.clone()).or_default();
        names.push(target.target.clone());
        self.targets.insert(target.target.clone(), target);
    }
}

fn group_closed(config: &FleetConfig, zone: &ZoneId, group: &GroupRecord) -> Option<ClosedReason> {
    if config.is_zone_out(zone) {
        return Some(ClosedReason::ZoneOut);
    }
    if group.state == GroupState::Draining {
        return Some(ClosedReason::Draining);
    }
    if !config.models.contains_key(&group.model) {
        return Some(ClosedReason::Unconfigured);
    }
    for member in &group.members {
        let Some(spec) = config.vms.get(&member.vm) else {
            return Some(ClosedReason::Unconfigured);
        };
        if spec.domain != group.domain {
            return Some(ClosedReason::Unconfigured);
        }
        if spec.leaving {
            return Some(ClosedReason::Leaving);
        }
    }
    None
}

fn clamp_slots(slots: u64) -> u32 {
    u32::try_from(slots).unwrap_or(u32::MAX)
}
