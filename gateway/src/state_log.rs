//! Periodic log record of the fleet as this router sees it, and of its own load.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;

/// Interval between records.
const STATE_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the logging loop.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        loop {
            Timer::after(STATE_INTERVAL).await;
            log_state(&core);
        }
    });
}

fn log_state(core: &GatewayCore) {
    let view = core.fleet.view();
    let mut serving: BTreeMap<String, usize> = BTreeMap::new();
    let mut groups: BTreeMap<String, usize> = BTreeMap::new();
    for summary in view.groups.groups.values() {
        let state = summary.head_state();
        let state = state.map_or("headless".to_owned(), |state| state.to_string());
        *groups
            .entry(format!("{} {state}", summary.model))
            .or_default() += 1;
        if summary.is_serving() {
            *serving.entry(summary.model.to_string()).or_default() += 1;
        }
    }
    let mut in_groups = 0;
    let mut staged: BTreeMap<String, usize> = BTreeMap::new();
    let table = core.fleet.table();
    for record in table.iter() {
        in_groups += usize::from(record.membership.is_some());
        if let (None, Some(model)) = (&record.membership, record.staged.first()) {
            *staged.entry(model.to_string()).or_default() += 1;
        }
    }
    let loads = core.loads.lock().expect("load lock");
    let own: u32 = loads.own().map(|(_, load)| load.requests).sum();
    let peers = loads.peer_count();
    drop(loads);
    let limited = core.limits.lock().expect("limit lock").len();
    let memory = &core.caller_memory;
    let age = view
        .registry_confirmed_at
        .map(|at| at.elapsed().as_millis() as u64);
    core.log.write(
        LogKind::State,
        json!({
            "serving": serving,
            "groups": groups,
            "endpoints": table.len(),
            "in_groups": in_groups,
            "free_staged": staged,
            "lost": core.avoided_endpoints().len(),
            "own_requests": own,
            "waiting": core.queue.len(),
            "body_bytes": memory.bodies.used_bytes(),
            "body_evictions": memory.bodies.eviction_count(),
            "connections": memory.connections.open_count(),
            "connections_closed": memory.connections.closed_count(),
            "limited": limited,
            "limited_sends": core.metrics.limited_sends.get(),
            "peers": peers,
            "registry_age_ms": age,
            "placer": core.is_placer.load(Ordering::Relaxed),
        }),
    );
}
