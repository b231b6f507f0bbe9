//! Simulates a month of failures in a zone: group downtime and stranded accelerators by
//! planner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;

use jujuberoad::config::FleetConfig;
use jujuberoad::ids::ModelId;
use jujuberoad::ids::VmId;
use jujuberoad::placement::DomainPlanner;
use jujuberoad::placement::FirstFitPlanner;
use jujuberoad::placement::GroupRecord;
use jujuberoad::placement::PlacementPlanner;
use jujuberoad::placement::PlacementRecord;
use jujuberoad::placement::PlanInput;
use jujuberoad::placement::VmStatus;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use super::next_interval;

const SIMULATED_HOURS: f64 = 24.0 * 30.0;
/// Time to load a model onto a VM, in hours.
const MODEL_LOAD_H: f64 = 4.0 / 60.0;
/// Time to detect a lost VM and to let engines that have the model loaded join a group,
/// in hours.
const GROUP_JOIN_H: f64 = 10.0 / 3_600.0;
/// Longest step of the simulation, in hours.
const STEP_H: f64 = 20.0 / 3_600.0;
const ACCELERATORS_PER_VM: f64 = 8.0;

/// Size and failure rates of one availability zone of a fleet.
struct FleetScenario {
    name: &'static str,
    domains: usize,
    vms_per_domain: usize,
    vms_per_group: u64,
    groups: u64,
    /// VM failures in the zone per hour.
    vm_failures_per_h: f64,
    /// VM restarts and replacements in the zone per hour.
    vm_restarts_per_h: f64,
    /// Outages of whole fabric domains in the zone per hour.
    domain_failures_per_h: f64,
}

// Rates per hour in the whole fleet of 890 VMs that is the two-year target.
const TARGET_VM_FAILURES_PER_H: f64 = 11.0 / 24.0;
const TARGET_VM_RESTARTS_PER_H: f64 = 340.0 / 24.0;
const TARGET_DOMAIN_FAILURES_PER_H: f64 = 1.0 / (24.0 * 45.0);

/// Compares both planners over a simulated month, in a zone of today's size and in one of
/// the target size.
pub fn placement_bench(seed: u64) -> String {
    let today_share = 20.0 / 890.0;
    let target_share = 89.0 / 890.0;
    let scenarios = [
        FleetScenario {
            name: "today, a zone of 20 VMs",
            domains: 2,
            vms_per_domain: 10,
            vms_per_group: 4,
            groups: 4,
            vm_failures_per_h: TARGET_VM_FAILURES_PER_H * today_share,
            vm_restarts_per_h: TARGET_VM_RESTARTS_PER_H * today_share,
            domain_failures_per_h: TARGET_DOMAIN_FAILURES_PER_H * today_share,
        },
        FleetScenario {
            name: "target, a zone of 90 VMs",
            domains: 5,
            vms_per_domain: 18,
            vms_per_group: 8,
            groups: 10,
            vm_failures_per_h: TARGET_VM_FAILURES_PER_H * target_share,
            vm_restarts_per_h: TARGET_VM_RESTARTS_PER_H * target_share,
            domain_failures_per_h: TARGET_DOMAIN_FAILURES_PER_H * target_share,
        },
    ];
    let mut text = String::from(
        "fleet                     planner    group-hours down  groups rebuilt  stranded accelerator-hours\n",
    );
    for scenario in &scenarios {
        for (name, planner) in [
            ("first-fit", &FirstFitPlanner as &dyn PlacementPlanner),
            ("domain", &DomainPlanner),
        ] {
            let _ = writeln!(
                text,
                "{:<24}  {name:<9}  {}",
                scenario.name,
                simulate(scenario, planner, seed)
            );
        }
    }
    text
}

/// State of a simulated VM.
#[derive(Clone, Copy)]
struct VmModel {
    incarnation: u64,
    available_at: f64,
    /// Hour at which the model is loaded; infinite if the VM neither has nor loads it.
    loaded_at: f64,
}

fn simulate(scenario: &FleetScenario, planner: &dyn PlacementPlanner, seed: u64) -> String {
    let config = zone_config(scenario);
    let names: Vec<VmId> = config.vms.keys().cloned().collect();
    let mut vms = vec![
        VmModel {
            incarnation: 1,
            available_at: 0.0,
            loaded_at: f64::INFINITY
        };
        names.len()
    ];
    let mut random = fastrand::Rng::with_seed(seed);
    let mut record = PlacementRecord::empty("z".into());
    let mut ready_at: BTreeMap<SmolStr, (u64, f64)> = BTreeMap::new();
    let (mut now, mut down_group_hours, mut stranded_hours, mut rebuilt_groups) =
        (0.0, 0.0, 0.0, 0);
    let event_rate =
        scenario.vm_failures_per_h + scenario.vm_restarts_per_h + scenario.domain_failures_per_h;
    while now < SIMULATED_HOURS {
        let interval_h = next_interval(&mut random, event_rate);
        // Advances to the next event in short steps, since VMs return and
        // groups become ready in between.
        let mut remaining_h = interval_h;
        while remaining_h > 0.0 && now < SIMULATED_HOURS {
            let step_h = remaining_h.min(STEP_H);
            now += step_h;
            remaining_h -= step_h;
            let statuses = vm_statuses(&names, &vms, now);
            let (planned, preloads) =
                plan_next(planner, &config, &record, &statuses, scenario.groups);
            record = planned;
            update_model_loads(&names, &mut vms, &record, &preloads, now);
            let loaded: BTreeMap<&VmId, f64> = names
                .iter()
                .zip(&vms)
                .map(|(name, vm)| (name, vm.loaded_at))
                .collect();
            rebuilt_groups += update_ready_times(&record, &loaded, &mut ready_at, now);
            let serving = record
                .groups
                .values()
                .filter(|group| ready_at[&group.group].1 <= now);
            let serving: Vec<&GroupRecord> = serving.collect();
            down_group_hours +=
                step_h * scenario.groups.saturating_sub(serving.len() as u64) as f64;
            let used: usize = serving.iter().map(|group| group.members.len()).sum();
            let unused = statuses.len().saturating_sub(used);
            // VMs beyond the number that the configured groups need are spares and not
            // counted as stranded.
            let spares = names.len() - (scenario.groups * scenario.vms_per_group) as usize;
            stranded_hours += step_h * ACCELERATORS_PER_VM * unused.saturating_sub(spares) as f64;
        }
        apply_random_failure(scenario, &mut random, &mut vms, now);
    }
    format!("{down_group_hours:>16.1}  {rebuilt_groups:>14}  {stranded_hours:>26.0}")
}

/// Takes down one VM or one whole fabric domain, chosen in proportion to the failure
/// rates.
fn apply_random_failure(
    scenario: &FleetScenario,
    random: &mut fastrand::Rng,
    vms: &mut [VmModel],
    now: f64,
) {
    let draw = random.f64()
        * (scenario.vm_failures_per_h
            + scenario.vm_restarts_per_h
            + scenario.domain_failures_per_h);
    let vm_index = random.usize(0..vms.len());
    let (affected_vms, downtime_h) = if draw < scenario.vm_failures_per_h {
        (1, 4.0)
    } else if draw < scenario.vm_failures_per_h + scenario.vm_restarts_per_h {
        (1, 0.2)
    } else {
        (scenario.vms_per_domain, 2.0)
    };
    let first_index = if affected_vms > 1 {
        vm_index / affected_vms * affected_vms
    } else {
        vm_index
    };
    for vm in vms.iter_mut().skip(first_index).take(affected_vms) {
        vm.incarnation += 1;
        vm.available_at = vm.available_at.max(now + downtime_h);
        vm.loaded_at = f64::INFINITY;
    }
}

/// Starts loading the model on VMs that need it and unloads it from the others.
fn update_model_loads(
    names: &[VmId],
    vms: &mut [VmModel],
    record: &PlacementRecord,
    preloads: &BTreeMap<VmId, ModelId>,
    now: f64,
) {
    for (name, vm) in names.iter().zip(vms) {
        let is_needed = record.group_of(name).is_some() || preloads.contains_key(name);
        if !is_needed {
            vm.loaded_at = f64::INFINITY;
        } else if vm.loaded_at == f64::INFINITY {
            vm.loaded_at = now + MODEL_LOAD_H;
        }
    }
}

fn vm_statuses(names: &[VmId], vms: &[VmModel], now: f64) -> BTreeMap<VmId, VmStatus> {
    let mut statuses = BTreeMap::new();
    for (name, vm) in names.iter().zip(vms) {
        if vm.available_at <= now {
            let has_model = vm.loaded_at < f64::INFINITY;
            let model = if has_model {
                "m".into()
            } else {
                ModelId::default()
            };
            let incarnation = vm.incarnation;
            let status = VmStatus {
                incarnation,
                leaving: false,
                ready: true,
                model,
            };
            statuses.insert(name.clone(), status);
        }
    }
    statuses
}

fn plan_next(
    planner: &dyn PlacementPlanner,
    config: &FleetConfig,
    record: &PlacementRecord,
    statuses: &BTreeMap<VmId, VmStatus>,
    groups: u64,
) -> (PlacementRecord, BTreeMap<VmId, ModelId>) {
    let wanted = BTreeMap::from([("m".into(), groups)]);
    let input = PlanInput {
        config,
        current: record,
        vms: statuses,
        wanted: &wanted,
        drained: &BTreeSet::new(),
    };
    let planned = planner.plan(&input);
    let preloads = planner.preloads(&input, &planned);
    (planned, preloads)
}

/// Sets the time at which new and changed groups become ready, and returns the number of
/// such groups.
fn update_ready_times(
    record: &PlacementRecord,
    loaded: &BTreeMap<&VmId, f64>,
    ready_at: &mut BTreeMap<SmolStr, (u64, f64)>,
    now: f64,
) -> u64 {
    ready_at.retain(|group, _| record.groups.contains_key(group));
    let mut changed = 0;
    for group in record.groups.values() {
        let previous = ready_at.get(&group.group);
        if previous.is_some_and(|(generation, _)| *generation == group.generation) {
            continue;
        }
        changed += 1;
        let loaded_at = group.members.iter().map(|member| loaded[&member.vm]);
        let group_ready_at = loaded_at.fold(now, f64::max) + GROUP_JOIN_H;
        ready_at.insert(group.group.clone(), (group.generation, group_ready_at));
    }
    changed
}

fn zone_config(scenario: &FleetScenario) -> FleetConfig {
    let mut text = String::from("[zone z]\nregion = r\n");
    for domain in 0..scenario.domains {
        let _ = writeln!(text, "[domain d{domain}]\nzone = z");
        for vm in 0..scenario.vms_per_domain {
            let _ = writeln!(text, "[vm d{domain}-{vm:02}]\ndomain = d{domain}");
            let _ = writeln!(text, "address = 10.0.{domain}.{}:1", vm + 1);
        }
    }
    let _ = writeln!(
        text,
        "[model m]\nversion = v\nvms-per-group = {}",
        scenario.vms_per_group
    );
    let _ = writeln!(text, "groups = {}", scenario.groups);
    let files = BTreeMap::from([(format_smolstr!("zone.ini"), text)]);
    FleetConfig::parse(&files).expect("the files are valid")
}
