//! Placement tests: no VM belongs to two groups when VMs fail or leave, placers pause
//! or fail over, and the store's answers are lost.

mod testutils;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use jujuberoad::config::FleetConfig;
use jujuberoad::ids::GroupId;
use jujuberoad::ids::ModelId;
use jujuberoad::ids::VmId;
use jujuberoad::membership::LeaseTerm;
use jujuberoad::placement::DomainPlanner;
use jujuberoad::placement::EngineOrder;
use jujuberoad::placement::FirstFitPlanner;
use jujuberoad::placement::GroupState;
use jujuberoad::placement::ORDER_TIMEOUT_MS;
use jujuberoad::placement::PlacementPlanner;
use jujuberoad::placement::PlacementRecord;
use jujuberoad::placement::PlacerTerm;
use jujuberoad::placement::PlanInput;
use jujuberoad::placement::ReplicaShare;
use jujuberoad::placement::TermStep;
use jujuberoad::placement::VmStatus;
use jujuberoad::placement::WriteAnswer;
use testutils::draw;
use testutils::fleet_files::fleet_config;
use testutils::for_seeds;
use testutils::once_in;

const SEED_BYTES: u64 = 1 << 14;

/// Returns the VMs of zone a that report, each with probability `1 - 1/odds`.
fn present_vms(
    u: &mut Unstructured<'_>,
    config: &FleetConfig,
    odds: u32,
) -> arbitrary::Result<BTreeMap<VmId, VmStatus>> {
    let mut vms = BTreeMap::new();
    for vm in config.vms.values().filter(|vm| vm.zone == "a") {
        if once_in(u, odds)? {
            continue;
        }
        let incarnation = if once_in(u, odds)? { 2 } else { 1 };
        let status = VmStatus {
            incarnation,
            leaving: once_in(u, 12)?,
            ready: !once_in(u, 4)?,
            model: "m".into(),
        };
        vms.insert(vm.vm.clone(), status);
    }
    Ok(vms)
}

fn check_record(record: &PlacementRecord, config: &FleetConfig) {
    assert_eq!(record.duplicate_vms(), BTreeSet::new());
    for group in record.groups.values() {
        let spec = &config.models["m"];
        assert_eq!(group.members.len() as u64, spec.vms_per_group, "{group:?}");
        for member in &group.members {
            assert_eq!(config.vms[&member.vm].domain, group.domain, "{group:?}");
        }
    }
}

#[test]
fn planned_groups_are_whole_and_disjoint() {
    for_seeds(500, SEED_BYTES, |u| {
        let vms_per_group = draw(u, 1, 4)?;
        let config = fleet_config(2, draw(u, 4, 9)?, vms_per_group, draw(u, 1, 6)?);
        let planners: [&dyn PlacementPlanner; 2] = [&DomainPlanner, &FirstFitPlanner];
        for planner in planners {
            let mut record = PlacementRecord::empty("a".into());
            for _ in 0..12 {
                let vms = present_vms(u, &config, 10)?;
                let wanted = BTreeMap::from([("m".into(), draw(u, 0, 5)?)]);
                let draining: BTreeSet<_> = record
                    .groups
                    .values()
                    .filter(|group| group.state == GroupState::Draining)
                    .map(|group| group.group.clone())
                    .collect();
                let drained = if once_in(u, 2)? {
                    draining
                } else {
                    BTreeSet::new()
                };
                let input = PlanInput {
                    config: &config,
                    current: &record,
                    vms: &vms,
                    wanted: &wanted,
                    drained: &drained,
                };
                let planned = planner.plan(&input);
                check_record(&planned, &config);
                check_members(&planned, &record, &vms);
                record = planned;
            }
        }
        Ok(())
    });
}

/// Checks that the members of a changed group report and that its generation is higher.
fn check_members(
    planned: &PlacementRecord,
    before: &PlacementRecord,
    vms: &BTreeMap<VmId, VmStatus>,
) {
    for (name, group) in &planned.groups {
        let earlier = before.groups.get(name);
        if earlier.is_some_and(|earlier| earlier.members == group.members) {
            continue;
        }
        assert!(earlier.is_none_or(|earlier| earlier.generation < group.generation));
        for member in &group.members {
            assert!(
                vms.contains_key(&member.vm),
                "{} does not answer",
                member.vm
            );
        }
    }
}

#[test]
fn a_zone_that_is_out_gets_no_groups_and_the_others_take_them() {
    let files = testutils::fleet_files::fleet_files(1, 8, 2, 6);
    let share = |out: bool| {
        let mut files = files.clone();
        if out {
            files.insert("90-out.ini".into(), "[zone a]\nout = yes\n".to_owned());
        }
        ReplicaShare::of(&FleetConfig::parse(&files).expect("valid files"))
    };
    assert_eq!(share(false).of_zone("a")["m"], 2);
    assert!(share(true).of_zone("a").is_empty());
    assert_eq!(share(true).of_zone("b")["m"], 3);
}

/// A placer that may be paused, with its local view of lease and term.
struct SimPlacer {
    lease: Option<LeaseTerm>,
    term: Option<PlacerTerm>,
    paused_until_ms: u64,
}

/// Safety mechanisms that a control run disables.
#[derive(Clone, Copy)]
struct TermRules {
    compares_version: bool,
    checks_lease: bool,
}

#[derive(Default)]
struct TermCounts {
    writes: u64,
    /// Records written by a placer that had not read the previous version.
    overwritten: u64,
    /// Orders that reached an engine after an order with a higher fence.
    late_orders: u64,
}

/// Simulates two placers of one zone with random pauses and lost store answers.
fn run_placers(u: &mut Unstructured<'_>, rules: TermRules) -> arbitrary::Result<TermCounts> {
    let origin = Instant::now();
    let at = |ms: u64| origin + Duration::from_millis(ms);
    let zone = "a".into();
    let mut store: Option<(PlacementRecord, u64)> = None;
    let mut lease: Option<(usize, u64)> = None;
    let mut placers = Vec::new();
    for _ in 0..2 {
        placers.push(SimPlacer {
            lease: None,
            term: None,
            paused_until_ms: 0,
        });
    }
    let mut counts = TermCounts::default();
    let mut orders: Vec<(u64, u64)> = Vec::new();
    let mut highest_fence = 0;
    for now_ms in (0..60_000).step_by(100) {
        orders.retain(|(due_ms, fence)| {
            if now_ms < *due_ms {
                return true;
            }
            counts.late_orders += u64::from(*fence < highest_fence);
            highest_fence = highest_fence.max(*fence);
            false
        });
        for (index, placer) in placers.iter_mut().enumerate() {
            let now = at(now_ms);
            if now_ms < placer.paused_until_ms {
                continue;
            }
            if once_in(u, 60)? {
                placer.paused_until_ms = now_ms + 100 * draw(u, 1, 90)?;
                continue;
            }
            let holds =
                lease.is_some_and(|(holder, until_ms)| holder == index && now_ms < until_ms);
            let is_lease_free = lease.is_none_or(|(_, until_ms)| now_ms >= until_ms);
            if holds || is_lease_free {
                lease = Some((index, now_ms + 5_000));
                let term = placer
                    .lease
                    .get_or_insert(LeaseTerm::begin(5_000, 1_000, now));
                term.record_renewal(now);
            }
            let may_act = placer.lease.is_some_and(|term| term.is_held(now));
            if !may_act && rules.checks_lease {
                placer.lease = None;
                placer.term = None;
                continue;
            }
            if placer.lease.is_none() {
                continue;
            }
            let term = placer
                .term
                .get_or_insert_with(|| PlacerTerm::begin(&zone, store.clone(), now));
            let write = match term.raise_fence(u.arbitrary()?) {
                Some(write) => Some(write),
                None if once_in(u, 6)? => Some(term.propose(term.record().clone(), u.arbitrary()?)),
                None => None,
            };
            if let Some(write) = write {
                let held = store.as_ref().map_or(0, |(_, version)| *version);
                let is_match = held == write.expected;
                let answer = if is_match || !rules.compares_version {
                    counts.writes += 1;
                    counts.overwritten += u64::from(!is_match);
                    store = Some((write.record.clone(), held + 1));
                    if once_in(u, 5)? {
                        WriteAnswer::InDoubt
                    } else {
                        WriteAnswer::Written(held + 1)
                    }
                } else if once_in(u, 5)? {
                    WriteAnswer::InDoubt
                } else {
                    WriteAnswer::Refused
                };
                let mut step = term.answered(answer);
                if step == TermStep::ReadBack {
                    step = term.read_back(store.clone());
                }
                if step == TermStep::End {
                    placer.term = None;
                    continue;
                }
            }
            if term.may_order(now) {
                let due_ms = now_ms + draw(u, 0, ORDER_TIMEOUT_MS - 100)?;
                orders.push((due_ms, term.record().fence));
            }
        }
    }
    Ok(counts)
}

fn run_all_placers(rules: TermRules) -> TermCounts {
    let mut total = TermCounts::default();
    for_seeds(300, SEED_BYTES, |u| {
        let counts = run_placers(u, rules)?;
        total.writes += counts.writes;
        total.overwritten += counts.overwritten;
        total.late_orders += counts.late_orders;
        Ok(())
    });
    total
}

#[test]
fn no_placer_overwrites_a_record_it_has_not_read() {
    let counts = run_all_placers(TermRules {
        compares_version: true,
        checks_lease: true,
    });
    assert!(counts.writes > 1_000);
    assert_eq!(counts.overwritten, 0);
}

#[test]
fn engines_that_ignore_fences_get_no_order_of_an_earlier_placer() {
    let counts = run_all_placers(TermRules {
        compares_version: true,
        checks_lease: true,
    });
    assert_eq!(counts.late_orders, 0);
}

#[test]
fn control_without_compare_and_swap_overwrites() {
    let counts = run_all_placers(TermRules {
        compares_version: false,
        checks_lease: false,
    });
    assert!(counts.overwritten > 0);
}

#[test]
fn control_without_lease_check_orders_late() {
    let counts = run_all_placers(TermRules {
        compares_version: true,
        checks_lease: false,
    });
    assert!(counts.late_orders > 0);
}

#[test]
fn an_order_is_met_only_by_the_same_generation() {
    let config = fleet_config(1, 2, 2, 1);
    let vms = config
        .vms
        .values()
        .filter(|vm| vm.zone == "a")
        .map(|vm| {
            (
                vm.vm.clone(),
                VmStatus {
                    incarnation: 1,
                    leaving: false,
                    ready: true,
                    model: "m".into(),
                },
            )
        })
        .collect();
    let wanted = BTreeMap::from([("m".into(), 1)]);
    let input = PlanInput {
        config: &config,
        current: &PlacementRecord::empty("a".into()),
        vms: &vms,
        wanted: &wanted,
        drained: &BTreeSet::new(),
    };
    let record = DomainPlanner.plan(&input);
    let group = &record.groups["a-g0"];
    let order = EngineOrder::join(&group.members[0].vm, group, 3);
    let mut report = jujuberoad::health::MemberReport {
        vm: order.vm.clone(),
        incarnation: 1,
        group: order.group.clone(),
        generation: order.generation,
        model: order.model.clone(),
        version: order.version.clone(),
        phase: jujuberoad::health::EnginePhase::Cold,
        in_flight: 0,
        age_ms: 0,
        fence: 3,
    };
    assert!(order.is_met_by(&report));
    report.generation += 1;
    assert!(!order.is_met_by(&report));
}

/// A zone that should have one group, as input for the planner.
struct ZoneCase {
    config: FleetConfig,
    wanted: BTreeMap<ModelId, u64>,
    drained: BTreeSet<GroupId>,
}

impl ZoneCase {
    fn new(vms: u64, vms_per_group: u64) -> Self {
        let config = fleet_config(1, vms, vms_per_group, 1);
        let wanted = BTreeMap::from([("m".into(), 1)]);
        Self {
            config,
            wanted,
            drained: BTreeSet::new(),
        }
    }

    /// Returns the VMs of the zone, all of which have loaded `model`.
    fn vms(&self, model: &str) -> BTreeMap<VmId, VmStatus> {
        let mut vms = BTreeMap::new();
        for vm in self.config.vms.values().filter(|vm| vm.zone == "a") {
            let model = model.into();
            let status = VmStatus {
                incarnation: 1,
                leaving: false,
                ready: true,
                model,
            };
            vms.insert(vm.vm.clone(), status);
        }
        vms
    }

    fn plan(
        &self,
        current: &PlacementRecord,
        vms: &BTreeMap<VmId, VmStatus>,
    ) -> (PlacementRecord, BTreeMap<VmId, ModelId>) {
        let input = PlanInput {
            config: &self.config,
            current,
            vms,
            wanted: &self.wanted,
            drained: &self.drained,
        };
        let planned = DomainPlanner.plan(&input);
        let preloads = DomainPlanner.preloads(&input, &planned);
        (planned, preloads)
    }
}

#[test]
fn a_lost_member_is_replaced_from_its_domain() {
    let case = ZoneCase::new(5, 4);
    let mut vms = case.vms("m");
    let (first, _) = case.plan(&PlacementRecord::empty("a".into()), &vms);
    assert!(first.groups["a-g0"].holds("a0-01"));
    vms.remove("a0-01");
    let (second, _) = case.plan(&first, &vms);
    assert_eq!(second.groups["a-g0"].generation, 2);
    assert!(second.groups["a-g0"].holds("a0-04"));
    assert!(!second.groups["a-g0"].holds("a0-01"));
    assert_eq!(case.plan(&second, &vms).0, second);
}

#[test]
fn spares_hold_the_model_of_their_domain_two_at_a_time() {
    let case = ZoneCase::new(6, 2);
    let mut vms = case.vms("");
    let (record, preloads) = case.plan(&PlacementRecord::empty("a".into()), &vms);
    // The group loads first.
    assert!(preloads.is_empty());
    for member in &record.groups["a-g0"].members {
        vms.get_mut(&member.vm).expect("a member").model = "m".into();
    }
    for expected in [2, 4, 4] {
        let (_, preloads) = case.plan(&record, &vms);
        assert_eq!(preloads.len(), expected);
        for (vm, model) in preloads {
            assert!(record.group_of(&vm).is_none());
            vms.get_mut(&vm).expect("a spare").model = model;
        }
    }
}

#[test]
fn a_spare_that_holds_the_model_is_taken_first() {
    let case = ZoneCase::new(4, 2);
    let mut vms = case.vms("m");
    vms.get_mut("a0-02").expect("a VM").model = ModelId::default();
    let (first, _) = case.plan(&PlacementRecord::empty("a".into()), &vms);
    vms.remove("a0-00");
    let (second, _) = case.plan(&first, &vms);
    assert!(second.groups["a-g0"].holds("a0-03"), "{second:?}");
}
