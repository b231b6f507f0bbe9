//! Polls engines directly while the registry is unavailable.
//!
//! The placer continues repairs during an outage of the store. It learns the state of
//! engines from their reports and forwards changes to its peers, so that all routers
//! send requests to the groups formed meanwhile.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::EngineReport;
use jujuberoad::ids::EndpointId;
use jujuberoad_node::runtime;
use smol::Timer;
use smol::channel;

use crate::gateway_core::GatewayCore;
use crate::peer_exchange;

/// Interval between polling rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Poll interval for an engine outside serving groups, whose state determines which
/// group is formed next.
const FREE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Poll interval for members of serving groups, whose failure shows in their streams.
const SERVING_POLL_INTERVAL: Duration = Duration::from_millis(2_000);
/// Timeout for a report; a round trip takes up to 3 ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Consecutive unanswered polls after which an engine is marked as unreachable.
const UNREACHABLE_AFTER_FAILURES: u32 = 2;

/// Polling state of one engine.
#[derive(Clone, Copy)]
struct PollState {
    next_at: Instant,
    unanswered: u32,
}

type PollAnswer = (EndpointId, Option<EngineReport>);

/// Starts the polling loop, active while the registry is unreadable and this router
/// is the placer.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        let mut polls: HashMap<EndpointId, PollState> = HashMap::new();
        loop {
            Timer::after(ROUND_INTERVAL).await;
            let is_needed = core.is_registry_unavailable.load(Ordering::Relaxed)
                && core.is_placer.load(Ordering::Relaxed);
            if !is_needed {
                polls.clear();
                continue;
            }
            poll_round(&core, &mut polls).await;
        }
    });
}

async fn poll_round(core: &Arc<GatewayCore>, polls: &mut HashMap<EndpointId, PollState>) {
    let now = Instant::now();
    let mut due = Vec::new();
    for (id, address, is_free) in engines(core) {
        let state = polls.entry(id.clone()).or_insert(PollState {
            next_at: now,
            unanswered: 0,
        });
        if now < state.next_at {
            continue;
        }
        state.next_at = now
            + if is_free {
                FREE_POLL_INTERVAL
            } else {
                SERVING_POLL_INTERVAL
            };
        due.push((id, address));
    }
    let mut updates = Vec::new();
    for (id, report) in probe_all(core, due, now + REPORT_TIMEOUT).await {
        let Some(state) = polls.get_mut(&id) else {
            continue;
        };
        let Some(report) = report else {
            state.unanswered += 1;
            if state.unanswered >= UNREACHABLE_AFTER_FAILURES {
                core.mark_unreachable(&id);
            }
            continue;
        };
        state.unanswered = 0;
        if core.fleet.apply_report(&id, report.clone()) {
            core.clear_unreachable(&id);
            updates.push((id, report));
        }
    }
    if updates.is_empty() {
        return;
    }
    core.queue.wake_all();
    peer_exchange::broadcast_reports(core, updates);
}

/// Returns all engines, each with whether it is outside serving groups.
fn engines(core: &GatewayCore) -> Vec<(EndpointId, SocketAddr, bool)> {
    let view = core.fleet.view();
    let Some(config) = &view.config else {
        return Vec::new();
    };
    let table = core.fleet.table();
    let mut engines = Vec::new();
    for record in table.iter() {
        let service = config.services.get(&record.service);
        if service.is_none_or(|service| service.engine.is_none()) {
            continue;
        }
        let group = record.membership.as_ref();
        let group = group.and_then(|membership| view.groups.groups.get(&membership.key));
        let is_serving = group.is_some_and(|group| group.is_serving());
        engines.push((record.id.clone(), record.address, !is_serving));
    }
    engines
}

async fn probe_all(
    core: &Arc<GatewayCore>,
    due: Vec<(EndpointId, SocketAddr)>,
    deadline: Instant,
) -> Vec<PollAnswer> {
    let (sender, results) = channel::unbounded();
    for (id, address) in due {
        let core = Arc::clone(core);
        let sender = sender.clone();
        runtime::spawn(async move {
            core.metrics.probes.inc();
            let report = core.backends.control.probe(address, deadline).await.ok();
            // The receiver is open until all answers have arrived.
            let _ = sender.send((id, report)).await;
        });
    }
    drop(sender);
    let mut answers = Vec::new();
    while let Ok(answer) = results.recv().await {
        answers.push(answer);
    }
    answers
}
