//! Converts groups for models that are short by measured demand.

use std::time::Duration;
use std::time::Instant;

use super::super::ConversionNote;
use super::super::ConversionStep;
use super::super::DemandMonitor;
use super::super::GroupSummary;
use super::super::PlannedOrder;
use super::super::PlannerInput;
use super::FleetLayout;
use super::ReplicaPlanner;
use super::ServicePool;
use super::convert_groups::GroupConversion;
use super::form_groups::FreeVms;
use super::group_moves::ConvertedMembers;
use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::serving::EngineProfile;
use crate::serving::ModelProfile;

/// Time after the forming of a converted group before the next one is converted. Joining and
/// opening take 2 s, and the shortage must then hold for some time with the new groups.
const SETTLE_TIME: Duration = Duration::from_millis(6_000);
/// Time for which a model that has gained a group gives up none, unless the other model's use
/// exceeds [`URGENT_USE`]. A load of weights takes 12 to 16 s, so that faster changes cost more
/// than they bring.
const HOLD_TIME: Duration = Duration::from_millis(60_000);
/// Use of its slots from which a short model gets groups of a model that has just gained one.
const URGENT_USE: f64 = 0.8;
/// Time for which the members of a dissolved group are kept for the groups of the short model.
/// Leaving takes a planning round and a registry change, about 0.5 s.
const KEEP_TIME: Duration = Duration::from_millis(10_000);
/// Time in which a new planner infers the moves of its predecessor from the groups, while the
/// registry may still be incomplete.
const INFERENCE_TIME: Duration = Duration::from_millis(6_000);
/// Time that a group which is being converted has at least to finish its requests.
const MAX_CLOSING_TIME: Duration = Duration::from_millis(60_000);
/// Multiple of the nominal load time, beside that of the load batches, after which a
/// conversion is given up.
const EXTRA_LOADS: usize = 3;

impl ReplicaPlanner {
    /// Starts a conversion if measured demand calls for one.
    pub(super) fn follow_demand(
        &mut self,
        service: &ServiceId,
        layout: &FleetLayout,
        pool: &ServicePool<'_>,
        demand: &DemandMonitor,
        input: &PlannerInput<'_>,
    ) {
        let groups = &input.groups.groups;
        let mut keys = self.conversions.keys();
        let is_converting = keys.any(|key| {
            let summary = groups.get(key);
            summary.is_some_and(|summary| summary.service == *service)
        });
        let waits = layout.moves.next_start_at.is_some_and(|at| input.now < at);
        if is_converting || waits || !layout.moves.converted.is_empty() {
            return;
        }
        let Some((short, donor)) = chosen_models(service, layout, pool.engine, demand, input.now)
        else {
            return;
        };
        let Some(key) = self.best_candidate(donor, short, input) else {
            return;
        };
        let batches = donor
            .vms_per_group
            .div_ceil(pool.engine.parallel_loads.max(1));
        let loads = (batches + EXTRA_LOADS) as u64;
        let conversion = GroupConversion {
            model: short.model.clone(),
            times_out_at: input.now + Duration::from_millis(short.load_ms * loads),
            follows_demand: true,
            is_closing: false,
            is_dissolved: false,
        };
        self.demand_notes.push(ConversionNote {
            step: ConversionStep::Started,
            group: key.clone(),
            donor: donor.model.clone(),
            short: short.model.clone(),
        });
        self.conversions.insert(key, conversion);
    }

    /// Returns whether a group whose members hold the weights of the short model may be closed.
    /// A conversion that demand no longer calls for is removed.
    pub(super) fn confirm_conversion(
        &mut self,
        summary: &GroupSummary,
        conversion: &GroupConversion,
        input: &PlannerInput<'_>,
    ) -> bool {
        if !conversion.follows_demand || conversion.is_closing {
            return true;
        }
        let is_needed = input.demand.is_some_and(|demand| {
            demand.spare_groups(&summary.service, &summary.model) > 0
                && demand.still_needs(&summary.service, &conversion.model, input.now)
        });
        let step = if is_needed {
            let mut closing = conversion.clone();
            closing.is_closing = true;
            closing.times_out_at = closing.times_out_at.max(input.now + MAX_CLOSING_TIME);
            self.conversions.insert(summary.key.clone(), closing);
            ConversionStep::Closed
        } else {
            self.conversions.remove(&summary.key);
            ConversionStep::Cancelled
        };
        self.demand_notes.push(ConversionNote {
            step,
            group: summary.key.clone(),
            donor: summary.model.clone(),
            short: conversion.model.clone(),
        });
        is_needed
    }

    /// Keeps the members of a group that is being dissolved for the groups of the short model,
    /// and takes the group out of the plan of its model.
    pub(super) fn keep_converted_members(
        &mut self,
        summary: &GroupSummary,
        input: &PlannerInput<'_>,
    ) {
        let Some(conversion) = self.conversions.get_mut(&summary.key) else {
            return;
        };
        let Some(layout) = self.layouts.get_mut(&summary.service) else {
            return;
        };
        if !conversion.follows_demand || conversion.is_dissolved {
            return;
        }
        conversion.is_dissolved = true;
        let moves = &mut layout.moves;
        let members = summary.members.iter();
        moves.converted.push(ConvertedMembers {
            key: summary.key.clone(),
            donor: summary.model.clone(),
            short: conversion.model.clone(),
            domain: summary.domain.clone(),
            members: members.map(|(_, id, _)| id.clone()).collect(),
            has_formed: false,
            expires_at: input.now + KEEP_TIME,
        });
        moves.add(&summary.model, &summary.domain, -1);
    }

    /// Forms groups of the short model from members of dissolved groups, and takes those that
    /// are still to form one from the free VMs.
    pub(super) fn form_converted(
        &mut self,
        layout: &mut FleetLayout,
        engine: &EngineProfile,
        free: &mut FreeVms<'_>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        for mut converted in std::mem::take(&mut layout.moves.converted) {
            let mut profiles = engine.models.iter();
            let profile = profiles.find(|profile| profile.model == converted.short);
            let Some(profile) = profile else {
                continue;
            };
            let size = profile.vms_per_group.max(1);
            let mut empty = Vec::new();
            let records = free.get_mut(&converted.domain).unwrap_or(&mut empty);
            loop {
                let usable = records.iter().copied().filter(|record| {
                    converted.members.contains(&record.id)
                        && self.can_join(record, &profile.model, input)
                });
                let members: Vec<_> = usable.take(size).collect();
                if members.len() < size {
                    break;
                }
                let is_member = |id: &EndpointId| members.iter().any(|member| member.id == *id);
                records.retain(|record| !is_member(&record.id));
                converted.members.retain(|id| !is_member(id));
                layout.add_group(&profile.model, &members[0].domain, &members[0].zone);
                self.start_group(profile, &members, input, orders);
                layout.moves.add(&profile.model, &converted.domain, 1);
                layout.moves.next_start_at = Some(input.now + SETTLE_TIME);
                let held_until = input.now + HOLD_TIME;
                layout
                    .moves
                    .held_until
                    .insert(profile.model.clone(), held_until);
                converted.has_formed = true;
            }
            converted
                .members
                .retain(|id| input.table.get(id).is_some() && !input.unreachable.contains(id));
            let is_over = converted.members.len() < size || input.now >= converted.expires_at;
            if !is_over {
                records.retain(|record| !converted.members.contains(&record.id));
                layout.moves.converted.push(converted);
                continue;
            }
            let step = if converted.has_formed {
                ConversionStep::Formed
            } else {
                // The VMs serve their former model again.
                layout.moves.add(&converted.donor, &converted.domain, 1);
                layout.moves.next_start_at = Some(input.now + SETTLE_TIME);
                ConversionStep::Failed
            };
            self.demand_notes.push(ConversionNote {
                step,
                group: converted.key,
                donor: converted.donor,
                short: converted.short,
            });
        }
    }

    /// Returns the steps of conversions since the last call.
    pub fn take_demand_notes(&mut self) -> Vec<ConversionNote> {
        std::mem::take(&mut self.demand_notes)
    }
}

impl FleetLayout {
    /// Infers the moves of an earlier planner: a model has more groups than packed, and a larger
    /// one has as many fewer as these VMs held.
    pub(super) fn infer_moves(&mut self, engine: &EngineProfile, now: Instant) {
        let until = *self
            .moves
            .inferred_until
            .get_or_insert(now + INFERENCE_TIME);
        if now >= until {
            return;
        }
        self.moves.clear();
        for gainer in &engine.models {
            for donor in &engine.models {
                let ratio = donor.vms_per_group / gainer.vms_per_group.max(1);
                if donor.model == gainer.model || ratio == 0 {
                    continue;
                }
                let gained = self.group_count(&gainer.model);
                let surplus = gained.saturating_sub(self.planned(&gainer.model));
                let kept = self.group_count(&donor.model);
                let deficit = self.planned(&donor.model).saturating_sub(kept);
                for _ in 0..deficit.min(surplus / ratio) {
                    self.infer_move(gainer, donor, ratio);
                }
            }
        }
    }

    /// Records one move in the domain where the gainer exceeds its plan most.
    fn infer_move(&mut self, gainer: &ModelProfile, donor: &ModelProfile, ratio: usize) {
        let excess = |domain: &str| {
            let count = self.count_in(&gainer.model, domain);
            count as i64 - self.planned_in(&gainer.model, domain) as i64
        };
        let rooms = self.rooms.iter();
        let room = rooms.max_by_key(|room| excess(&room.domain));
        let Some(domain) = room.map(|room| room.domain.clone()) else {
            return;
        };
        self.moves.add(&donor.model, &domain, -1);
        self.moves.add(&gainer.model, &domain, ratio as i64);
    }
}

/// Returns the models between which a group is to be moved, if any: a short one and one that
/// can give up a group whose VMs hold at least one group of the short model.
fn chosen_models<'a>(
    service: &ServiceId,
    layout: &FleetLayout,
    engine: &'a EngineProfile,
    demand: &DemandMonitor,
    now: Instant,
) -> Option<(&'a ModelProfile, &'a ModelProfile)> {
    let profile_of = |model: &str| {
        let mut profiles = engine.models.iter();
        profiles.find(|profile| profile.model == model)
    };
    for shortage in demand.shortages(service, now) {
        let (Some(short), Some(donor)) = (profile_of(&shortage.short), profile_of(&shortage.donor))
        else {
            continue;
        };
        let held_until = layout.moves.held_until.get(&donor.model);
        let is_held = held_until.is_some_and(|until| now < *until);
        if is_held && demand.present_use(service, &short.model, now) < URGENT_USE {
            continue;
        }
        let has_room = donor.vms_per_group >= short.vms_per_group
            && layout.group_count(&donor.model) > 1
            && demand.spare_groups(service, &donor.model) > 0;
        if has_room {
            return Some((short, donor));
        }
    }
    None
}
