//! Number of groups that each availability zone should have.

use std::collections::BTreeMap;

use crate::config::FleetConfig;
use crate::ids::DomainId;
use crate::ids::ModelId;
use crate::ids::ZoneId;

/// Distributes the groups of each model over the zones that are in service.
///
/// Every placer computes the same distribution from the same configuration, so
/// placers need no coordination beyond the configuration. A zone gets no more
/// groups than its fabric domains can hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaShare {
    shares: BTreeMap<ZoneId, BTreeMap<ModelId, u64>>,
}

impl ReplicaShare {
    /// Computes the distribution for `config`.
    pub fn of(config: &FleetConfig) -> Self {
        let mut share = Self::default();
        let mut free = free_vms(config);
        let mut models: Vec<_> = config.models.values().collect();
        models.sort_by_key(|model| (std::cmp::Reverse(model.vms_per_group), &model.model));
        for model in models {
            for _ in 0..model.groups {
                let Some(zone) = share.least_served_zone(&free, &model.model, model.vms_per_group)
                else {
                    break;
                };
                reserve_group(&mut free, &zone, model.vms_per_group);
                let zone_share = share.shares.entry(zone).or_default();
                *zone_share.entry(model.model.clone()).or_default() += 1;
            }
        }
        share
    }

    /// Returns the number of groups by model that `zone` should have.
    pub fn of_zone(&self, zone: &str) -> BTreeMap<ModelId, u64> {
        self.shares.get(zone).cloned().unwrap_or_default()
    }

    fn least_served_zone(
        &self,
        free: &BTreeMap<ZoneId, BTreeMap<DomainId, u64>>,
        model: &str,
        vms_per_group: u64,
    ) -> Option<ZoneId> {
        let mut best: Option<(u64, &ZoneId)> = None;
        for (zone, domains) in free {
            if !domains.values().any(|count| *count >= vms_per_group) {
                continue;
            }
            let held = self.shares.get(zone).and_then(|models| models.get(model));
            let rank = (held.copied().unwrap_or(0), zone);
            if best.is_none_or(|best| rank < best) {
                best = Some(rank);
            }
        }
        best.map(|(_, zone)| zone.clone())
    }
}

fn free_vms(config: &FleetConfig) -> BTreeMap<ZoneId, BTreeMap<DomainId, u64>> {
    let mut free: BTreeMap<ZoneId, BTreeMap<DomainId, u64>> = BTreeMap::new();
    for vm in config.vms.values() {
        if vm.leaving || config.is_zone_out(&vm.zone) {
            continue;
        }
        let domains = free.entry(vm.zone.clone()).or_default();
        *domains.entry(vm.domain.clone()).or_default() += 1;
    }
    free
}

fn reserve_group(
    free: &mut BTreeMap<ZoneId, BTreeMap<DomainId, u64>>,
    zone: &str,
    vms_per_group: u64,
) {
    let Some(domains) = free.get_mut(zone) else {
        return;
    };
    let fitting = domains
        .values_mut()
        .filter(|count| **count >= vms_per_group);
    if let Some(count) = fitting.min() {
        *count -= vms_per_group;
    }
}
