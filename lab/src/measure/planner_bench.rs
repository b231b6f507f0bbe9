//! Measures the running time of a planning round of the replica planner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::EndpointRecord;
use jujuberoad::fleet::EndpointState;
use jujuberoad::fleet::EndpointTable;
use jujuberoad::fleet::GroupIndex;
use jujuberoad::fleet::GroupMembership;
use jujuberoad::fleet::MemberState;
use jujuberoad::fleet::OrderAnswer;
use jujuberoad::fleet::PlannedOrder;
use jujuberoad::fleet::PlannerInput;
use jujuberoad::fleet::ReplicaOrder;
use jujuberoad::fleet::ReplicaPlanner;
use jujuberoad::ids::EndpointId;
use jujuberoad::serving::EngineProfile;
use jujuberoad::serving::ModelProfile;
use jujuberoad::serving::ServiceProfile;
use jujuberoad::serving::ServingConfig;
use jujuberoad::serving::TrafficLimits;
use smol_str::format_smolstr;

use super::quantile_ms;
use super::time_histogram;

/// VMs of a fabric domain.
const VMS_PER_DOMAIN: usize = 19;
/// Domains of an availability zone.
const DOMAINS_PER_ZONE: usize = 8;
/// Interval between planning rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(40);
/// Rounds of each phase.
const ROUNDS: usize = 250;

/// Reports the time of rounds while groups are formed, in a stable fleet, and while one VM in
/// twenty is lost.
pub fn planner_bench(seed: u64) -> String {
    let mut text = String::from("VMs    phase    rounds  p50 ms  p99 ms  most ms  groups\n");
    for vm_count in [20, 200, 1_000] {
        let mut fleet = BenchFleet::new(vm_count);
        let _ = writeln!(text, "{}", fleet.measure("forming"));
        fleet.has_traffic = true;
        let _ = writeln!(text, "{}", fleet.measure("stable"));
        fleet.lose_vms(vm_count / 20, seed);
        let _ = writeln!(text, "{}", fleet.measure("losses"));
    }
    text
}

/// Engines that execute every order at once.
struct BenchFleet {
    records: BTreeMap<EndpointId, EndpointRecord>,
    config: ServingConfig,
    planner: ReplicaPlanner,
    has_traffic: bool,
    now: Instant,
}

impl BenchFleet {
    fn new(vm_count: usize) -> Self {
        let records = (0..vm_count).map(|index| {
            let record = new_record(index);
            (record.id.clone(), record)
        });
        let model = |name: &str, vms_per_group: usize| ModelProfile {
            model: name.into(),
            vms_per_group,
            share: 0.5,
            time_factor: 1.0,
            load_ms: 16_000,
            local_load_ms: 1_600,
        };
        let engine = EngineProfile {
            parallel_loads: 20,
            loads_per_second: 20.0,
            models: vec![model("wide", 8), model("slim", 4)],
            ..EngineProfile::default()
        };
        let service = ServiceProfile {
            name: "engines".into(),
            engine: Some(engine),
            ..ServiceProfile::default()
        };
        let limits = TrafficLimits::default();
        Self {
            records: records.collect(),
            config: ServingConfig::new(1, Vec::new(), vec![service], None, limits),
            planner: ReplicaPlanner::new(1, 0),
            has_traffic: false,
            now: Instant::now(),
        }
    }

    /// Runs rounds and returns a line of the table.
    fn measure(&mut self, phase: &str) -> String {
        let mut times = time_histogram();
        for _ in 0..ROUNDS {
            self.now += ROUND_INTERVAL;
            let mut table = EndpointTable::default();
            for record in self.records.values() {
                table.upsert(record.clone());
            }
            let groups = GroupIndex::build(&table, &self.config, self.now);
            let input = PlannerInput {
                table: &table,
                groups: &groups,
                config: &self.config,
                unreachable: &BTreeSet::new(),
                silent: &BTreeSet::new(),
                has_traffic: self.has_traffic,
                demand: None,
                now: self.now,
            };
            let begun = Instant::now();
            let orders = self.planner.plan(&input);
            times.saturating_record(begun.elapsed().as_micros() as u64);
            for order in orders {
                self.execute(&order);
                let answer = OrderAnswer::Accepted;
                self.planner.observe_answer(&order, answer, self.now);
            }
        }
        let records = self.records.values();
        let memberships = records.filter_map(|record| record.membership.as_ref());
        let open = memberships.filter(|membership| membership.state == MemberState::Open);
        format!(
            "{:>4}   {phase:<8} {ROUNDS:>6}  {:>6.2}  {:>6.2}  {:>7.2}  {:>6}",
            self.records.len(),
            quantile_ms(&times, 0.5),
            quantile_ms(&times, 0.99),
            quantile_ms(&times, 1.0),
            open.count(),
        )
    }

    fn lose_vms(&mut self, count: usize, seed: u64) {
        let mut ids: Vec<EndpointId> = self.records.keys().cloned().collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut ids);
        for id in ids.into_iter().take(count) {
            self.records.remove(&id);
        }
    }

    fn execute(&mut self, order: &PlannedOrder) {
        let Some(record) = self.records.get_mut(&order.endpoint) else {
            return;
        };
        match &order.order {
            ReplicaOrder::Join {
                key,
                model,
                members,
            } => {
                let place = members.iter().position(|id| *id == order.endpoint);
                record.model = Some(model.clone());
                record.membership = Some(GroupMembership {
                    key: key.clone(),
                    rank: place.unwrap_or(0),
                    state: MemberState::Ready,
                });
            }
            ReplicaOrder::Open { .. } => {
                if let Some(membership) = &mut record.membership {
                    membership.state = MemberState::Open;
                }
            }
            ReplicaOrder::Close { .. } => {
                if let Some(membership) = &mut record.membership {
                    membership.state = MemberState::Ready;
                }
            }
            ReplicaOrder::Leave { .. } => record.membership = None,
            ReplicaOrder::Stage { model } => record.staged = vec![model.clone()],
        }
    }
}

fn new_record(index: usize) -> EndpointRecord {
    let domain = index / VMS_PER_DOMAIN;
    EndpointRecord {
        id: format_smolstr!("vm{index:04}"),
        incarnation: 1,
        service: "engines".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: format_smolstr!("z{}", domain / DOMAINS_PER_ZONE),
        domain: format_smolstr!("d{domain}"),
        slots: 14,
        state: EndpointState::Ready,
        cold_until: None,
        membership: None,
        model: None,
        staged: Vec::new(),
        entry_writes: 0,
        has_newer_report: false,
        version: "v1".into(),
    }
}
