//! Forms groups, opens them, and forms them anew when members are lost.
//!
//! The planner holds no truth of its own: what it knows of groups comes from the
//! registry, and a new holder of the lease takes over what it finds there. What it
//! remembers are orders under way, so that none is sent twice in a row.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use super::EndpointRecord;
use super::EndpointState;
use super::EndpointTable;
use super::GroupIndex;
use super::GroupKey;
use super::GroupSummary;
use super::MemberState;
use super::OrderAnswer;
use super::PlannedOrder;
use super::ReplicaOrder;
use crate::ids::DomainId;
use crate::ids::EndpointId;
use crate::ids::Epoch;
use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ids::ModelId;
use crate::serving::EngineProfile;
use crate::serving::ModelProfile;
use crate::serving::ServingConfig;

/// Time after which an order whose effect does not show is sent again: a write
/// of the registry, a watch and a planning round fit in it.
const ORDER_RETRY: Duration = Duration::from_millis(700);
/// Time after which an order that does not fit yet, or was not answered, is sent
/// again; a full write and watch of the registry take about as long.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);
/// Loads may take this many times their nominal time before they count as lost.
const LOAD_PATIENCE: u64 = 4;
/// Groups that one fence may number.
const EPOCHS_PER_FENCE: u64 = EPOCHS_PER_PART * PARTS_PER_FENCE;
/// Groups that one planner numbers under a fence; a busy day forms some hundred.
const EPOCHS_PER_PART: u64 = 10_000;
/// Planners that may hold a fence one after the other.
const PARTS_PER_FENCE: u64 = 100;

/// What the planner decides from.
pub struct PlannerInput<'a> {
    /// The registry.
    pub table: &'a EndpointTable,
    /// Groups that follow from it.
    pub groups: &'a GroupIndex,
    /// The configuration in force.
    pub config: &'a ServingConfig,
    /// Endpoints that do not answer although they are registered.
    pub lost: &'a BTreeSet<EndpointId>,
    /// Whether requests have begun, from when on loads are limited.
    pub has_traffic: bool,
    /// The current time.
    pub now: Instant,
}

/// Decides which orders engines get.
#[derive(Clone, Debug)]
pub struct ReplicaPlanner {
    next_epoch: Epoch,
    formations: BTreeMap<GroupKey, Formation>,
    retry_at: BTreeMap<(EndpointId, &'static str), Instant>,
    loading: BTreeMap<EndpointId, Loading>,
    /// Spares that hold their model alone for a moment, so that they join fast later.
    warming: BTreeMap<EndpointId, GroupKey>,
    /// Spares that have done so, with the start at which they did.
    warmed: BTreeMap<EndpointId, (Incarnation, ModelId)>,
    /// Members that have left a group which the registry still shows them in.
    left: BTreeMap<EndpointId, GroupKey>,
}

#[derive(Clone, Debug)]
struct Formation {
    model: ModelId,
    members: Vec<EndpointId>,
}

#[derive(Clone, Debug)]
struct Loading {
    model: ModelId,
    give_up_at: Instant,
}

/// The VMs of one service by what can be done with them.
struct Sorting<'a> {
    engine: &'a EngineProfile,
    free: Vec<&'a EndpointRecord>,
}

impl ReplicaPlanner {
    /// Starts a term with `fence`.
    ///
    /// Groups are numbered from a part of the fence's numbers that `part` picks, so
    /// that those of a planner which handed the fence over are not used again.
    pub fn new(fence: Fence, part: u64) -> Self {
        let first = fence * EPOCHS_PER_FENCE + (part % PARTS_PER_FENCE) * EPOCHS_PER_PART;
        Self {
            next_epoch: first + 1,
            formations: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            loading: BTreeMap::new(),
            warming: BTreeMap::new(),
            warmed: BTreeMap::new(),
            left: BTreeMap::new(),
        }
    }

    /// Returns the orders that are due.
    pub fn plan(&mut self, input: &PlannerInput<'_>) -> Vec<PlannedOrder> {
        let mut orders = Vec::new();
        self.forget(input);
        for (name, service) in &input.config.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            let held = self.tend_groups(name, input, &mut orders);
            let mut sorting = Sorting {
                engine,
                free: Vec::new(),
            };
            for record in input.table.iter() {
                let is_usable = record.service == *name
                    && record.state == EndpointState::Ready
                    && !input.lost.contains(&record.id)
                    && !held.contains(&record.id);
                if is_usable && self.has_no_group(record, input, &mut orders) {
                    sorting.free.push(record);
                }
            }
            self.form_groups(&mut sorting, input, &mut orders);
            self.warm_spares(&mut sorting, input, &mut orders);
            self.stage_weights(&sorting, input, &mut orders);
        }
        orders
    }

    /// Takes the answer to an order.
    pub fn observe_answer(&mut self, order: &PlannedOrder, answer: OrderAnswer, now: Instant) {
        let has_left = matches!(answer, OrderAnswer::Accepted | OrderAnswer::Done);
        if let ReplicaOrder::Leave { key } = &order.order
            && has_left
        {
            self.left.insert(order.endpoint.clone(), key.clone());
        }
        let pause = match answer {
            OrderAnswer::Conflict | OrderAnswer::Unanswered => REPEAT_PAUSE,
            _ => ORDER_RETRY,
        };
        let key = (order.endpoint.clone(), order.order.name());
        self.retry_at.insert(key, now + pause);
    }

    /// Tells whether changes of engines are awaited.
    pub fn is_mending(&self) -> bool {
        !(self.formations.is_empty() && self.left.is_empty() && self.warming.is_empty())
    }

    fn forget(&mut self, input: &PlannerInput<'_>) {
        let now = input.now;
        self.retry_at.retain(|_, at| now < *at);
        self.loading.retain(|id, loading| {
            let Some(record) = input.table.get(id) else {
                return false;
            };
            now < loading.give_up_at && !record.has_staged(&loading.model)
        });
        let retry_at = &self.retry_at;
        self.warming.retain(|id, key| {
            let record = input.table.get(id);
            let joined = record.and_then(|record| record.membership.as_ref());
            // A join that has not shown by now was lost or refused.
            let is_shown = joined.is_some_and(|joined| joined.key == *key);
            is_shown || (record.is_some() && retry_at.contains_key(&(id.clone(), "join")))
        });
        self.warmed.retain(|id, _| input.table.get(id).is_some());
        let groups = &input.groups.groups;
        self.left.retain(|id, key| {
            let record = input.table.get(id);
            let shown = record.and_then(|record| record.membership.as_ref());
            shown.is_some_and(|membership| membership.key == *key)
        });
        // No key is ever used twice, whoever numbered the groups that are there.
        let newest = groups.keys().map(|key| key.epoch).max().unwrap_or(0);
        self.next_epoch = self.next_epoch.max(newest + 1);
    }

    /// Tends all groups of a service; returns the VMs that are not free.
    fn tend_groups(
        &mut self,
        service: &str,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> BTreeSet<EndpointId> {
        let mut held = BTreeSet::new();
        for summary in input.groups.groups.values() {
            if summary.service != service || self.formations.contains_key(&summary.key) {
                continue;
            }
            held.extend(self.tend_group(summary, input, orders));
        }
        let keys: Vec<GroupKey> = self.formations.keys().cloned().collect();
        for key in keys {
            held.extend(self.tend_formation(&key, input, orders));
        }
        held
    }

    /// Tends a group that is not being formed; returns the members that it binds.
    fn tend_group(
        &mut self,
        summary: &GroupSummary,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> Vec<EndpointId> {
        if let Some(bound) = self.tend_warming(summary, input, orders) {
            return bound;
        }
        let members = || summary.members.iter().map(|(_, id, _)| id.clone());
        let has_lost = members().any(|id| input.lost.contains(&id));
        let is_whole = summary.is_whole() && !has_lost;
        match summary.head_state() {
            Some(MemberState::Open) if is_whole && !summary.is_draining => members().collect(),
            Some(MemberState::Ready | MemberState::Joining) if is_whole && !summary.is_draining => {
                let formation = Formation {
                    model: summary.model.clone(),
                    members: members().collect(),
                };
                self.formations.insert(summary.key.clone(), formation);
                members().collect()
            }
            Some(MemberState::Open) if is_whole => {
                self.close_gently(summary, input, orders);
                members().collect()
            }
            Some(MemberState::Closing) if is_whole => members().collect(),
            _ => self.dissolve(summary, input, orders),
        }
    }

    /// Has spares hold their model alone: the next join of a VM whose last group held
    /// the same model takes a fraction of the time.
    fn warm_spares(
        &mut self,
        sorting: &mut Sorting<'_>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let mut warming = BTreeSet::new();
        for record in &sorting.free {
            let Some(model) = record.staged.first() else {
                continue;
            };
            let is_warm = record.model.as_ref() == Some(model)
                || self.warmed.get(&record.id) == Some(&(record.incarnation, model.clone()));
            if is_warm || self.warming.contains_key(&record.id) {
                continue;
            }
            let key = self.next_key('w');
            let order = ReplicaOrder::Join {
                key: key.clone(),
                model: model.clone(),
                members: vec![record.id.clone()],
            };
            self.push(&record.id, order, "a spare is warmed", input, orders);
            self.warming.insert(record.id.clone(), key);
            warming.insert(record.id.clone());
        }
        sorting.free.retain(|record| !warming.contains(&record.id));
    }

    /// Tends the group of one in which a spare is warmed; nothing for other groups.
    fn tend_warming(
        &mut self,
        summary: &GroupSummary,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> Option<Vec<EndpointId>> {
        let (_, id, state) = summary.members.first()?;
        if self.warming.get(id) != Some(&summary.key) {
            return None;
        }
        if *state == MemberState::Joining {
            return Some(vec![id.clone()]);
        }
        self.warming.remove(id);
        if let Some(record) = input.table.get(id) {
            let warmed = (record.incarnation, summary.model.clone());
            self.warmed.insert(id.clone(), warmed);
        }
        Some(self.dissolve(summary, input, orders))
    }

    /// Lets a group whose member is about to leave finish what it has.
    fn close_gently(
        &mut self,
        summary: &GroupSummary,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let Some(head) = summary.head() else {
            return;
        };
        let order = ReplicaOrder::Close {
            key: summary.key.clone(),
            is_abrupt: false,
        };
        self.push(head, order, "a member is leaving", input, orders);
    }

    /// Has what is left of a broken group leave it; returns those that have not yet.
    ///
    /// A member that has left may join another group at once, whatever its old
    /// head does: a head that cannot be reached may still be open.
    fn dissolve(
        &mut self,
        summary: &GroupSummary,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> Vec<EndpointId> {
        let mut bound = Vec::new();
        for (_, id, _) in &summary.members {
            if self.left.get(id) == Some(&summary.key) || input.lost.contains(id) {
                continue;
            }
            bound.push(id.clone());
            let key = summary.key.clone();
            self.push(
                id,
                ReplicaOrder::Leave { key },
                "a member is lost",
                input,
                orders,
            );
        }
        bound
    }

    /// Tells whether a VM is in no group; one that is in a group of which nothing
    /// is known is told to leave it.
    fn has_no_group(
        &mut self,
        record: &EndpointRecord,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> bool {
        let Some(membership) = &record.membership else {
            return !self.warming.contains_key(&record.id);
        };
        if self.left.get(&record.id) == Some(&membership.key) {
            return true;
        }
        // A member that joins does not name its model before it holds it.
        let is_joining = membership.state == MemberState::Joining;
        if !is_joining && !input.groups.groups.contains_key(&membership.key) {
            let key = membership.key.clone();
            let order = ReplicaOrder::Leave { key };
            self.push(&record.id, order, "its group is not known", input, orders);
        }
        false
    }

    /// Tends a group that is being formed; returns the VMs that it binds.
    fn tend_formation(
        &mut self,
        key: &GroupKey,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> Vec<EndpointId> {
        let Some(formation) = self.formations.get(key).cloned() else {
            return Vec::new();
        };
        let is_possible = formation.members.iter().all(|id| {
            let record = input.table.get(id);
            let is_ready = record.is_some_and(|record| {
                record.state == EndpointState::Ready && self.may_join(record, key)
            });
            is_ready && !input.lost.contains(id)
        });
        let summary = input.groups.groups.get(key);
        if !is_possible {
            self.formations.remove(key);
            return summary.map_or(Vec::new(), |summary| self.dissolve(summary, input, orders));
        }
        if summary.is_some_and(|summary| summary.is_serving()) {
            self.formations.remove(key);
            return formation.members;
        }
        let head = formation.members[0].clone();
        if summary.is_some_and(|summary| summary.is_loaded()) {
            let order = ReplicaOrder::Open { key: key.clone() };
            self.push(&head, order, "all members are ready", input, orders);
            return formation.members;
        }
        for id in &formation.members {
            let joined = input
                .table
                .get(id)
                .and_then(|record| record.membership.as_ref());
            if joined.is_some_and(|membership| membership.key == *key) {
                continue;
            }
            let order = formation.join(key);
            self.push(id, order, "a member has not joined yet", input, orders);
        }
        formation.members
    }

    /// Tells whether a VM is in no group, or in the one that is being formed; an
    /// order of an earlier planner may have come between.
    fn may_join(&self, record: &EndpointRecord, key: &GroupKey) -> bool {
        let Some(membership) = &record.membership else {
            return true;
        };
        membership.key == *key || self.left.get(&record.id) == Some(&membership.key)
    }

    /// Forms groups from free VMs that hold the same model in one domain.
    fn form_groups(
        &mut self,
        sorting: &mut Sorting<'_>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let mut taken: BTreeSet<EndpointId> = BTreeSet::new();
        for (_, records) in by_domain(&sorting.free) {
            for profile in &sorting.engine.models {
                let mut usable: Vec<&EndpointRecord> = records
                    .iter()
                    .copied()
                    .filter(|record| !taken.contains(&record.id))
                    .filter(|record| self.holds(record, &profile.model, input))
                    .collect();
                // Those whose last group held the model join fastest.
                usable.sort_by_key(|record| record.model.as_ref() != Some(&profile.model));
                for members in usable.chunks_exact(profile.size.max(1)) {
                    taken.extend(members.iter().map(|record| record.id.clone()));
                    self.begin_formation(profile, members, input, orders);
                }
            }
        }
        sorting.free.retain(|record| !taken.contains(&record.id));
    }

    /// Tells whether a VM may join a group of `model` without a counted load.
    fn holds(&self, record: &EndpointRecord, model: &str, input: &PlannerInput<'_>) -> bool {
        if record.has_staged(model) {
            return true;
        }
        let is_loading = self.loading.get(&record.id);
        !input.has_traffic && is_loading.is_some_and(|loading| loading.model == model)
    }

    fn begin_formation(
        &mut self,
        profile: &ModelProfile,
        members: &[&EndpointRecord],
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let key = self.next_key('g');
        let formation = Formation {
            model: profile.model.clone(),
            members: members.iter().map(|record| record.id.clone()).collect(),
        };
        for id in &formation.members {
            self.retry_at.remove(&(id.clone(), "join"));
            let order = formation.join(&key);
            self.push(id, order, "enough free VMs in the domain", input, orders);
        }
        self.formations.insert(key, formation);
    }

    fn next_key(&mut self, letter: char) -> GroupKey {
        let epoch = self.next_epoch;
        self.next_epoch += 1;
        GroupKey {
            group: format!("{letter}{epoch}").into(),
            epoch,
        }
    }

    /// Chooses models for VMs that hold none and has them loaded, those first whose
    /// load lets a group be formed of the model that has fewest groups.
    fn stage_weights(
        &mut self,
        sorting: &Sorting<'_>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let mut wishes = Vec::new();
        for (domain, records) in by_domain(&sorting.free) {
            for record in records.iter().copied() {
                if !record.staged.is_empty() || self.loading.contains_key(&record.id) {
                    continue;
                }
                let Some(profile) = self.choose_model(&domain, record, sorting.engine, input)
                else {
                    continue;
                };
                let missing = self.missing_members(&records, profile);
                let coverage = serving_share(input, profile);
                wishes.push((missing, coverage, record, profile));
                if !input.has_traffic {
                    // Each choice counts for the next ones.
                    self.begin_load(record, profile, input, orders);
                }
            }
        }
        if !input.has_traffic {
            return;
        }
        wishes.sort_by(|left, right| {
            let by_missing = left.0.cmp(&right.0);
            left.1.total_cmp(&right.1).then(by_missing)
        });
        let limit = sorting.engine.parallel_loads.max(1);
        for (_, _, record, profile) in wishes {
            if self.loading.len() >= limit {
                return;
            }
            self.begin_load(record, profile, input, orders);
        }
    }

    /// Returns how many members the next group of a model still lacks in a domain.
    fn missing_members(&self, free: &[&EndpointRecord], profile: &ModelProfile) -> usize {
        let holds = |record: &&&EndpointRecord| {
            let loading = self.loading.get(&record.id);
            record.has_staged(&profile.model)
                || loading.is_some_and(|loading| loading.model == profile.model)
        };
        let held = free.iter().filter(holds).count();
        profile.size - held % profile.size
    }

    fn begin_load(
        &mut self,
        record: &EndpointRecord,
        profile: &ModelProfile,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let span = Duration::from_millis(profile.load_ms * LOAD_PATIENCE);
        let loading = Loading {
            model: profile.model.clone(),
            give_up_at: input.now + span,
        };
        self.loading.insert(record.id.clone(), loading);
        let order = ReplicaOrder::Stage {
            model: profile.model.clone(),
        };
        self.push(
            &record.id,
            order,
            "the host holds no weights",
            input,
            orders,
        );
    }

    /// Chooses the model of an empty VM: the one of its domain, so that what is
    /// left of broken groups can be joined; in a new domain the one that is short.
    fn choose_model<'a>(
        &self,
        domain: &str,
        record: &EndpointRecord,
        engine: &'a EngineProfile,
        input: &PlannerInput<'_>,
    ) -> Option<&'a ModelProfile> {
        let mut in_domain: BTreeMap<&str, usize> = BTreeMap::new();
        let mut domains: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        let mut zone_domains: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for other in input.table.iter() {
            if other.service != record.service {
                continue;
            }
            let loading = self.loading.get(&other.id).map(|loading| &loading.model);
            let Some(model) = loading.or(other.staged.first()) else {
                continue;
            };
            domains.entry(model).or_default().insert(&other.domain);
            if other.domain == domain {
                *in_domain.entry(model).or_default() += 1;
            }
            if other.zone == record.zone {
                zone_domains.entry(model).or_default().insert(&other.domain);
            }
        }
        let weight = |counts: &BTreeMap<&str, BTreeSet<&str>>, profile: &ModelProfile| {
            let count = counts.get(profile.model.as_str()).map_or(0, BTreeSet::len);
            count as f64 / profile.share.max(0.01)
        };
        let settled = engine
            .models
            .iter()
            .max_by_key(|profile| in_domain.get(profile.model.as_str()).copied().unwrap_or(0))?;
        if in_domain.contains_key(settled.model.as_str()) {
            return Some(settled);
        }
        engine.models.iter().min_by(|left, right| {
            let zone = weight(&zone_domains, left).total_cmp(&weight(&zone_domains, right));
            zone.then(weight(&domains, left).total_cmp(&weight(&domains, right)))
        })
    }

    /// Adds an order unless the same one is under way.
    fn push(
        &mut self,
        id: &EndpointId,
        order: ReplicaOrder,
        reason: &'static str,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let key = (id.clone(), order.name());
        let is_under_way = self.retry_at.get(&key).is_some_and(|at| input.now < *at);
        if is_under_way {
            return;
        }
        let Some(record) = input.table.get(id) else {
            return;
        };
        self.retry_at.insert(key, input.now + ORDER_RETRY);
        orders.push(PlannedOrder {
            endpoint: id.clone(),
            address: record.address,
            order,
            reason,
        });
    }
}

impl Formation {
    fn join(&self, key: &GroupKey) -> ReplicaOrder {
        ReplicaOrder::Join {
            key: key.clone(),
            model: self.model.clone(),
            members: self.members.clone(),
        }
    }
}

/// Returns the VMs in serving groups of a model against its share of the work.
fn serving_share(input: &PlannerInput<'_>, profile: &ModelProfile) -> f64 {
    let groups = input.groups.groups.values();
    let serving = groups.filter(|group| group.model == profile.model && group.is_serving());
    let members = serving.count() * profile.size;
    members as f64 / profile.share.max(0.01)
}

fn by_domain<'a>(records: &[&'a EndpointRecord]) -> BTreeMap<DomainId, Vec<&'a EndpointRecord>> {
    let mut domains: BTreeMap<DomainId, Vec<&EndpointRecord>> = BTreeMap::new();
    for record in records {
        domains
            .entry(record.domain.clone())
            .or_default()
            .push(record);
    }
    domains
}
