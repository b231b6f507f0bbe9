//! Plans groups and sends orders to engines while this router holds the placer's lock.

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

use crate::demand_sampler::DemandSampler;
use crate::gateway_core::GatewayCore;
use crate::silence_probe;

/// Interval between planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(40);
/// Timeout for an order, including its probe; engines answer within milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);

/// The planner of the current term, shared with orders in flight.
type SharedPlanner = Arc<Mutex<ReplicaPlanner>>;

/// Starts the planning loop.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        let mut term: Option<(Fence, SharedPlanner)> = None;
        let mut sampler = DemandSampler::default();
        loop {
            Timer::after(PLAN_INTERVAL).await;
            let current = core.order_fence();
            let was_active = core.is_placer.swap(current.is_some(), Ordering::Relaxed);
            let Some(fence) = current else {
                core.is_forming_groups.store(false, Ordering::Relaxed);
                if was_active {
                    sampler.clear(&core);
                    core.log.write(LogKind::Lease, json!({"placer": false}));
                }
                continue;
            };
            // A lease may expire locally and be renewed under the same fence. The planner
            // is kept then, because it has numbered groups under that fence.
            let is_same_term = term.as_ref().is_some_and(|(known, _)| *known == fence);
            if !is_same_term {
                let planner = ReplicaPlanner::new(fence, core.settings.id_hash());
                term = Some((fence, Arc::new(Mutex::new(planner))));
            }
            let Some((fence, planner)) = &term else {
                continue;
            };
            silence_probe::probe_silent(&core);
            plan_once(&core, *fence, planner, &mut sampler);
        }
    });
}

fn plan_once(
    core: &Arc<GatewayCore>,
    fence: Fence,
    planner: &SharedPlanner,
    sampler: &mut DemandSampler,
) {
    let view = core.fleet.view();
    let Some(config) = &view.config else {
        return;
    };
    // Without a path to engines, all of them seem to be lost and no order arrives.
    if view.registry_confirmed_at.is_none() || core.has_lost_engines() {
        return;
    }
    let unreachable: BTreeSet<EndpointId> = core.avoided_endpoints();
    let silent = core.silent_endpoints();
    let table = core.fleet.table();
    let has_traffic = !core.settings.is_first_start || core.has_traffic.load(Ordering::Relaxed);
    let now = Instant::now();
    let demand = sampler.sample(core, config, &unreachable, now);
    let input = PlannerInput {
        table: &table,
        groups: &view.groups,
        config,
        unreachable: &unreachable,
        silent: &silent,
        has_traffic,
        demand,
        now,
    };
    let orders = {
        let mut planner = planner.lock().expect("planner lock");
        let orders = planner.plan(&input);
        report_models_without_room(core, &planner);
        report_conversions(core, &mut planner);
        core.is_forming_groups
            .store(planner.has_pending_changes(), Ordering::Relaxed);
        orders
    };
    for order in orders {
        let core = Arc::clone(core);
        let planner = Arc::clone(planner);
        runtime::spawn(async move { give_order(&core, fence, &planner, order).await });
    }
}

/// Counts the models whose groups fit into no fabric domain, and logs them when they change.
fn report_models_without_room(core: &GatewayCore, planner: &ReplicaPlanner) {
    let models = planner.models_without_room();
    core.metrics.models_without_room.set(models.len() as i64);
    let mut known = core.models_without_room.lock().expect("model lock");
    if *known == models {
        return;
    }
    core.log.write(
        LogKind::Damaged,
        json!({
            "what": "group sizes",
            "models": models,
            "reason": "the groups of these models are larger than every fabric domain",
            "kept": "groups of the other models",
        }),
    );
    *known = models;
}

/// Logs the steps of conversions that follow demand.
fn report_conversions(core: &GatewayCore, planner: &mut ReplicaPlanner) {
    for note in planner.take_demand_notes() {
        core.log.write(
            LogKind::Demand,
            json!({
                "step": note.step.to_string(),
                "group": note.group.to_string(),
                "from": note.donor,
                "to": note.short,
            }),
        );
    }
}

async fn give_order(
    core: &GatewayCore,
    fence: Fence,
    planner: &SharedPlanner,
    order: PlannedOrder,
) {
    let is_valid = core.order_fence() == Some(fence);
    if !is_valid {
        return;
    }
    let deadline = Instant::now() + ORDER_TIMEOUT;
    let (answer, detail) = match send_order(core, fence, &order, deadline).await {
        Ok(answer) => (answer, None),
        Err(error) => {
            // The connection failed. Avoid the endpoint, because a dead VM otherwise
            // blocks every group planned with it until its registry entry expires.
            if !error.was_sent {
                core.mark_silent(&order.endpoint, error.silence_kind());
            }
            (OrderAnswer::Unanswered, Some(error.to_string()))
        }
    };
    core.metrics
        .record_call(order.order.name(), &answer.to_string());
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

/// Sends an order, after a probe of the engine if the order requires one.
async fn send_order(
    core: &GatewayCore,
    fence: Fence,
    order: &PlannedOrder,
    deadline: Instant,
) -> Result<OrderAnswer, CallError> {
    let mut expected_sequence = None;
    if order.needs_report() {
        core.metrics.probes.inc();
        let report = core.backends.control.probe(order.address, deadline).await?;
        expected_sequence = order.expected_sequence(&report);
        let is_slow = report.is_slow();
        core.fleet.apply_report(&order.endpoint, report);
        if is_slow && core.mark_slow(&order.endpoint) {
            return Ok(OrderAnswer::Conflict);
        }
        if expected_sequence.is_none() {
            return Ok(OrderAnswer::Conflict);
        }
    }
    let control = &core.backends.control;
    control
        .order(order, fence, expected_sequence, deadline)
        .await
}
