//! Forms and opens groups, and replaces them when members fail.
//!
//! The registry is the only source of truth about groups, so a new lease holder continues
//! from the registry alone. The planner itself remembers only what the registry does not
//! show, such as orders in flight, which it must not repeat.

mod convert_groups;
mod fleet_layout;
mod follow_demand;
mod form_groups;
mod group_moves;
mod reconcile_groups;
mod stage_weights;
mod warm_spares;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use super::ConversionNote;
use super::EndpointRecord;
use super::EndpointState;
use super::GroupKey;
use super::OrderAnswer;
use super::PlannedOrder;
use super::PlannerInput;
use super::ReplicaOrder;
use crate::ids::DomainId;
use crate::ids::EndpointId;
use crate::ids::Epoch;
use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ids::ModelId;
use crate::ids::ServiceId;
use crate::serving::EngineProfile;

/// Time after which an order without visible effect is sent again. It covers a registry
/// write, the watch event and a planning round.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Time after which an order with a conflict or no answer is sent again. A registry write
/// and its watch event take about as long.
const UNCONFIRMED_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of group epochs under one fence.
const EPOCHS_PER_FENCE: u64 = EPOCHS_PER_RANGE * RANGES_PER_FENCE;
/// Number of epochs in the range of one planner. A busy day forms a few hundred groups.
const EPOCHS_PER_RANGE: u64 = 10_000;
/// Number of epoch ranges under one fence, for successive planners with the same fence.
const RANGES_PER_FENCE: u64 = 100;

use convert_groups::GroupConversion;
use fleet_layout::FleetLayout;

/// Plans the orders that load weights and form, open and dissolve groups.
#[derive(Clone, Debug)]
pub struct ReplicaPlanner {
    next_epoch: Epoch,
    pending_groups: BTreeMap<GroupKey, PendingGroup>,
    retry_at: BTreeMap<(EndpointId, &'static str), Instant>,
    loading: BTreeMap<EndpointId, WeightLoad>,
    /// Single-member groups in which spare VMs preload their model, by VM.
    warmup_groups: BTreeMap<EndpointId, GroupKey>,
    /// Model that each VM last loaded in a group, and the incarnation that loaded it.
    loaded_models: BTreeMap<EndpointId, (Incarnation, ModelId)>,
    /// Time since which each free VM has been free.
    free_since: BTreeMap<EndpointId, Instant>,
    /// Last group that each VM has left by an order of this planner.
    last_left_group: BTreeMap<EndpointId, GroupKey>,
    /// Groups that members have left but that the registry still shows them in.
    left_groups: BTreeMap<EndpointId, GroupKey>,
    /// Planned and present groups of each service.
    layouts: BTreeMap<ServiceId, FleetLayout>,
    /// Groups whose members are to serve another model.
    conversions: BTreeMap<GroupKey, GroupConversion>,
    /// Steps of conversions that have not been logged.
    demand_notes: Vec<ConversionNote>,
}

#[derive(Clone, Debug)]
struct PendingGroup {
    model: ModelId,
    members: Vec<EndpointId>,
}

#[derive(Clone, Debug)]
struct WeightLoad {
    model: ModelId,
    times_out_at: Instant,
}

/// Engine profile and free VMs of one service.
struct ServicePool<'a> {
    engine: &'a EngineProfile,
    free: Vec<&'a EndpointRecord>,
}

impl ReplicaPlanner {
    /// Creates a planner for the lock holder with `fence`.
    ///
    /// `range` selects the range of epochs under the fence, so that a planner that has
    /// taken over the fence does not reuse epochs of its predecessor.
    pub fn new(fence: Fence, range: u64) -> Self {
        let first = fence * EPOCHS_PER_FENCE + (range % RANGES_PER_FENCE) * EPOCHS_PER_RANGE;
        Self {
            next_epoch: first + 1,
            pending_groups: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            loading: BTreeMap::new(),
            warmup_groups: BTreeMap::new(),
            loaded_models: BTreeMap::new(),
            free_since: BTreeMap::new(),
            last_left_group: BTreeMap::new(),
            left_groups: BTreeMap::new(),
            layouts: BTreeMap::new(),
            conversions: BTreeMap::new(),
            demand_notes: Vec::new(),
        }
    }

    /// Runs one planning round and returns the orders that are due.
    pub fn plan(&mut self, input: &PlannerInput<'_>) -> Vec<PlannedOrder> {
        let mut orders = Vec::new();
        self.prune_state(input);
        self.record_loaded_models(input);
        for (name, service) in &input.config.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            self.update_layout(name, engine, input);
            let occupied = self.reconcile_groups(name, input, &mut orders);
            let mut pool = ServicePool {
                engine,
                free: Vec::new(),
            };
            for record in input.table.iter() {
                let is_usable = record.service == *name
                    && record.state == EndpointState::Ready
                    && !input.unreachable.contains(&record.id)
                    && !occupied.contains(&record.id);
                if is_usable && self.reconcile_membership(record, input, &mut orders) {
                    pool.free.push(record);
                }
            }
            self.record_free_vms(name, &pool, input);
            self.count_groups(name, engine, input);
            self.form_groups(name, &mut pool, input, &mut orders);
            self.warm_spares(&mut pool, input, &mut orders);
            self.stage_weights(name, &pool, input, &mut orders);
            self.convert_groups(name, &pool, input, &mut orders);
        }
        orders
    }

    /// Records the answer to an order.
    pub fn observe_answer(&mut self, order: &PlannedOrder, answer: OrderAnswer, now: Instant) {
        let has_started = matches!(answer, OrderAnswer::Accepted | OrderAnswer::Done);
        if let ReplicaOrder::Leave { key } = &order.order
            && has_started
        {
            self.left_groups.insert(order.endpoint.clone(), key.clone());
            self.last_left_group
                .insert(order.endpoint.clone(), key.clone());
        }
        let is_stage = matches!(order.order, ReplicaOrder::Stage { .. });
        if is_stage && !matches!(answer, OrderAnswer::Conflict) && !has_started {
            // The load may not have started, so it becomes a candidate again.
            self.loading.remove(&order.endpoint);
        }
        let delay = match answer {
            OrderAnswer::Conflict | OrderAnswer::Unanswered => UNCONFIRMED_RETRY_DELAY,
            _ => ORDER_RETRY_DELAY,
        };
        let key = (order.endpoint.clone(), order.order.name());
        self.retry_at.insert(key, now + delay);
    }

    /// Returns the models whose groups are larger than every fabric domain. They get no VMs,
    /// and requests for them are rejected.
    pub fn models_without_room(&self) -> BTreeSet<ModelId> {
        let layouts = self.layouts.values();
        layouts
            .flat_map(|layout| layout.models_without_room())
            .cloned()
            .collect()
    }

    /// Returns whether ordered changes of groups are not visible in the registry yet.
    pub fn has_pending_changes(&self) -> bool {
        !(self.pending_groups.is_empty()
            && self.left_groups.is_empty()
            && self.warmup_groups.is_empty())
    }

    fn prune_state(&mut self, input: &PlannerInput<'_>) {
        let now = input.now;
        self.retry_at.retain(|_, at| now < *at);
        self.loading.retain(|id, loading| {
            let Some(record) = input.table.get(id) else {
                return false;
            };
            now < loading.times_out_at && !record.has_staged(&loading.model)
        });
        let retry_at = &self.retry_at;
        self.warmup_groups.retain(|id, key| {
            let record = input.table.get(id);
            let joined = record.and_then(|record| record.membership.as_ref());
            // A join that the registry does not show by now was lost or rejected.
            let is_shown = joined.is_some_and(|joined| joined.key == *key);
            is_shown || (record.is_some() && retry_at.contains_key(&(id.clone(), "join")))
        });
        self.loaded_models
            .retain(|id, _| input.table.get(id).is_some());
        self.last_left_group
            .retain(|id, _| input.table.get(id).is_some());
        let groups = &input.groups.groups;
        self.conversions
            .retain(|key, conversion| groups.contains_key(key) && now < conversion.times_out_at);
        self.left_groups.retain(|id, key| {
            let record = input.table.get(id);
            let shown = record.and_then(|record| record.membership.as_ref());
            shown.is_some_and(|membership| membership.key == *key)
        });
        // Group keys are never reused, including those that other planners have assigned.
        let newest = groups.keys().map(|key| key.epoch).max().unwrap_or(0);
        self.next_epoch = self.next_epoch.max(newest + 1);
    }

    /// Returns the model with which a VM joins a group in the shortest time: the one of its
    /// last group since its start.
    fn loaded_model<'a>(&'a self, record: &'a EndpointRecord) -> Option<&'a ModelId> {
        let known = self.loaded_models.get(&record.id);
        let loaded = known.filter(|(incarnation, _)| *incarnation == record.incarnation);
        loaded.map(|(_, model)| model).or(record.model.as_ref())
    }

    /// Returns whether a VM may join a group of `model`: without a load from the weight
    /// store, or before traffic, when a join with a load takes a second or two and saves the
    /// order to store the weights first.
    fn can_join(&self, record: &EndpointRecord, model: &str, input: &PlannerInput<'_>) -> bool {
        !input.has_traffic
            || record.has_staged(model)
            || self
                .loaded_model(record)
                .is_some_and(|loaded| loaded == model)
    }

    fn next_key(&mut self, prefix: char) -> GroupKey {
        let epoch = self.next_epoch;
        self.next_epoch += 1;
        GroupKey {
            group: format!("{prefix}{epoch}").into(),
            epoch,
        }
    }

    /// Adds an order unless one of the same kind is in flight to the engine; returns whether
    /// it was added.
    fn push(
        &mut self,
        id: &EndpointId,
        order: ReplicaOrder,
        reason: &'static str,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> bool {
        let key = (id.clone(), order.name());
        let is_in_flight = self.retry_at.get(&key).is_some_and(|at| input.now < *at);
        if is_in_flight {
            return false;
        }
        let Some(record) = input.table.get(id) else {
            return false;
        };
        self.retry_at.insert(key, input.now + ORDER_RETRY_DELAY);
        orders.push(PlannedOrder {
            endpoint: id.clone(),
            address: record.address,
            order,
            reason,
            left_group: self.last_left_group.get(id).cloned(),
        });
        true
    }
}

impl PendingGroup {
    fn join(&self, key: &GroupKey) -> ReplicaOrder {
        ReplicaOrder::Join {
            key: key.clone(),
            model: self.model.clone(),
            members: self.members.clone(),
        }
    }
}

fn partition_by_domain<'a>(
    records: &[&'a EndpointRecord],
) -> BTreeMap<DomainId, Vec<&'a EndpointRecord>> {
    let mut domains: BTreeMap<DomainId, Vec<&EndpointRecord>> = BTreeMap::new();
    for record in records {
        domains
            .entry(record.domain.clone())
            .or_default()
            .push(record);
    }
    domains
}
