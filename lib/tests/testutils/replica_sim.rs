//! Simulates engines in virtual time, with a planner that sees them through a lagging
//! registry.
//!
//! The simulation checks invariants: no VM joins a group while its current group may
//! still serve, no group opens with a member that was never ready, and loads from the
//! weight store stay within their limit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use jujuberoad::fleet::DemandMonitor;
use jujuberoad::fleet::EndpointRecord;
use jujuberoad::fleet::EndpointState;
use jujuberoad::fleet::EndpointTable;
use jujuberoad::fleet::EngineReport;
use jujuberoad::fleet::GroupIndex;
use jujuberoad::fleet::GroupKey;
use jujuberoad::fleet::GroupMembership;
use jujuberoad::fleet::MemberState;
use jujuberoad::fleet::OrderAnswer;
use jujuberoad::fleet::PlannedOrder;
use jujuberoad::fleet::PlannerInput;
use jujuberoad::fleet::PoolSample;
use jujuberoad::fleet::ReplicaOrder;
use jujuberoad::fleet::ReplicaPlanner;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::ModelId;
use jujuberoad::serving::EngineProfile;
use jujuberoad::serving::ModelProfile;
use jujuberoad::serving::ServiceProfile;
use jujuberoad::serving::ServingConfig;
use jujuberoad::serving::TrafficLimits;

/// Step of virtual time.
const STEP_MS: u64 = 20;
/// Age of engine reports.
const REPORT_LAG_MS: u64 = 200;
/// Time after which the entry of a failed VM expires.
const ENTRY_TTL_MS: u64 = 3_600;
/// Time after which routers detect that a member does not respond.
const DETECTION_DELAY_MS: u64 = 250;
/// Time after the end of every simulation.
const FOREVER_MS: u64 = u64::MAX / 2;
/// Time between two probes of a silent member.
const PROBE_INTERVAL_MS: u64 = 100;
/// Time after which the placer takes a silent member for lost.
const SILENCE_LIMIT_MS: u64 = 2_000;
/// The same for a member whose VM accepts no connections.
const DARK_LIMIT_MS: u64 = 200;
/// Interval at which the use of the models' slots is measured.
const SAMPLE_INTERVAL_MS: u64 = 240;
/// Window of the limit on started loads.
const LOAD_WINDOW_MS: u64 = 5_000;
/// Largest number of loads that may start in a window.
const MAX_LOADS_PER_WINDOW: usize = 30;

/// State of a simulated VM.
#[derive(Clone, Debug)]
pub struct SimVm {
    pub zone: String,
    pub domain: String,
    pub is_alive: bool,
    pub is_draining: bool,
    died_at: u64,
    /// Last time without responses, from and until.
    silence: (u64, u64),
    incarnation: u64,
    membership: Option<GroupMembership>,
    members: Vec<EndpointId>,
    model: Option<ModelId>,
    staged: Vec<ModelId>,
    loading: Option<(ModelId, u64)>,
    ready_at: Option<u64>,
    open_at: Option<u64>,
    closed_at: Option<u64>,
    seen_epoch: u64,
    sequence: u64,
    /// Groups in which it has been ready at some time.
    was_ready: BTreeSet<GroupKey>,
}

impl SimVm {
    /// Returns whether it is in a group.
    pub fn is_joined(&self) -> bool {
        self.membership.is_some()
    }

    /// Returns the group that it is in and its rank there.
    pub fn group(&self) -> Option<(&GroupKey, usize)> {
        let membership = self.membership.as_ref()?;
        Some((&membership.key, membership.rank))
    }

    /// Returns whether its host stores weights.
    pub fn has_staged(&self) -> bool {
        !self.staged.is_empty()
    }

    /// Returns the model in its entry, which a joining member leaves out.
    fn shown_model(&self) -> Option<ModelId> {
        let membership = self.membership.as_ref()?;
        let holds = membership.state != MemberState::Joining;
        self.model.clone().filter(|_| holds)
    }
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct SimPlan {
    pub zones: usize,
    pub domains_per_zone: usize,
    pub vms_per_domain: usize,
    pub models: Vec<ModelProfile>,
    /// Number of groups per model that the traffic needs at full batches.
    pub needed: Vec<f64>,
    /// Fraction of orders that are executed late and not answered.
    pub late_share: f64,
    /// Delay until the planner sees a change.
    pub registry_lag_ms: u64,
}

impl Default for SimPlan {
    fn default() -> Self {
        Self {
            zones: 3,
            domains_per_zone: 2,
            vms_per_domain: 10,
            models: vec![
                model("wide", 4, 0.5, 16_000, 1_600),
                model("slim", 2, 0.5, 12_000, 1_100),
            ],
            needed: vec![4.0, 8.3],
            late_share: 0.0,
            registry_lag_ms: 120,
        }
    }
}

pub fn model(
    name: &str,
    vms_per_group: usize,
    share: f64,
    load_ms: u64,
    local_load_ms: u64,
) -> ModelProfile {
    ModelProfile {
        model: name.into(),
        vms_per_group,
        share,
        time_factor: 1.0,
        load_ms,
        local_load_ms,
    }
}

/// Simulated VMs, the planner under test and the violations found.
pub struct ReplicaSim {
    pub plan: SimPlan,
    pub rng: Rng,
    pub now_ms: u64,
    pub has_traffic: bool,
    pub vms: BTreeMap<EndpointId, SimVm>,
    pub violations: Vec<String>,
    pub orders_sent: usize,
    /// Orders that have been sent, as lines of text.
    pub order_log: Vec<String>,
    start: Instant,
    planner: ReplicaPlanner,
    next_vm: usize,
    snapshots: VecDeque<(u64, EndpointTable)>,
    reports: VecDeque<(u64, BTreeMap<EndpointId, EngineReport>)>,
    /// VMs whose entries are missing, each until a time in milliseconds.
    pub hidden: BTreeMap<EndpointId, u64>,
    settles_at: u64,
    late_orders: Vec<(u64, PlannedOrder, Option<u64>)>,
    loads: VecDeque<u64>,
    served: Vec<f64>,
    samples: usize,
    config: ServingConfig,
    fence: u64,
    /// Requests that want a slot, by model; without a value, groups do not follow demand.
    pub wanted: Option<Vec<u32>>,
    /// Part of the requests that the planner's router knows of.
    pub heard_share: f64,
    /// Whether the store is unavailable, so that nothing is measured and no orders are given.
    pub is_store_away: bool,
    /// Conversions that have started and failed, as lines of text.
    pub conversion_log: Vec<String>,
    demand: DemandMonitor,
    sampled_at: u64,
}

impl ReplicaSim {
    pub fn new(plan: SimPlan, seed: u64) -> Self {
        let engine = EngineProfile {
            slots: 17,
            parallel_loads: 7,
            loads_per_second: 5.0,
            models: plan.models.clone(),
            ..EngineProfile::default()
        };
        let service = ServiceProfile {
            name: "engines".into(),
            engine: Some(engine),
            ..ServiceProfile::default()
        };
        let limits = TrafficLimits::default();
        let config = ServingConfig::new(1, Vec::new(), vec![service], None, limits);
        let served = vec![0.0; plan.models.len()];
        let mut sim = Self {
            rng: Rng::with_seed(seed),
            now_ms: 0,
            has_traffic: false,
            vms: BTreeMap::new(),
            violations: Vec::new(),
            orders_sent: 0,
            order_log: Vec::new(),
            start: Instant::now(),
            planner: ReplicaPlanner::new(1, 0),
            next_vm: 0,
            snapshots: VecDeque::new(),
            reports: VecDeque::new(),
            hidden: BTreeMap::new(),
            settles_at: 0,
            late_orders: Vec::new(),
            loads: VecDeque::new(),
            served,
            samples: 0,
            config,
            fence: 1,
            wanted: None,
            heard_share: 1.0,
            is_store_away: false,
            conversion_log: Vec::new(),
            demand: DemandMonitor::default(),
            sampled_at: 0,
            plan,
        };
        for zone in 0..sim.plan.zones {
            for domain in 0..sim.plan.domains_per_zone {
                for _ in 0..sim.plan.vms_per_domain {
                    sim.add_vm(zone, domain);
                }
            }
        }
        sim
    }

    /// Adds a VM without weights.
    pub fn add_vm(&mut self, zone: usize, domain: usize) -> EndpointId {
        let id: EndpointId = format!("vm{:03}", self.next_vm).into();
        self.next_vm += 1;
        let vm = SimVm {
            zone: format!("z{zone}"),
            domain: format!("z{zone}d{domain}"),
            is_alive: true,
            is_draining: false,
            died_at: 0,
            silence: (0, 0),
            incarnation: 1,
            membership: None,
            members: Vec::new(),
            model: None,
            staged: Vec::new(),
            loading: None,
            ready_at: None,
            open_at: None,
            closed_at: None,
            seen_epoch: 0,
            sequence: 0,
            was_ready: BTreeSet::new(),
        };
        self.vms.insert(id.clone(), vm);
        id
    }

    /// Kills up to `count` random VMs that are in groups, without deregistration.
    pub fn kill_joined(&mut self, count: usize) {
        let mut joined: Vec<EndpointId> = self
            .vms
            .iter()
            .filter(|(_, vm)| vm.is_alive && vm.membership.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        self.rng.shuffle(&mut joined);
        for id in joined.into_iter().take(count) {
            self.kill(&id);
        }
    }

    pub fn kill(&mut self, id: &EndpointId) {
        let now = self.now_ms;
        if let Some(vm) = self.vms.get_mut(id) {
            vm.is_alive = false;
            vm.died_at = now;
            vm.membership = None;
        }
    }

    /// Kills a VM whose address answers nothing from then on, not even with a refusal.
    pub fn go_dark(&mut self, id: &EndpointId) {
        let now = self.now_ms;
        self.kill(id);
        if let Some(vm) = self.vms.get_mut(id) {
            vm.silence = (now, FOREVER_MS);
        }
    }

    /// Makes a VM send nothing for `span_ms`; then it continues as if nothing had happened.
    pub fn pause(&mut self, id: &EndpointId, span_ms: u64) {
        let now = self.now_ms;
        if let Some(vm) = self.vms.get_mut(id) {
            vm.silence = (now, now + span_ms);
        }
    }

    /// Returns the VMs that are in a group.
    pub fn members_of(&self, key: &GroupKey) -> Vec<EndpointId> {
        let vms = self.vms.iter();
        vms.filter(|(_, vm)| vm.group().is_some_and(|(joined, _)| joined == key))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns a random group that serves, with its members.
    pub fn any_serving(&mut self) -> (GroupKey, Vec<EndpointId>) {
        let heads = self.vms.values().filter(|vm| self.is_serving_head(vm));
        let groups: Vec<SimVm> = heads.cloned().collect();
        let head = &groups[self.rng.usize(..groups.len())];
        let key = head.group().expect("its group").0.clone();
        (key, head.members.clone())
    }

    /// Returns the number of serving groups of four or more VMs that a VM is no member of.
    pub fn serving_without(&self, id: &EndpointId) -> usize {
        let heads = self.vms.values().filter(|vm| self.is_serving_head(vm));
        let others = heads.filter(|head| !head.members.contains(id));
        others.filter(|head| head.members.len() >= 4).count()
    }

    /// Returns the first VM of a domain that is in a group.
    pub fn first_joined_in(&self, domain: &str) -> EndpointId {
        let mut vms = self.vms.iter();
        let found = vms.find(|(_, vm)| vm.domain == domain && vm.is_joined());
        found.map(|(id, _)| id.clone()).expect("a VM in a group")
    }

    /// Returns the running VMs of a domain.
    pub fn alive_in(&self, domain: &str) -> Vec<EndpointId> {
        let vms = self.vms.iter();
        vms.filter(|(_, vm)| vm.domain == domain && vm.is_alive)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the running VMs whose hosts store the weights of a model.
    pub fn alive_with(&self, model: &str) -> Vec<EndpointId> {
        let vms = self.vms.iter();
        vms.filter(|(_, vm)| vm.is_alive && vm.staged.iter().any(|staged| staged == model))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the models that the planner cannot place.
    pub fn models_without_room(&self) -> Vec<ModelId> {
        self.planner.models_without_room().into_iter().collect()
    }

    /// Restarts a failed VM; its host keeps the weights.
    pub fn revive(&mut self, id: &EndpointId) {
        if let Some(vm) = self.vms.get_mut(id) {
            vm.is_alive = true;
            vm.silence = (0, 0);
            vm.incarnation += 1;
            vm.seen_epoch = 0;
            vm.sequence = 0;
            vm.membership = None;
            vm.model = None;
            vm.loading = None;
            vm.ready_at = None;
            vm.open_at = None;
        }
    }

    /// Replaces the planner with a new one that knows only the registry.
    pub fn take_over(&mut self) {
        self.fence += 1;
        self.planner = ReplicaPlanner::new(self.fence, self.rng.u64(..));
        self.demand = DemandMonitor::default();
    }

    /// Restarts all processes while entries that expired in an outage are written again.
    pub fn restart_all(&mut self, settle_ms: u64) {
        self.take_over();
        self.settles_at = self.now_ms + settle_ms;
        self.snapshots.clear();
    }

    /// Advances the simulation by `span_ms`.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now_ms + span_ms;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            self.advance();
            self.observe();
            if self.now_ms.is_multiple_of(2 * STEP_MS) {
                self.plan_round();
            }
            self.sample();
        }
    }

    /// Returns the number of serving groups by model.
    pub fn serving(&self) -> BTreeMap<String, usize> {
        let mut serving = BTreeMap::new();
        for profile in &self.plan.models {
            serving.insert(profile.model.to_string(), 0);
        }
        for vm in self.vms.values() {
            if self.is_serving_head(vm) {
                let model = vm.model.clone().unwrap_or_default();
                *serving.entry(model.to_string()).or_insert(0) += 1;
            }
        }
        serving
    }

    /// Returns the mean served fraction of the needed groups for each model.
    pub fn shares(&self) -> Vec<f64> {
        let samples = self.samples.max(1) as f64;
        self.served.iter().map(|sum| sum / samples).collect()
    }

    fn is_serving_head(&self, vm: &SimVm) -> bool {
        let Some(membership) = &vm.membership else {
            return false;
        };
        let is_open = membership.rank == 0 && membership.state == MemberState::Open;
        is_open
            && vm.is_alive
            && vm.members.iter().all(|id| {
                let member = self.vms.get(id).filter(|member| member.is_alive);
                let joined = member.and_then(|member| member.membership.as_ref());
                joined.is_some_and(|joined| joined.key == membership.key)
            })
    }

    fn sample(&mut self) {
        if !self.has_traffic {
            return;
        }
        let serving = self.serving();
        self.samples += 1;
        for (index, profile) in self.plan.models.iter().enumerate() {
            let groups = serving.get(profile.model.as_str()).copied().unwrap_or(0);
            self.served[index] += (groups as f64 / self.plan.needed[index]).min(1.0);
        }
    }

    fn advance(&mut self) {
        let now = self.now_ms;
        let due: Vec<_> = self
            .late_orders
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, order, expected) in due {
            self.execute(&order, expected);
        }
        for vm in self.vms.values_mut().filter(|vm| vm.is_alive) {
            if let Some((model, at)) = vm.loading.clone()
                && at <= now
            {
                vm.staged = vec![model];
                vm.loading = None;
            }
            let Some(membership) = &mut vm.membership else {
                continue;
            };
            if vm.ready_at.is_some_and(|at| at <= now) {
                vm.ready_at = None;
                membership.state = MemberState::Ready;
                vm.was_ready.insert(membership.key.clone());
            }
            if vm.open_at.is_some_and(|at| at <= now) {
                vm.open_at = None;
                membership.state = MemberState::Open;
            }
            if vm.closed_at.is_some_and(|at| at <= now) {
                vm.closed_at = None;
                membership.state = MemberState::Ready;
            }
        }
    }

    fn observe(&mut self) {
        let mut table = EndpointTable::default();
        table.set_settles_at(self.start + Duration::from_millis(self.settles_at));
        for (id, vm) in &self.vms {
            let is_lapsed = !vm.is_alive && self.now_ms >= vm.died_at + ENTRY_TTL_MS;
            let hidden_until = self.hidden.get(id).copied().unwrap_or(0);
            if is_lapsed || self.now_ms < hidden_until {
                continue;
            }
            // The entry of a failed VM stays unchanged until it expires.
            let last = self.snapshots.back().and_then(|(_, table)| table.get(id));
            if let Some(last) = last.filter(|_| !vm.is_alive) {
                table.upsert(last.clone());
                continue;
            }
            table.upsert(EndpointRecord {
                id: id.clone(),
                incarnation: vm.incarnation,
                service: "engines".into(),
                address: ([127, 0, 0, 1], 1).into(),
                zone: vm.zone.as_str().into(),
                domain: vm.domain.as_str().into(),
                slots: 17,
                state: if vm.is_draining {
                    EndpointState::Draining
                } else {
                    EndpointState::Ready
                },
                cold_until: None,
                membership: vm.membership.clone(),
                model: vm.shown_model(),
                staged: vm.staged.clone(),
                entry_writes: 0,
                has_newer_report: false,
                version: "v1".into(),
            });
        }
        self.snapshots.push_back((self.now_ms, table));
        self.note_reports();
        while self.snapshots.len() > 1
            && self.snapshots[1].0 + self.plan.registry_lag_ms <= self.now_ms
        {
            self.snapshots.pop_front();
        }
    }

    fn note_reports(&mut self) {
        let mut reports = BTreeMap::new();
        for (id, vm) in &self.vms {
            let report = EngineReport {
                incarnation: vm.incarnation,
                membership: vm.membership.clone(),
                model: vm.shown_model(),
                staged: vm.staged.clone(),
                sequence: vm.sequence,
                ..EngineReport::default()
            };
            reports.insert(id.clone(), report);
        }
        self.reports.push_back((self.now_ms, reports));
        while self.reports.len() > 1 && self.reports[1].0 + REPORT_LAG_MS <= self.now_ms {
            self.reports.pop_front();
        }
    }

    /// Measures the use of the models' slots, four times a second.
    fn sample_demand(&mut self) {
        let Some(wanted) = &self.wanted else {
            return;
        };
        if self.now_ms < self.sampled_at + SAMPLE_INTERVAL_MS {
            return;
        }
        self.sampled_at = self.now_ms;
        let serving = self.serving();
        let models = self.plan.models.iter().zip(wanted);
        let samples = models.map(|(profile, wanted)| {
            let groups = serving[profile.model.as_str()];
            let slots = 17 * groups as u32;
            let running = (f64::from(*wanted.min(&slots)) * self.heard_share) as u32;
            PoolSample {
                model: profile.model.clone(),
                groups,
                slots,
                running,
                waiting: wanted.saturating_sub(slots),
            }
        });
        let samples = samples.collect();
        let now = self.instant();
        for shortage in self.demand.observe(&"engines".into(), samples, now) {
            self.conversion_log
                .push(format!("{} ms: {} short", self.now_ms, shortage.short));
        }
    }

    fn plan_round(&mut self) {
        if self.is_store_away {
            return;
        }
        self.sample_demand();
        let Some((_, table)) = self.snapshots.front().cloned() else {
            return;
        };
        let groups = GroupIndex::build(&table, &self.config, self.instant());
        let unreachable: BTreeSet<EndpointId> = self
            .vms
            .iter()
            .filter(|(_, vm)| self.is_avoided(vm))
            .map(|(id, _)| id.clone())
            .collect();
        let silent: BTreeSet<EndpointId> = self
            .vms
            .iter()
            .filter(|(_, vm)| self.is_silent(vm))
            .map(|(id, _)| id.clone())
            .collect();
        let input = PlannerInput {
            table: &table,
            groups: &groups,
            config: &self.config,
            unreachable: &unreachable,
            silent: &silent,
            has_traffic: self.has_traffic,
            demand: self.wanted.as_ref().map(|_| &self.demand),
            now: self.instant(),
        };
        let orders = self.planner.plan(&input);
        for note in self.planner.take_demand_notes() {
            self.conversion_log.push(format!(
                "{} ms: {} {} to {}",
                self.now_ms, note.step, note.donor, note.short
            ));
        }
        for order in orders {
            self.orders_sent += 1;
            let answer = self.send_order(&order);
            self.order_log.push(format!(
                "{} ms: {} to {} because {}: {answer}",
                self.now_ms,
                order.order.name(),
                order.endpoint,
                order.reason
            ));
            let now = self.instant();
            self.planner.observe_answer(&order, answer, now);
        }
    }

    /// Returns whether routers avoid a VM because it did not respond to a probe.
    fn is_avoided(&self, vm: &SimVm) -> bool {
        if !vm.is_alive {
            return self.now_ms >= vm.died_at + DETECTION_DELAY_MS;
        }
        let (from, until) = vm.silence;
        let detected_at = from + DETECTION_DELAY_MS;
        let avoided = detected_at..until + PROBE_INTERVAL_MS;
        detected_at < until && avoided.contains(&self.now_ms)
    }

    /// Returns whether an avoided VM is only silent: the placer probes it until it responds or
    /// refuses, or until its silence has lasted too long.
    fn is_silent(&self, vm: &SimVm) -> bool {
        let (from, until) = vm.silence;
        // The VM of a process that pauses goes on accepting connections.
        let limit = if vm.is_alive {
            SILENCE_LIMIT_MS
        } else {
            DARK_LIMIT_MS
        };
        let limit = from + DETECTION_DELAY_MS + limit;
        self.now_ms < limit && self.now_ms < until + PROBE_INTERVAL_MS
    }

    /// Polls the engine and sends the order, as the placer does.
    fn send_order(&mut self, order: &PlannedOrder) -> OrderAnswer {
        let vm = self.vms.get(&order.endpoint);
        let Some(vm) = vm.filter(|vm| vm.is_alive && self.now_ms >= vm.silence.1) else {
            return OrderAnswer::Unanswered;
        };
        let old = self.reports.front();
        let old = old.and_then(|(_, reports)| reports.get(&order.endpoint));
        let report = old
            .filter(|report| report.incarnation == vm.incarnation)
            .cloned()
            .unwrap_or(EngineReport {
                incarnation: vm.incarnation,
                membership: None,
                model: None,
                staged: vm.staged.clone(),
                ..EngineReport::default()
            });
        let mut expected = None;
        if order.needs_report() {
            expected = order.expected_sequence(&report);
            if expected.is_none() {
                return OrderAnswer::Conflict;
            }
        }
        if self.rng.f64() < self.plan.late_share {
            let at = self.now_ms + self.rng.u64(2_000..12_000);
            self.late_orders.push((at, order.clone(), expected));
            return OrderAnswer::Unanswered;
        }
        self.execute(order, expected)
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn execute(&mut self, planned: &PlannedOrder, expected: Option<u64>) -> OrderAnswer {
        let id = planned.endpoint.clone();
        if !self.vms.get(&id).is_some_and(|vm| vm.is_alive) {
            return OrderAnswer::Unanswered;
        }
        let is_refused = expected.is_some_and(|expected| expected != self.vms[&id].sequence);
        if is_refused {
            return OrderAnswer::Conflict;
        }
        let answer = match &planned.order {
            ReplicaOrder::Join {
                key,
                model,
                members,
            } => self.join(&id, key, model, members),
            ReplicaOrder::Open { key } => self.open(&id, key),
            ReplicaOrder::Close { key, .. } => self.close(&id, key),
            ReplicaOrder::Leave { key } => self.leave(&id, key),
            ReplicaOrder::Stage { model } => self.stage(&id, model),
        };
        if answer == OrderAnswer::Accepted
            && let Some(vm) = self.vms.get_mut(&id)
        {
            vm.sequence += 1;
        }
        answer
    }

    fn join(
        &mut self,
        id: &EndpointId,
        key: &GroupKey,
        model: &ModelId,
        members: &[EndpointId],
    ) -> OrderAnswer {
        let vm = self.vms[id].clone();
        if key.epoch < vm.seen_epoch {
            return OrderAnswer::Fenced;
        }
        let joined = vm.membership.clone();
        if let Some(joined) = &joined {
            if joined.key == *key {
                return OrderAnswer::Done;
            }
            self.check_single_membership(id, joined, key);
        }
        let profile = self
            .plan
            .models
            .iter()
            .find(|profile| profile.model == *model);
        let profile = profile.expect("a known model").clone();
        let span = if vm.model.as_ref() == Some(model) {
            200
        } else if vm.staged.contains(model) {
            profile.local_load_ms
        } else {
            self.begin_load(id, &profile)
        };
        let now = self.now_ms;
        let vm = self.vms.get_mut(id).expect("a VM that lives");
        vm.seen_epoch = key.epoch;
        vm.model = Some(model.clone());
        vm.members = members.to_vec();
        vm.ready_at = Some(now + span);
        vm.open_at = None;
        vm.closed_at = None;
        vm.membership = Some(GroupMembership {
            key: key.clone(),
            rank: members.iter().position(|member| member == id).unwrap_or(0),
            state: MemberState::Joining,
        });
        OrderAnswer::Accepted
    }

    fn check_single_membership(
        &mut self,
        id: &EndpointId,
        joined: &GroupMembership,
        key: &GroupKey,
    ) {
        let heads = self.vms.iter().filter(|(_, vm)| vm.is_alive);
        for (head_id, head) in heads {
            let Some(membership) = &head.membership else {
                continue;
            };
            let is_head = membership.key == joined.key && membership.rank == 0;
            let may_serve = matches!(membership.state, MemberState::Open | MemberState::Closing);
            if is_head && may_serve {
                let violation = format!(
                    "{} ms: {id} joins {key} while {} of head {head_id} is {}",
                    self.now_ms, joined.key, membership.state
                );
                self.violations.push(violation);
                return;
            }
        }
    }

    fn open(&mut self, id: &EndpointId, key: &GroupKey) -> OrderAnswer {
        let now = self.now_ms;
        let vm = &self.vms[id];
        let state = vm.membership.as_ref().filter(|joined| joined.key == *key);
        match state.map(|joined| joined.state) {
            Some(MemberState::Open) => return OrderAnswer::Done,
            Some(MemberState::Ready) => {}
            _ => return OrderAnswer::Conflict,
        }
        for member in vm.members.clone() {
            let other = &self.vms[&member];
            // A member that was ready and has failed since is not a violation.
            if !other.was_ready.contains(key) {
                let violation = format!("{now} ms: {key} opens, {member} was never ready in it");
                self.violations.push(violation);
            }
        }
        self.vms.get_mut(id).expect("a VM that lives").open_at = Some(now + 300);
        OrderAnswer::Accepted
    }

    fn close(&mut self, id: &EndpointId, key: &GroupKey) -> OrderAnswer {
        let now = self.now_ms;
        let vm = self.vms.get_mut(id).expect("a VM that lives");
        let joined = vm.membership.as_mut().filter(|joined| joined.key == *key);
        match joined {
            Some(joined) if joined.state == MemberState::Open => {
                joined.state = MemberState::Closing;
                vm.closed_at = Some(now + 800);
                OrderAnswer::Accepted
            }
            Some(_) => OrderAnswer::Done,
            None => OrderAnswer::Conflict,
        }
    }

    fn leave(&mut self, id: &EndpointId, key: &GroupKey) -> OrderAnswer {
        let vm = self.vms.get_mut(id).expect("a VM that lives");
        if vm
            .membership
            .as_ref()
            .is_some_and(|joined| joined.key == *key)
        {
            vm.membership = None;
            vm.ready_at = None;
            vm.open_at = None;
            vm.closed_at = None;
            return OrderAnswer::Accepted;
        }
        OrderAnswer::Done
    }

    fn stage(&mut self, id: &EndpointId, model: &ModelId) -> OrderAnswer {
        let vm = &self.vms[id];
        if vm.staged.contains(model) {
            return OrderAnswer::Done;
        }
        if vm.loading.is_some() {
            return OrderAnswer::Conflict;
        }
        let profile = self
            .plan
            .models
            .iter()
            .find(|profile| profile.model == *model);
        let profile = profile.expect("a known model").clone();
        self.begin_load(id, &profile);
        OrderAnswer::Accepted
    }

    /// Starts a load; returns its duration, which grows with the number of concurrent loads.
    fn begin_load(&mut self, id: &EndpointId, profile: &ModelProfile) -> u64 {
        let now = self.now_ms;
        let loading = self
            .vms
            .values()
            .filter(|vm| vm.is_alive && vm.loading.is_some());
        let contention = ((loading.count() + 1) as f64 / 7.0).max(1.0);
        let span = if self.has_traffic {
            (profile.load_ms as f64 * contention) as u64
        } else {
            profile.load_ms / 10
        };
        if self.has_traffic {
            self.loads.push_back(now);
            while self
                .loads
                .front()
                .is_some_and(|at| at + LOAD_WINDOW_MS < now)
            {
                self.loads.pop_front();
            }
            if self.loads.len() > MAX_LOADS_PER_WINDOW {
                let violation = format!(
                    "{now} ms: {} loads in {LOAD_WINDOW_MS} ms",
                    self.loads.len()
                );
                self.violations.push(violation);
            }
        }
        let vm = self.vms.get_mut(id).expect("a VM that lives");
        vm.loading = Some((profile.model.clone(), now + span));
        span
    }
}
