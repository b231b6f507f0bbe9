//! Asks engines themselves while the registry is away.
//!
//! The router that forms groups goes on with repairs during an outage of the store.
//! It sees the engines through their reports and tells its peers what is new, so
//! that all of them send requests to groups formed meanwhile.

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

/// Pause between two rounds.
const ROUND_PACE: Duration = Duration::from_millis(100);
/// Pause between two questions to an engine outside serving groups, whose state
/// decides what is formed next.
const NEAR_PACE: Duration = Duration::from_millis(200);
/// The same for members of serving groups, whose silence their streams show.
const FAR_PACE: Duration = Duration::from_millis(2_000);
/// Time for an answer; a round trip takes up to 3 ms.
const REPORT_LIMIT: Duration = Duration::from_millis(100);
/// Unanswered questions in a row after which an engine counts as lost.
const LOST_AFTER: u32 = 2;

/// When an engine is asked next, and how often it did not answer.
#[derive(Clone, Copy)]
struct PollState {
    next_at: Instant,
    unanswered: u32,
}

type PollAnswer = (EndpointId, Option<EngineReport>);

/// Polls for ever, whenever the registry is away and this router forms groups.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        let mut polls: HashMap<EndpointId, PollState> = HashMap::new();
        loop {
            Timer::after(ROUND_PACE).await;
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
    for (id, address, is_near) in engines(core) {
        let state = polls.entry(id.clone()).or_insert(PollState {
            next_at: now,
            unanswered: 0,
        });
        if now < state.next_at {
            continue;
        }
        state.next_at = now + if is_near { NEAR_PACE } else { FAR_PACE };
        due.push((id, address));
    }
    let mut news = Vec::new();
    for (id, report) in ask_all(core, due, now + REPORT_LIMIT).await {
        let Some(state) = polls.get_mut(&id) else {
            continue;
        };
        let Some(report) = report else {
            state.unanswered += 1;
            if state.unanswered >= LOST_AFTER {
                core.mark_unreachable(&id);
            }
            continue;
        };
        state.unanswered = 0;
        if core.board.apply_report(&id, report.clone()) {
            core.clear_unreachable(&id);
            news.push((id, report));
        }
    }
    if news.is_empty() {
        return;
    }
    core.queue.wake_all();
    peer_exchange::tell_observed(core, None, news);
}

/// Returns all engines, each with whether it is outside a serving group.
fn engines(core: &GatewayCore) -> Vec<(EndpointId, SocketAddr, bool)> {
    let view = core.board.view();
    let Some(config) = &view.config else {
        return Vec::new();
    };
    let table = core.board.table();
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

async fn ask_all(
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
            let report = core.parts.control.probe(address, deadline).await.ok();
            // The receiver waits for all answers.
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
