//! Polls the engines of the targets to which this router is home or standby.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::health::REPORT_POLL_MS;
use jujuberoad::routing::RouteTarget;
use jujuberoad_node::runtime;
use spdlog::debug;

use crate::router_core::RouterCore;
use crate::router_view::RouterView;

/// Timeout of one report request.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which the poller checks which targets are due. Polls of different
/// targets are spread over these ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Ticks after which the home registry is synchronized even if the view is unchanged.
const SYNC_INTERVAL_TICKS: u64 = 40;

/// Starts the poller.
pub(crate) fn start(core: Arc<RouterCore>) {
    runtime::spawn(run(core));
}

async fn run(core: Arc<RouterCore>) {
    let mut tick: u64 = 0;
    let mut synced_view: Option<Arc<RouterView>> = None;
    loop {
        let now = Instant::now();
        let view = core.view_cache.view();
        let ticks_per_poll = REPORT_POLL_MS / TICK_INTERVAL.as_millis() as u64;
        let is_synced = synced_view
            .as_ref()
            .is_some_and(|synced_view| Arc::ptr_eq(synced_view, &view));
        if !is_synced || tick.is_multiple_of(SYNC_INTERVAL_TICKS) {
            core.homes.sync(&view, &core.settings.id, now);
            synced_view = Some(Arc::clone(&view));
        }
        for (index, name) in core.homes.targets().iter().enumerate() {
            let Some(target) = view.table.get(name) else {
                continue;
            };
            core.homes.update_health(target, now);
            if (tick + index as u64).is_multiple_of(ticks_per_poll) {
                poll_target(&core, target);
            }
        }
        tick += 1;
        smol::Timer::at(now + TICK_INTERVAL).await;
    }
}

fn poll_target(core: &Arc<RouterCore>, target: &RouteTarget) {
    let members = target.group.iter().flat_map(|group| &group.members);
    let addresses: Vec<SocketAddr> = match &target.group {
        Some(_) => members.map(|member| member.address).collect(),
        None => vec![target.address],
    };
    for address in addresses {
        runtime::spawn(poll_address(Arc::clone(core), target.clone(), address));
    }
}

async fn poll_address(core: Arc<RouterCore>, target: RouteTarget, address: SocketAddr) {
    let polled_at = Instant::now();
    match core
        .engine_control
        .report(address, polled_at + REPORT_TIMEOUT)
        .await
    {
        Ok(report) => core
            .homes
            .record(report, &target, polled_at, Instant::now()),
        Err(problem) => debug!("home: failed to poll target={}: {problem}", target.target),
    }
}
