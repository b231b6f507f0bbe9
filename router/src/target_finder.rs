//! Which targets a request may use, as the records and the wallets say.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use jujuberoad::admission::RequestClass;
use jujuberoad::ids::TargetId;
use jujuberoad::ids::ZoneId;
use jujuberoad::membership::ViewKey;
use jujuberoad::routing::RouteTarget;
use jujuberoad::routing::TargetLoad;
use jujuberoad::slots::SlotWallet;
use jujuberoad::slots::WalletState;

use crate::router_view::RouterView;
use crate::slot_demand::SlotDemand;
use crate::view_board::ViewBoard;

/// Part of the slots of a target that requests of the lowest class leave free.
const URGENT_RESERVE_DIVISOR: u32 = 4;

/// Looks targets up for a router in `zone`.
pub(crate) struct TargetFinder {
    zone: ZoneId,
    board: Arc<ViewBoard>,
}

impl TargetFinder {
    pub(crate) fn new(zone: ZoneId, board: Arc<ViewBoard>) -> Self {
        Self { zone, board }
    }

    /// Returns the targets that the records allow to be used.
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

    /// Tells whether the newest records still allow work on `target` as it was.
    pub(crate) fn is_open(&self, target: &RouteTarget, now: Instant) -> bool {
        let view = self.board.view();
        let newest = view.table.get(&target.target);
        let is_same = newest.is_some_and(|newest| {
            newest.closed.is_none()
                && newest.generation == target.generation
                && newest.address == target.address
        });
        is_same && self.is_view_fresh(target, now)
    }

    /// Tells whether the records on which work on `target` rests are recent.
    fn is_view_fresh(&self, target: &RouteTarget, now: Instant) -> bool {
        if target.group.is_none() {
            return self.board.is_fresh(&[ViewKey::Config], now);
        }
        let placement = ViewKey::Placement(target.zone.clone());
        self.board.is_fresh(&[ViewKey::Config, placement], now)
    }

    /// Returns what is known about the load of `candidates`.
    pub(crate) fn loads(
        &self,
        candidates: &[&RouteTarget],
        wallets: &HashMap<TargetId, SlotWallet>,
        now: Instant,
    ) -> Vec<TargetLoad> {
        let mut loads = Vec::with_capacity(candidates.len());
        for target in candidates {
            let wallet = wallets.get(&target.target);
            loads.push(TargetLoad {
                target: target.target.clone(),
                is_same_zone: target.zone == self.zone,
                state: wallet.map_or(WalletState::Unknown, |wallet| wallet.state(now)),
                spare: wallet.map_or(0, |wallet| wallet.spare(target.generation, now)),
                free: wallet.map_or(0, SlotWallet::free_at_home),
                in_use: wallet.map_or(0, SlotWallet::in_use),
                slots: target.slots,
            });
        }
        loads
    }
}

/// Returns the slots of a wallet that a request of `class` may take.
pub(crate) fn usable_slots(
    wallet: &SlotWallet,
    target: &RouteTarget,
    class: RequestClass,
    now: Instant,
) -> u32 {
    let spare = wallet.spare(target.generation, now);
    match class {
        RequestClass::Counter => spare,
        RequestClass::Receipt => spare.saturating_sub(wallet.slots() / URGENT_RESERVE_DIVISOR),
    }
}

/// Returns the lowest class for which some target has a slot.
pub(crate) fn lowest_servable_class(
    candidates: &[&RouteTarget],
    wallets: &HashMap<TargetId, SlotWallet>,
    now: Instant,
) -> Option<RequestClass> {
    let mut lowest = None;
    for target in candidates {
        let Some(wallet) = wallets.get(&target.target) else {
            continue;
        };
        if usable_slots(wallet, target, RequestClass::Receipt, now) > 0 {
            return Some(RequestClass::Receipt);
        }
        if usable_slots(wallet, target, RequestClass::Counter, now) > 0 {
            lowest = Some(RequestClass::Counter);
        }
    }
    lowest
}
