//! Gives VMs of a model with much capacity to one that has too little.

use std::time::Duration;
use std::time::Instant;

use super::super::GroupKey;
use super::super::GroupSummary;
use super::super::MemberState;
use super::super::ModelDemand;
use super::super::PlannedOrder;
use super::super::PlannerInput;
use super::super::ReplicaOrder;
use super::FleetLayout;
use super::ReplicaPlanner;
use super::ServicePool;
use crate::ids::ModelId;
use crate::ids::ServiceId;
use crate::serving::ModelProfile;

/// A model counts as short below this fraction of the highest coverage. The wide gap is
/// hysteresis: a group that serves is worth more than a better balance.
const SHORT_COVERAGE_RATIO: f64 = 0.5;
/// Time for which a model must be short. Repairs from free VMs take about 2 s.
const MIN_SHORT_TIME: Duration = Duration::from_millis(2_500);
/// Multiple of its nominal load time after which a conversion is given up.
const CONVERSION_TIMEOUT_FACTOR: u64 = 3;
/// One of this many groups of a model may be converted at the same time.
const GROUPS_PER_CONVERSION: usize = 8;

/// A group whose members load the weights of another model while they still serve.
#[derive(Clone, Debug)]
pub(super) struct GroupConversion {
    /// Model that the members are to serve.
    pub(super) model: ModelId,
    /// Time at which the conversion is given up.
    pub(super) times_out_at: Instant,
    /// Whether measured demand calls for it.
    pub(super) follows_demand: bool,
    /// Whether the group has been ordered to close.
    pub(super) is_closing: bool,
    /// Whether its members leave; the registry may still show the group for a while.
    pub(super) is_dissolved: bool,
}

impl ReplicaPlanner {
    /// Starts conversions if a model is short and cannot get a group from free VMs.
    pub(super) fn convert_groups(
        &mut self,
        service: &ServiceId,
        pool: &ServicePool<'_>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let Some(mut layout) = self.layouts.remove(service) else {
            return;
        };
        if input.has_traffic
            && let Some((short, rich)) = short_model(&layout, pool, input)
        {
            self.start_conversion(&layout, short, rich, input);
            layout.note_short_model(&short.model, input.now);
        } else {
            layout.clear_short_model();
        }
        if input.has_traffic
            && let Some(demand) = input.demand
        {
            self.follow_demand(service, &layout, pool, demand, input);
        }
        self.load_for_conversions(service, pool, input, orders);
        self.layouts.insert(service.clone(), layout);
    }

    fn start_conversion(
        &mut self,
        layout: &FleetLayout,
        short: &ModelProfile,
        rich: &ModelProfile,
        input: &PlannerInput<'_>,
    ) {
        let is_lasting = layout
            .short_since(&short.model)
            .is_some_and(|since| input.now >= since + MIN_SHORT_TIME);
        let rich_count = layout.group_count(&rich.model);
        let limit = (rich_count / GROUPS_PER_CONVERSION).max(1);
        let is_better = ModelDemand::of(rich).coverage(rich_count - 1) > layout.coverage(short);
        let has_room = rich.vms_per_group >= short.vms_per_group;
        if !is_lasting || !is_better || !has_room || self.conversions.len() >= limit {
            return;
        }
        let Some(key) = self.best_candidate(rich, short, input) else {
            return;
        };
        let timeout = Duration::from_millis(short.load_ms * CONVERSION_TIMEOUT_FACTOR);
        let conversion = GroupConversion {
            model: short.model.clone(),
            times_out_at: input.now + timeout,
            follows_demand: false,
            is_closing: false,
            is_dissolved: false,
        };
        self.conversions.insert(key, conversion);
    }

    /// Returns the group of `rich` that is converted soonest: the one with the most members
    /// that need no load.
    pub(super) fn best_candidate(
        &self,
        rich: &ModelProfile,
        short: &ModelProfile,
        input: &PlannerInput<'_>,
    ) -> Option<GroupKey> {
        let groups = input.groups.groups.values();
        let candidates = groups.filter(|summary| {
            summary.model == rich.model
                && summary.is_serving()
                && summary.is_complete()
                && !self.conversions.contains_key(&summary.key)
        });
        let best = candidates.max_by_key(|summary| {
            let members = summary.members.iter();
            let records = members.filter_map(|(_, id, _)| input.table.get(id));
            records
                .filter(|record| record.has_staged(&short.model))
                .count()
        });
        best.map(|summary| summary.key.clone())
    }

    /// Orders the loads of members that are to serve another model, within the limit.
    fn load_for_conversions(
        &mut self,
        service: &ServiceId,
        pool: &ServicePool<'_>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let limit = pool.engine.parallel_loads.max(1);
        for (key, conversion) in self.conversions.clone() {
            let Some(summary) = input.groups.groups.get(&key) else {
                continue;
            };
            let mut profiles = pool.engine.models.iter();
            let profile = profiles.find(|profile| profile.model == conversion.model);
            let Some(profile) = profile.filter(|_| summary.service == *service) else {
                continue;
            };
            let usable = summary.members.len() / profile.vms_per_group.max(1);
            let needed = usable * profile.vms_per_group;
            for (_, id, _) in summary.members.iter().take(needed) {
                let record = input.table.get(id);
                let Some(record) = record.filter(|record| !record.has_staged(&profile.model))
                else {
                    continue;
                };
                if self.loading.contains_key(id) || self.loading.len() >= limit {
                    continue;
                }
                self.begin_load(record, profile, input, orders);
            }
        }
    }

    /// Closes a group once enough of its members hold the weights of their next model, so
    /// that it serves until they can form the next group.
    pub(super) fn close_for_conversion(
        &mut self,
        summary: &GroupSummary,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let Some(conversion) = self.conversions.get(&summary.key).cloned() else {
            return;
        };
        let service = input.config.services.get(&summary.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let profile = engine.and_then(|engine| {
            let mut models = engine.models.iter();
            models.find(|profile| profile.model == conversion.model)
        });
        let Some(profile) = profile else {
            return;
        };
        let members = summary.members.iter();
        let records = members.filter_map(|(_, id, _)| input.table.get(id));
        let held = records.filter(|record| record.has_staged(&profile.model));
        let size = profile.vms_per_group.max(1);
        if held.count() < summary.members.len() / size * size {
            return;
        }
        let Some(head) = summary.head() else {
            return;
        };
        if summary.head_state() != Some(MemberState::Open) {
            return;
        }
        if !self.confirm_conversion(summary, &conversion, input) {
            return;
        }
        let order = ReplicaOrder::Close {
            key: summary.key.clone(),
            is_abrupt: false,
        };
        self.push(head, order, "another model needs its VMs", input, orders);
    }
}

/// Returns a model whose coverage is far below that of another one, and the other one.
fn short_model<'a>(
    layout: &FleetLayout,
    pool: &ServicePool<'a>,
    input: &PlannerInput<'_>,
) -> Option<(&'a ModelProfile, &'a ModelProfile)> {
    let by_coverage = |left: &&ModelProfile, right: &&ModelProfile| {
        layout.coverage(left).total_cmp(&layout.coverage(right))
    };
    let largest_domain = layout.largest_room();
    let mut fitting = pool.engine.models.iter();
    let short = fitting
        .by_ref()
        .filter(|profile| profile.vms_per_group <= largest_domain)
        .min_by(by_coverage)?;
    let rich = pool.engine.models.iter().max_by(by_coverage)?;
    let is_short = layout.coverage(short) < SHORT_COVERAGE_RATIO * layout.coverage(rich);
    let short_count = layout.group_count(&short.model);
    let is_planned = short_count < layout.planned(&short.model);
    // Where groups follow demand, the planned numbers alone only help a model without any.
    let is_short = is_short && (input.demand.is_none() || short_count == 0);
    (input.has_traffic && is_short && is_planned).then_some((short, rich))
}
