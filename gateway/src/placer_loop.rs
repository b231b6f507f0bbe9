//! Plans groups and gives orders while this router holds the placer's lock.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::OrderAnswer;
use jujuberoad::fleet::PlannedOrder;
use jujuberoad::fleet::PlannerInput;
use jujuberoad::fleet::ReplicaPlanner;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::Fence;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;

/// Pause between two planning rounds.
const PLAN_PACE: Duration = Duration::from_millis(40);
/// Time for an order; engines answer within milliseconds.
const ORDER_LIMIT: Duration = Duration::from_millis(250);

/// The planner of the current term.
type SharedPlanner = Arc<Mutex<ReplicaPlanner>>;

/// Plans for ever.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        let mut term: Option<(Fence, SharedPlanner)> = None;
        loop {
            Timer::after(PLAN_PACE).await;
            let current = core.session.order_fence();
            let was_active = core.is_placer.swap(current.is_some(), Ordering::Relaxed);
            let Some(fence) = current else {
                core.has_pending_changes.store(false, Ordering::Relaxed);
                if was_active {
                    core.log.write(LogKind::Lease, json!({"placer": false}));
                }
                continue;
            };
            // A lease may lapse here and hold again under the same fence; the
            // planner that numbered groups under that fence is kept.
            let is_same = term.as_ref().is_some_and(|(known, _)| *known == fence);
            if !is_same {
                let planner = ReplicaPlanner::new(fence, core.settings.part());
                term = Some((fence, Arc::new(Mutex::new(planner))));
            }
            let Some((fence, planner)) = &term else {
                continue;
            };
            plan_once(&core, *fence, planner);
        }
    });
}

fn plan_once(core: &Arc<GatewayCore>, fence: Fence, planner: &SharedPlanner) {
    let view = core.board.view();
    let Some(config) = &view.config else {
        return;
    };
    if view.registry_seen_at.is_none() {
        return;
    }
    let unreachable: BTreeSet<EndpointId> = core.avoided_endpoints();
    let table = core.board.table();
    let has_traffic = !core.settings.is_first_start || core.has_traffic.load(Ordering::Relaxed);
    let input = PlannerInput {
        table: &table,
        groups: &view.groups,
        config,
        unreachable: &unreachable,
        has_traffic,
        now: Instant::now(),
    };
    let orders = {
        let mut planner = planner.lock().expect("planner lock");
        let orders = planner.plan(&input);
        core.has_pending_changes
            .store(planner.has_pending_changes(), Ordering::Relaxed);
        orders
    };
    for order in orders {
        let core = Arc::clone(core);
        let planner = Arc::clone(planner);
        runtime::spawn(async move { give_order(&core, fence, &planner, order).await });
    }
}

async fn give_order(
    core: &GatewayCore,
    fence: Fence,
    planner: &SharedPlanner,
    order: PlannedOrder,
) {
    let is_valid = core.session.order_fence() == Some(fence);
    if !is_valid {
        return;
    }
    let deadline = Instant::now() + ORDER_LIMIT;
    let (answer, detail) = match send_order(core, fence, &order, deadline).await {
        Ok(answer) => (answer, None),
        Err(error) => {
            // Nothing listens there: a VM that is gone holds up every group that
            // counts on it until its entry lapses.
            if !error.was_sent {
                core.mark_unreachable(&order.endpoint);
            }
            (OrderAnswer::Unanswered, Some(error.to_string()))
        }
    };
    core.metrics
        .note_call(order.order.name(), &answer.to_string());
    if answer == OrderAnswer::Fenced {
        core.session.end_term(fence);
    }
    planner
        .lock()
        .expect("planner lock")
        .observe_answer(&order, answer, Instant::now());
    core.log.write(
        LogKind::Order,
        json!({
            "order": order.order.name(),
            "what": format!("{:?}", order.order),
            "endpoint": order.endpoint,
            "because": order.reason,
            "fence": fence,
            "answer": answer.to_string(),
            "detail": detail,
        }),
    );
}

/// Sends an order, after a look at the engine where the order needs one.
async fn send_order(
    core: &GatewayCore,
    fence: Fence,
    order: &PlannedOrder,
    deadline: Instant,
) -> Result<OrderAnswer, CallError> {
    let mut expected_sequence = None;
    if order.needs_report() {
        core.metrics.probes.inc();
        let report = core.parts.control.probe(order.address, deadline).await?;
        expected_sequence = order.expected_sequence(&report);
        let is_slow = report.is_slow();
        core.board.apply_report(&order.endpoint, report);
        if is_slow && core.mark_slow(&order.endpoint) {
            return Ok(OrderAnswer::Conflict);
        }
        if expected_sequence.is_none() {
            return Ok(OrderAnswer::Conflict);
        }
    }
    let control = &core.parts.control;
    control
        .order(order, fence, expected_sequence, deadline)
        .await
}
