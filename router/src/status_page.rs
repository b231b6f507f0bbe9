//! Status report of a router.

use std::time::Instant;

use jujuberoad::membership::ViewKey;
use serde::Serialize;

use crate::router_core::RouterCore;

/// The body of `/status`.
#[derive(Serialize)]
pub(crate) struct StatusPage {
    router: String,
    zone: String,
    revision: u64,
    epoch: u64,
    view_is_fresh: bool,
    store_is_out: bool,
    is_stopping: bool,
    waiting: usize,
    peer_traffic_bytes: u64,
    homes: Vec<HomeStatus>,
}

#[derive(Serialize)]
struct HomeStatus {
    target: String,
    state: String,
}

impl StatusPage {
    /// Returns the current status of the router.
    pub(crate) fn collect(core: &RouterCore) -> Self {
        let now = Instant::now();
        let view = core.view_cache.view();
        let mut homes = Vec::new();
        for (target, health) in core.homes.target_healths() {
            homes.push(HomeStatus {
                target: target.to_string(),
                state: health.to_string(),
            });
        }
        homes.sort_by(|left, right| left.target.cmp(&right.target));
        Self {
            router: core.settings.id.to_string(),
            zone: core.settings.zone.to_string(),
            revision: view.revision,
            epoch: view.list.epoch,
            view_is_fresh: core
                .view_cache
                .is_fresh(&[ViewKey::Config, ViewKey::Routers], now),
            store_is_out: core.view_cache.with_guard(|guard| guard.is_in_outage(now)),
            is_stopping: core.is_stopping(),
            waiting: core.scheduler.waiting_count(),
            peer_traffic_bytes: core.peers.traffic_bytes(),
            homes,
        }
    }
}
