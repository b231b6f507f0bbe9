//! A synthetic fleet of ten zones for the scaling benchmark.

use std::collections::BTreeMap;
use std::fmt::Write;

use jujuberoad::config::FleetConfig;
use jujuberoad::ids::ZoneId;
use jujuberoad::placement::DomainPlanner;
use jujuberoad::placement::PlacementPlanner;
use jujuberoad::placement::PlacementRecord;
use jujuberoad::placement::PlanInput;
use jujuberoad::placement::VmStatus;
use jujuberoad::routing::RouteTable;
use smol_str::SmolStr;

use super::scaling_bench::mean_time_us;

/// Configuration and placements of a fleet of ten zones in which all VMs are ready.
pub(super) struct FleetFixture {
    files: BTreeMap<SmolStr, String>,
    config: FleetConfig,
    placements: BTreeMap<ZoneId, PlacementRecord>,
}

impl FleetFixture {
    pub(super) fn new(vm_count: usize) -> Self {
        let mut text = String::new();
        for zone in 0..10 {
            let _ = writeln!(text, "[zone z{zone}]\nregion = r{}", zone % 3);
            let _ = writeln!(text, "[domain z{zone}-a]\nzone = z{zone}");
            for vm in 0..vm_count / 10 {
                let _ = writeln!(text, "[vm z{zone}-{vm:03}]\ndomain = z{zone}-a");
                let _ = writeln!(
                    text,
                    "address = 10.{zone}.{}.1:9000\naccelerators = 8",
                    vm + 1
                );
            }
        }
        let vms_per_group = (vm_count / 10).min(8);
        let _ = writeln!(
            text,
            "[model m]\nversion = v\nvms-per-group = {vms_per_group}"
        );
        let _ = writeln!(
            text,
            "groups = {}\nslots = 64\ncold-slots = 2",
            vm_count / vms_per_group
        );
        let files = BTreeMap::from([("fleet.ini".into(), text)]);
        let config = FleetConfig::parse(&files).expect("the files are valid");
        let mut fleet = Self {
            files,
            config,
            placements: BTreeMap::new(),
        };
        for zone in fleet.config.zones.keys().cloned().collect::<Vec<_>>() {
            let placement = fleet.plan(&zone, &PlacementRecord::empty(zone.clone()));
            fleet.placements.insert(zone, placement);
        }
        fleet
    }

    fn plan(&self, zone: &ZoneId, current: &PlacementRecord) -> PlacementRecord {
        let mut vms = BTreeMap::new();
        for vm in self.config.vms.values().filter(|vm| vm.zone == *zone) {
            let status = VmStatus {
                incarnation: 1,
                leaving: false,
                ready: true,
                model: "m".into(),
            };
            vms.insert(vm.vm.clone(), status);
        }
        DomainPlanner.plan(&PlanInput {
            config: &self.config,
            current,
            vms: &vms,
            wanted: &BTreeMap::from([("m".into(), 20)]),
            drained: &Default::default(),
        })
    }

    pub(super) fn parse_us(&self) -> f64 {
        mean_time_us(|| {
            let _ = std::hint::black_box(FleetConfig::parse(&self.files));
        })
    }

    pub(super) fn route_table_us(&self) -> f64 {
        mean_time_us(|| {
            std::hint::black_box(RouteTable::build(&self.config, &self.placements));
        })
    }

    pub(super) fn plan_us(&self) -> f64 {
        let zone: ZoneId = "z1".into();
        mean_time_us(|| {
            std::hint::black_box(self.plan(&zone, &self.placements[&zone]));
        })
    }

    pub(super) fn config_bytes(&self) -> usize {
        self.files.values().map(String::len).sum()
    }

    pub(super) fn placement_bytes(&self) -> usize {
        serde_json::to_vec(&self.placements["z1"]).map_or(0, |bytes| bytes.len())
    }
}
