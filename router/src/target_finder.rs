//! Finds the targets that a request may use, from the stored records and the slot leases.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use jujuberoad::admission::RequestClass;
use jujuberoad::ids::TargetId;
use jujuberoad::ids::ZoneId;
use jujuberoad::membership::ViewKey;
use jujuberoad::routing::RouteTarget;
use jujuberoad::routing::TargetLoad;
use jujuberoad::slots::SlotLease;
use jujuberoad::slots::TargetState;

use crate::router_view::RouterView;
use crate::slot_demand::SlotDemand;
use crate::view_cache::ViewCache;

/// Requests of the least urgent class leave this fraction, 1/n, of the granted slots free.
const URGENT_RESERVE_DIVISOR: u32 = 4;

/// Finds targets for a router in `zone`.
pub(crate) struct TargetFinder {
    zone: ZoneId,
    view_cache: Arc<ViewCache>,
}

impl TargetFinder {
    pub(crate) fn new(zone: ZoneId, view_cache: Arc<ViewCache>) -> Self {
        Self { zone, view_cache }
    }

    /// Returns the open targets that can serve `demand` and whose records are fresh.
    pub(crate) fn candidates<'a>(
        &self,
        view: &'a RouterView,
        demand: &SlotDemand,
        now: Instant,
    ) -> Vec<&'a RouteTarget> {
        let mut candidates = Vec::new();
        for target in view.table.serving(&demand.kind()) {
            if target.closed.is_some() || !demand.is_met_by(target) {
                continue;
            }
            if self.is_view_fresh(target, now) {
                candidates.push(target);
            }
        }
        candidates
    }

    /// Returns whether the newest records contain `target` open, with the same generation and
    /// address.
    pub(crate) fn is_open(&self, target: &RouteTarget, now: Instant) -> bool {
        let view = self.view_cache.view();
        let newest = view.table.get(&target.target);
        let is_same = newest.is_some_and(|newest| {
            newest.closed.is_none()
                && newest.generation == target.generation
                && newest.address == target.address
        });
        is_same && self.is_view_fresh(target, now)
    }

    /// Returns whether the records that `target` depends on are fresh.
    fn is_view_fresh(&self, target: &RouteTarget, now: Instant) -> bool {
        if target.group.is_none() {
            return self.view_cache.is_fresh(&[ViewKey::Config], now);
        }
        let placement = ViewKey::Placement(target.zone.clone());
        self.view_cache.is_fresh(&[ViewKey::Config, placement], now)
    }

    /// Returns the load of each of `candidates`, as known from this router's slot leases.
    pub(crate) fn loads(
        &self,
        candidates: &[&RouteTarget],
        slot_leases: &HashMap<TargetId, SlotLease>,
        now: Instant,
    ) -> Vec<TargetLoad> {
        let mut loads = Vec::with_capacity(candidates.len());
        for target in candidates {
            let lease = slot_leases.get(&target.target);
            loads.push(TargetLoad {
                target: target.target.clone(),
                is_same_zone: target.zone == self.zone,
                state: lease.map_or(TargetState::Unknown, |lease| lease.state(now)),
                spare: lease.map_or(0, |lease| lease.spare(target.generation, now)),
                free: lease.map_or(0, SlotLease::free_at_home),
                in_use: lease.map_or(0, SlotLease::in_use),
                slots: target.slots,
            });
        }
        loads
    }
}

/// Returns the number of spare slots of `lease` that requests of `class` may take.
pub(crate) fn usable_slots(
    lease: &SlotLease,
    target: &RouteTarget,
    class: RequestClass,
    now: Instant,
) -> u32 {
    let spare = lease.spare(target.generation, now);
    match class {
        RequestClass::Counter => spare,
        RequestClass::Receipt => spare.saturating_sub(lease.slots() / URGENT_RESERVE_DIVISOR),
    }
}

/// Returns the least urgent class for which any of `candidates` has a usable slot.
pub(crate) fn lowest_servable_class(
    candidates: &[&RouteTarget],
    slot_leases: &HashMap<TargetId, SlotLease>,
    now: Instant,
) -> Option<RequestClass> {
    let mut lowest = None;
    for target in candidates {
        let Some(lease) = slot_leases.get(&target.target) else {
            continue;
        };
        if usable_slots(lease, target, RequestClass::Receipt, now) > 0 {
            return Some(RequestClass::Receipt);
        }
        if usable_slots(lease, target, RequestClass::Counter, now) > 0 {
            lowest = Some(RequestClass::Counter);
        }
    }
    lowest
}
