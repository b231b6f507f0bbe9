//! A consistent snapshot of the records in the platform's store.

use std::collections::BTreeMap;
use std::collections::HashMap;

use jujuberoad::config::FleetConfig;
use jujuberoad::ids::Revision;
use jujuberoad::ids::TargetId;
use jujuberoad::ids::ZoneId;
use jujuberoad::membership::HomeTable;
use jujuberoad::membership::RouterEntry;
use jujuberoad::membership::RouterList;
use jujuberoad::placement::PlacementRecord;
use jujuberoad::routing::RouteTable;

/// The newest records and the tables computed from them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouterView {
    /// Revision of the configuration; 0 before the first one is received.
    pub(crate) revision: Revision,
    /// The configuration; `None` before the first one is received.
    pub(crate) config: Option<FleetConfig>,
    /// The router list from the store.
    pub(crate) list: RouterList,
    /// Placement records by availability zone.
    pub(crate) placements: BTreeMap<ZoneId, PlacementRecord>,
    /// Targets computed from the configuration and the placement records.
    pub(crate) table: RouteTable,
    homes: HashMap<TargetId, TargetHomes>,
}

/// Home and standby of a target.
#[derive(Clone, Debug)]
struct TargetHomes {
    home: RouterEntry,
    standby: Option<RouterEntry>,
}

impl RouterView {
    /// Recomputes the table of targets and their homes from the records.
    pub(crate) fn rebuild(&mut self) {
        let Some(config) = &self.config else { return };
        self.table = RouteTable::build(config, &self.placements);
        let homes = HomeTable::new(&self.list);
        self.homes.clear();
        for target in self.table.iter() {
            let Some(home) = homes.home(&target.target, &target.zone) else {
                continue;
            };
            let standby = homes.standby(&target.target, &target.zone).cloned();
            let target_homes = TargetHomes {
                home: home.clone(),
                standby,
            };
            self.homes.insert(target.target.clone(), target_homes);
        }
    }

    /// Returns the home of a target.
    pub(crate) fn home(&self, target: &str) -> Option<&RouterEntry> {
        self.homes
            .get(target)
            .map(|target_homes| &target_homes.home)
    }

    /// Returns the router that grants a target's slots if the home does not respond.
    pub(crate) fn standby(&self, target: &str) -> Option<&RouterEntry> {
        self.homes
            .get(target)
            .and_then(|target_homes| target_homes.standby.as_ref())
    }

    /// Returns the home of a claim shard.
    pub(crate) fn shard_home(&self, shard: u64) -> Option<&RouterEntry> {
        HomeTable::new(&self.list).home(&format!("claims/{shard}"), "")
    }
}
