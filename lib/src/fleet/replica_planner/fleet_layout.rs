//! How many groups each domain is to hold, and how many the service has.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::super::DomainRoom;
use super::super::EndpointState;
use super::super::GroupPacking;
use super::super::MemberState;
use super::super::ModelDemand;
use super::super::PlannerInput;
use super::ReplicaPlanner;
use super::group_moves::GroupMoves;
use super::group_moves::with_moved;
use crate::ids::DomainId;
use crate::ids::ModelId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;
use crate::serving::EngineProfile;
use crate::serving::ModelProfile;

/// Time without a new VM after which the registry is considered complete at the first start.
/// VMs register some tens a second.
const REGISTRATION_QUIET_TIME: Duration = Duration::from_millis(300);
/// Time after which groups are planned at the first start although VMs still register. Loads
/// and joins take about 3 s then, and traffic starts 10 s or more after the VMs do.
const MAX_REGISTRATION_TIME: Duration = Duration::from_millis(5_000);

/// Planned and present groups of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetLayout {
    pub(super) rooms: Vec<DomainRoom>,
    demands: Vec<ModelDemand>,
    models: Vec<ModelId>,
    packing: GroupPacking,
    domain_indexes: BTreeMap<DomainId, usize>,
    vm_count: usize,
    /// Time from which groups are planned at the first start.
    plans_from: Option<Instant>,
    /// Time until which the first start waits for VMs to register.
    waits_until: Option<Instant>,
    /// Model that has far less capacity than another one, and since when.
    short_model: Option<(ModelId, Instant)>,
    groups: BTreeMap<(ModelId, DomainId), usize>,
    zone_groups: BTreeMap<(ModelId, ZoneId), usize>,
    /// Deviations from the packing because of measured demand.
    pub(super) moves: GroupMoves,
}

impl FleetLayout {
    /// Returns whether the VMs that are known now may be assigned to models.
    pub(super) fn is_settled(&self, input: &PlannerInput<'_>) -> bool {
        let is_quiet = self.plans_from.is_some_and(|at| input.now >= at);
        input.has_traffic || is_quiet || self.waits_until.is_some_and(|at| input.now >= at)
    }

    /// Returns the planned number of groups of a model in a domain.
    pub(super) fn planned_in(&self, model: &str, domain: &str) -> usize {
        let index = self.models.iter().position(|known| known == model);
        let packed = match (self.domain_indexes.get(domain), index) {
            (Some(domain), Some(index)) => self.packing.count(*domain, index),
            _ => 0,
        };
        with_moved(packed, self.moves.in_domain(model, domain), 0)
    }

    /// Returns the planned number of groups of a model in all domains.
    pub(super) fn planned(&self, model: &str) -> usize {
        with_moved(self.packed(model), self.moves.total(model), 1)
    }

    /// Returns the number of groups of a model in the packing.
    fn packed(&self, model: &str) -> usize {
        let model = self.models.iter().position(|known| known == model);
        model.map_or(0, |model| self.packing.total(model))
    }

    /// Returns the models of which no domain can hold a group.
    pub(super) fn models_without_room(&self) -> impl Iterator<Item = &ModelId> {
        let largest_room = self.largest_room();
        let pairs = self.models.iter().zip(&self.demands);
        let oversized = pairs.filter(move |(_, demand)| demand.vms_per_group > largest_room);
        oversized.map(|(model, _)| model)
    }

    /// Returns the number of groups of a model that serve or are being formed.
    pub(super) fn group_count(&self, model: &str) -> usize {
        let groups = self.groups.iter();
        let own = groups.filter(|((known, _), _)| known == model);
        own.map(|(_, count)| count).sum()
    }

    /// Returns the number of such groups in a domain.
    pub(super) fn count_in(&self, model: &str, domain: &str) -> usize {
        let key = (ModelId::from(model), DomainId::from(domain));
        self.groups.get(&key).copied().unwrap_or(0)
    }

    /// Returns the number of such groups in an availability zone.
    pub(super) fn zone_count(&self, model: &str, zone: &str) -> usize {
        let key = (ModelId::from(model), ZoneId::from(zone));
        self.zone_groups.get(&key).copied().unwrap_or(0)
    }

    /// Returns the capacity of a model relative to its share.
    pub(super) fn coverage(&self, profile: &ModelProfile) -> f64 {
        let coverage = ModelDemand::of(profile).coverage(self.group_count(&profile.model));
        let packed = self.packed(&profile.model);
        if self.moves.is_empty() || packed == 0 {
            return coverage;
        }
        // Moved groups change the share that the model's work needs.
        coverage * packed as f64 / self.planned(&profile.model).max(1) as f64
    }

    /// Returns the demands of the models that a domain is planned for.
    pub(super) fn demands_in(&self, domain: &str) -> impl Iterator<Item = &ModelDemand> {
        let pairs = self.models.iter().zip(&self.demands);
        let planned = pairs.filter(move |(model, _)| self.planned_in(model, domain) > 0);
        planned.map(|(_, demand)| demand)
    }

    /// Returns the number of VMs in the largest domain.
    pub(super) fn largest_room(&self) -> usize {
        let counts = self.rooms.iter().map(|room| room.vm_count);
        counts.max().unwrap_or(0)
    }

    /// Records that a model is short; the first time counts until it is cleared.
    pub(super) fn note_short_model(&mut self, model: &ModelId, now: Instant) {
        if self.short_since(model).is_none() {
            self.short_model = Some((model.clone(), now));
        }
    }

    /// Records that no model is short.
    pub(super) fn clear_short_model(&mut self) {
        self.short_model = None;
    }

    /// Returns since when a model has been short.
    pub(super) fn short_since(&self, model: &str) -> Option<Instant> {
        let known = self.short_model.as_ref();
        known
            .filter(|(known, _)| known == model)
            .map(|(_, since)| *since)
    }

    /// Counts a group that serves or is being formed.
    pub(super) fn add_group(&mut self, model: &ModelId, domain: &DomainId, zone: &ZoneId) {
        let key = (model.clone(), domain.clone());
        *self.groups.entry(key).or_insert(0) += 1;
        let key = (model.clone(), zone.clone());
        *self.zone_groups.entry(key).or_insert(0) += 1;
    }

    /// Takes the VMs of each domain into account and plans the groups anew if they changed.
    /// With traffic, a domain keeps the room that it had, so that the loss of VMs does not
    /// lower the planned number of groups.
    fn update_rooms(&mut self, found: Vec<DomainRoom>, engine: &EngineProfile, has_traffic: bool) {
        let mut rooms = found;
        if has_traffic {
            for known in &self.rooms {
                match rooms.iter_mut().find(|room| room.domain == known.domain) {
                    Some(room) => room.vm_count = room.vm_count.max(known.vm_count),
                    None => rooms.push(known.clone()),
                }
            }
            rooms.sort_by(|left, right| left.domain.cmp(&right.domain));
        }
        let demands: Vec<ModelDemand> = engine.models.iter().map(ModelDemand::of).collect();
        if rooms == self.rooms && demands == self.demands {
            return;
        }
        self.packing = GroupPacking::plan(&rooms, &demands);
        self.models = engine
            .models
            .iter()
            .map(|profile| profile.model.clone())
            .collect();
        let indexes = rooms.iter().enumerate();
        self.domain_indexes = indexes
            .map(|(index, room)| (room.domain.clone(), index))
            .collect();
        self.rooms = rooms;
        self.demands = demands;
    }
}

impl ReplicaPlanner {
    /// Updates the planned groups of a service.
    pub(super) fn update_layout(
        &mut self,
        service: &ServiceId,
        engine: &EngineProfile,
        input: &PlannerInput<'_>,
    ) {
        let mut rooms: BTreeMap<DomainId, DomainRoom> = BTreeMap::new();
        let mut vm_count = 0;
        for record in input.table.iter() {
            let is_usable = record.service == *service
                && record.state == EndpointState::Ready
                && !input.unreachable.contains(&record.id);
            if !is_usable {
                continue;
            }
            vm_count += 1;
            let room = rooms
                .entry(record.domain.clone())
                .or_insert_with(|| DomainRoom {
                    domain: record.domain.clone(),
                    zone: record.zone.clone(),
                    vm_count: 0,
                });
            room.vm_count += 1;
        }
        let layout = self.layouts.entry(service.clone()).or_default();
        if vm_count > layout.vm_count {
            layout.plans_from = Some(input.now + REGISTRATION_QUIET_TIME);
            layout
                .waits_until
                .get_or_insert(input.now + MAX_REGISTRATION_TIME);
        }
        layout.vm_count = vm_count;
        layout.update_rooms(rooms.into_values().collect(), engine, input.has_traffic);
    }

    /// Counts the groups of a service that serve or are being formed.
    pub(super) fn count_groups(
        &mut self,
        service: &ServiceId,
        engine: &EngineProfile,
        input: &PlannerInput<'_>,
    ) {
        let Some(mut layout) = self.layouts.remove(service) else {
            return;
        };
        layout.groups.clear();
        layout.zone_groups.clear();
        for (key, pending) in &self.pending_groups {
            let head = pending.members.first().and_then(|id| input.table.get(id));
            if let Some(head) = head.filter(|head| head.service == *service)
                && !self.conversions.contains_key(key)
            {
                layout.add_group(&pending.model, &head.domain, &head.zone);
            }
        }
        for summary in input.groups.groups.values() {
            let is_open = summary.head_state() == Some(MemberState::Open) && !summary.is_draining;
            let mut members = summary.members.iter();
            let is_reachable = members.all(|(_, id, _)| !input.unreachable.contains(id));
            let is_counted = summary.service == *service
                && is_open
                && summary.is_serving()
                && is_reachable
                && !self.pending_groups.contains_key(&summary.key);
            if is_counted {
                layout.add_group(&summary.model, &summary.domain, &summary.zone);
            }
        }
        if input.has_traffic && input.demand.is_some() {
            layout.infer_moves(engine, input.now);
        }
        self.layouts.insert(service.clone(), layout);
    }
}
