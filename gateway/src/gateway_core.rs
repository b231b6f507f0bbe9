//! What all parts of the gateway share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::admission::CircuitBreaker;
use jujuberoad::admission::FirstEventLatency;
use jujuberoad::admission::RetryDetector;
use jujuberoad::fleet::AvoidList;
use jujuberoad::fleet::ColdGate;
use jujuberoad::fleet::GroupKey;
use jujuberoad::fleet::LoadTable;
use jujuberoad::fleet::RetryAllowance;
use jujuberoad::fleet::RouterRoll;
use jujuberoad::fleet::ServingTarget;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::RouterId;
use jujuberoad_node::backends::StoreError;
use jujuberoad_node::http::HttpPool;
use jujuberoad_node::peer::PeerSocket;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::DecisionLog;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::belief_board::BeliefBoard;
use crate::gateway_parts::GatewayParts;
use crate::gateway_settings::GatewaySettings;
use crate::metric_page::MetricPage;
use crate::session_keeper::Session;
use crate::slot_queue::SlotQueue;
use crate::stall_board::StallBoard;

/// Time for which an endpoint that did not answer is given no work, unless the
/// registry shows a change before; entries of the dead lapse after 3.6 s.
const LOST_FOR: Duration = Duration::from_millis(4_500);

/// Time for which an endpoint that was the wrong one to ask is left alone, unless
/// the registry shows a change before; a watch of the registry takes as long.
const MISDIRECTED_FOR: Duration = Duration::from_millis(1_000);
/// Time for which a slow endpoint is given no work and joins no group; it is asked
/// again after that, and days of slow hosts last some seconds.
const SLOW_FOR: Duration = Duration::from_millis(3_000);
/// Time for which a group that has broken up is avoided; the registry shows it before.
const GROUP_GONE_FOR: Duration = Duration::from_millis(4_500);
/// Time for the report of such an endpoint.
const REPORT_LIMIT: Duration = Duration::from_millis(200);

/// Shared state of one gateway.
pub(crate) struct GatewayCore {
    pub(crate) settings: GatewaySettings,
    pub(crate) parts: GatewayParts,
    pub(crate) board: BeliefBoard,
    pub(crate) pool: Arc<HttpPool>,
    pub(crate) peers: Arc<PeerSocket>,
    pub(crate) peer_addresses: Mutex<BTreeMap<RouterId, SocketAddr>>,
    pub(crate) loads: Mutex<LoadTable>,
    pub(crate) first_events: Mutex<FirstEventLatency>,
    pub(crate) returns: Mutex<RetryDetector>,
    pub(crate) allowance: Mutex<RetryAllowance>,
    pub(crate) cold_gate: Mutex<ColdGate>,
    pub(crate) roll: Mutex<RouterRoll>,
    pub(crate) store_breaker: Mutex<CircuitBreaker>,
    pub(crate) avoided: Mutex<AvoidList>,
    pub(crate) stalls: StallBoard,
    pub(crate) queue: SlotQueue,
    pub(crate) session: Session,
    pub(crate) log: DecisionLog,
    pub(crate) metrics: MetricPage,
    pub(crate) is_stopping: AtomicBool,
    /// Whether this router gives orders at the moment.
    pub(crate) is_placer: AtomicBool,
    /// Whether groups are being formed by this router.
    pub(crate) is_mending: AtomicBool,
    /// Whether the registry cannot be read at the moment.
    pub(crate) is_registry_lost: AtomicBool,
    /// Whether any request has come since the start.
    pub(crate) has_traffic: AtomicBool,
}

impl GatewayCore {
    /// Returns the number of routers with which this one shares, itself included.
    pub(crate) fn router_count(&self) -> usize {
        let roll = self.roll.lock().expect("roll lock");
        roll.count(Instant::now())
    }

    /// Marks an endpoint as one that does not answer.
    pub(crate) fn mark_lost(&self, endpoint: &EndpointId) {
        self.mark_lost_for(endpoint, LOST_FOR);
    }

    /// Marks an endpoint as one that does not answer, for `span`.
    pub(crate) fn mark_lost_for(&self, endpoint: &EndpointId, span: Duration) {
        let until = Instant::now() + span;
        self.avoided().mark_lost(endpoint, until);
    }

    /// Notes that an endpoint says it is not the one to ask: its group has changed
    /// and the registry has not shown it yet.
    pub(crate) fn note_misdirected(self: &Arc<Self>, target: &ServingTarget) {
        self.mark_lost_for(&target.endpoint, MISDIRECTED_FOR);
        if target.group.is_none() {
            return;
        }
        let core = Arc::clone(self);
        let (endpoint, address) = (target.endpoint.clone(), target.address);
        runtime::spawn(async move {
            let deadline = Instant::now() + REPORT_LIMIT;
            core.metrics.probes.inc();
            match core.parts.control.probe(address, deadline).await {
                Ok(report) => {
                    core.board.apply_report(&endpoint, report);
                }
                // It stays marked, and the registry tells more in time.
                Err(error) => core.log.write(
                    LogKind::Suspicion,
                    json!({"endpoint": endpoint, "cause": "misdirected", "reason": error.to_string()}),
                ),
            }
        });
    }

    /// Forgets that an endpoint did not answer.
    pub(crate) fn clear_lost(&self, endpoint: &EndpointId) {
        self.avoided().clear_lost(endpoint);
    }

    /// Marks an endpoint as slow; tells whether it is avoided, as only a few may be.
    pub(crate) fn mark_slow(&self, endpoint: &EndpointId) -> bool {
        let now = Instant::now();
        let count = self.board.endpoint_count();
        self.avoided()
            .mark_slow(endpoint, count, now, now + SLOW_FOR)
    }

    /// Avoids the group of a target, whose members have moved on.
    pub(crate) fn avoid_group(&self, target: &ServingTarget) {
        if let Some(group) = &target.group {
            self.avoid_group_for(group, GROUP_GONE_FOR);
        }
    }

    /// Avoids a group for `span`.
    pub(crate) fn avoid_group_for(&self, group: &GroupKey, span: Duration) {
        let now = Instant::now();
        self.avoided().mark_gone(group, now, now + span);
    }

    /// Tells whether a target is known not to work.
    pub(crate) fn is_broken(&self, target: &ServingTarget) -> bool {
        self.avoided().is_broken(target, Instant::now())
    }

    /// Returns the endpoints that do not answer, or are too slow to be of use.
    pub(crate) fn avoided_endpoints(&self) -> BTreeSet<EndpointId> {
        self.avoided().endpoints(Instant::now())
    }

    /// Returns what this router avoids.
    pub(crate) fn avoided(&self) -> MutexGuard<'_, AvoidList> {
        self.avoided.lock().expect("avoid lock")
    }

    /// Takes one retry from the share of this router.
    pub(crate) fn try_retry(&self) -> bool {
        // One more than are known: a router that has just been replaced may
        // have used up its share before.
        let routers = self.router_count() + 1;
        let mut allowance = self.allowance.lock().expect("allowance lock");
        allowance.try_take(routers, Instant::now())
    }

    /// Returns nothing where the store may be called now, else when to ask again.
    pub(crate) fn try_store_gate(&self) -> Option<Instant> {
        let mut breaker = self.store_breaker.lock().expect("breaker lock");
        breaker.try_call(Instant::now())
    }

    /// Notes whether the store has answered a call.
    pub(crate) fn note_store_answer<T>(&self, result: &Result<T, StoreError>) {
        let mut breaker = self.store_breaker.lock().expect("breaker lock");
        match result {
            Err(error) if error.is_outage() => {
                breaker.record_failure(Instant::now(), fastrand::f64());
            }
            _ => breaker.record_success(),
        }
    }

    /// Tells whether the process is about to end.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }
}
