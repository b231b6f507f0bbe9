//! State shared by all tasks of the gateway.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::admission::CircuitBreaker;
use jujuberoad::admission::FirstEventLatency;
use jujuberoad::admission::RetryDetector;
use jujuberoad::fleet::AvoidList;
use jujuberoad::fleet::GroupKey;
use jujuberoad::fleet::LimitOutbox;
use jujuberoad::fleet::LimitTable;
use jujuberoad::fleet::LoadTable;
use jujuberoad::fleet::PathMonitor;
use jujuberoad::fleet::PoolKey;
use jujuberoad::fleet::QuotaDivider;
use jujuberoad::fleet::RelayTable;
use jujuberoad::fleet::RetryAllowance;
use jujuberoad::fleet::SendPacer;
use jujuberoad::fleet::ServingTarget;
use jujuberoad::fleet::SilenceKind;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::Fence;
use jujuberoad::ids::ModelId;
use jujuberoad::ids::RouterId;
use jujuberoad::ids::ServiceId;
use jujuberoad::pace::PaceTable;
use jujuberoad_node::backends::StoreError;
use jujuberoad_node::http::HttpPool;
use jujuberoad_node::peer::PeerSocket;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::DecisionLog;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::caller_memory::CallerMemory;
use crate::digest_exchange::DigestExchange;
use crate::fleet_cache::FleetCache;
use crate::fleet_cache::FleetView;
use crate::gateway_backends::GatewayBackends;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_settings::GatewaySettings;
use crate::outage_clock::OutageClock;
use crate::overload_mode::OverloadMode;
use crate::peer_exchange::PendingRelay;
use crate::poison_guard::PoisonGuard;
use crate::pool_board::PoolBoard;
use crate::registry_sink;
use crate::slot_queue::SlotQueue;
use crate::stall_monitor::StallMonitor;
use crate::stop_plan::StopPlan;
use crate::store_hearsay::StoreHearsay;
use crate::store_session::StoreSession;
use crate::version_notes::VersionNotes;

/// Time for which an endpoint that did not answer is avoided, unless the registry
/// shows a change earlier. Registry entries of dead endpoints expire after 3.6 s.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(4_500);

/// Time for which an endpoint that answered "misdirected" is avoided, unless the
/// registry shows a change earlier; a registry watch takes about this long.
const MISDIRECTED_COOLDOWN: Duration = Duration::from_millis(1_000);
/// Time for which a slow endpoint is avoided and joins no group before it is probed
/// again. Slow phases of hosts last a few seconds.
const SLOW_COOLDOWN: Duration = Duration::from_millis(3_000);
/// Time for which a dissolved group is avoided; the registry shows the change earlier.
const BROKEN_GROUP_COOLDOWN: Duration = Duration::from_millis(4_500);
/// Timeout for probing an endpoint that answered "misdirected".
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Fleet cache, load and admission state, and clients of one gateway process.
pub(crate) struct GatewayCore {
    pub(crate) settings: GatewaySettings,
    pub(crate) backends: GatewayBackends,
    pub(crate) fleet: FleetCache,
    pub(crate) pool: Arc<HttpPool>,
    pub(crate) peers: Arc<PeerSocket>,
    pub(crate) peer_addresses: Mutex<BTreeMap<RouterId, SocketAddr>>,
    /// Changes of the registry that are relayed next.
    pub(crate) relay_buffer: Mutex<Option<PendingRelay>>,
    /// Models whose groups fit into no fabric domain, as last logged.
    pub(crate) models_without_room: Mutex<BTreeSet<ModelId>>,
    /// Routers that are missing from the list since the store was restored.
    pub(crate) unconfirmed_routers: Mutex<BTreeSet<RouterId>>,
    pub(crate) loads: Mutex<LoadTable>,
    /// Digests from peers, and what the next ones to them contain.
    pub(crate) digests: DigestExchange,
    /// How many requests each target may have in progress; locked after `loads`.
    pub(crate) paces: Mutex<PaceTable>,
    /// Version of the operator's keys that this router has applied.
    pub(crate) version_notes: VersionNotes,
    pub(crate) first_events: Mutex<FirstEventLatency>,
    pub(crate) caller_retries: Mutex<RetryDetector>,
    pub(crate) retry_budget: Mutex<RetryAllowance>,
    /// Requests to each endpoint, which are kept within what it takes from all routers.
    pub(crate) pacer: Mutex<SendPacer>,
    pub(crate) quota_divider: Mutex<QuotaDivider>,
    /// Limits on the rate of requests that endpoints have named.
    pub(crate) limits: Mutex<LimitTable>,
    /// Limits that peers have to be told of.
    pub(crate) limit_outbox: Mutex<LimitOutbox>,
    pub(crate) store_breaker: Mutex<CircuitBreaker>,
    pub(crate) store_outages: OutageClock,
    pub(crate) store_hearsay: StoreHearsay,
    pub(crate) avoided: Mutex<AvoidList>,
    /// Which services this router reaches.
    pub(crate) paths: Mutex<PathMonitor>,
    /// Peers that requests go through while it does not.
    pub(crate) relays: Mutex<RelayTable>,
    pub(crate) stalls: StallMonitor,
    pub(crate) poison: PoisonGuard,
    pub(crate) queue: SlotQueue,
    /// Waiting, running and ended requests by pool, priority and team.
    pub(crate) pool_activity: PoolBoard,
    /// What callers may make the process hold.
    pub(crate) caller_memory: CallerMemory,
    pub(crate) session: StoreSession,
    pub(crate) log: DecisionLog,
    pub(crate) metrics: GatewayMetrics,
    /// The schedule of the stop, once one was requested.
    pub(crate) stop_plan: OnceLock<StopPlan>,
    /// Whether this router is currently the placer, which may send orders to engines.
    pub(crate) is_placer: AtomicBool,
    /// Whether this router is currently forming groups.
    pub(crate) is_forming_groups: AtomicBool,
    /// Whether the registry is currently unreadable.
    pub(crate) is_registry_unavailable: AtomicBool,
    /// Whether the routers of the fleet are known to differ in their processor shares.
    pub(crate) is_fleet_uneven: AtomicBool,
    /// Whether any request has been admitted since the process started.
    pub(crate) has_traffic: AtomicBool,
}

impl GatewayCore {
    /// Returns the number of routers that share fleet-wide limits, including this one.
    pub(crate) fn router_count(&self) -> usize {
        let quota_divider = self.quota_divider.lock().expect("quota divider lock");
        quota_divider.router_count(Instant::now())
    }

    /// Avoids an endpoint that is lost, for [`UNREACHABLE_COOLDOWN`].
    pub(crate) fn mark_unreachable(&self, endpoint: &EndpointId) {
        self.mark_unreachable_for(endpoint, UNREACHABLE_COOLDOWN);
    }

    /// Avoids an endpoint that does not answer, for [`UNREACHABLE_COOLDOWN`]. Unless its loss is
    /// proved, its group keeps its members for a while.
    pub(crate) fn mark_silent(&self, endpoint: &EndpointId, kind: SilenceKind) {
        let now = Instant::now();
        self.avoided()
            .mark_unreachable(endpoint, kind, now, now + UNREACHABLE_COOLDOWN);
    }

    /// Avoids an endpoint that is lost or has left its group, for `span`.
    pub(crate) fn mark_unreachable_for(&self, endpoint: &EndpointId, span: Duration) {
        let now = Instant::now();
        self.avoided()
            .mark_unreachable(endpoint, SilenceKind::Refused, now, now + span);
    }

    /// Handles a 421 response: the endpoint's group has changed and the registry does not
    /// show it yet. Avoids the endpoint for a while and probes it for its current state.
    pub(crate) fn handle_misdirected(self: &Arc<Self>, target: &ServingTarget) {
        self.mark_unreachable_for(&target.endpoint, MISDIRECTED_COOLDOWN);
        if target.group.is_none() {
            return;
        }
        let core = Arc::clone(self);
        let (endpoint, address) = (target.endpoint.clone(), target.address);
        runtime::spawn(async move {
            let deadline = Instant::now() + REPORT_TIMEOUT;
            core.metrics.probes.inc();
            match core.backends.control.probe(address, deadline).await {
                Ok(report) => {
                    core.fleet.apply_report(&endpoint, report);
                }
                // The endpoint stays avoided until the registry shows its state.
                Err(error) => core.log.write(
                    LogKind::Suspicion,
                    json!({"endpoint": endpoint, "cause": "misdirected", "reason": error.to_string()}),
                ),
            }
        });
    }

    /// Stops avoiding an endpoint that did not answer.
    pub(crate) fn clear_unreachable(&self, endpoint: &EndpointId) {
        self.avoided().clear_unreachable(endpoint);
    }

    /// Marks an endpoint as slow; returns whether it is avoided, since the number of
    /// endpoints avoided for slowness is limited.
    pub(crate) fn mark_slow(&self, endpoint: &EndpointId) -> bool {
        let now = Instant::now();
        let count = self.fleet.endpoint_count();
        self.avoided()
            .mark_slow(endpoint, count, now, now + SLOW_COOLDOWN)
    }

    /// Avoids the group of a target because a member has left it.
    pub(crate) fn avoid_group(&self, target: &ServingTarget) {
        if let Some(group) = &target.group {
            self.avoid_group_for(group, BROKEN_GROUP_COOLDOWN);
        }
    }

    /// Avoids a group for `span`.
    pub(crate) fn avoid_group_for(&self, group: &GroupKey, span: Duration) {
        let now = Instant::now();
        self.avoided().mark_dissolved(group, now, now + span);
    }

    /// Returns whether a target is known to be broken.
    pub(crate) fn is_unusable(&self, target: &ServingTarget) -> bool {
        self.avoided().is_unusable(target, Instant::now())
    }

    /// Returns how many of `targets` are avoided.
    pub(crate) fn count_avoided(&self, targets: &[ServingTarget]) -> usize {
        let now = Instant::now();
        let avoided = self.avoided();
        let targets = targets.iter();
        targets
            .filter(|target| avoided.is_avoided(target, now))
            .count()
    }

    /// Returns the endpoints that are avoided because they do not answer or are slow.
    pub(crate) fn avoided_endpoints(&self) -> BTreeSet<EndpointId> {
        self.avoided().endpoints(Instant::now())
    }

    /// Returns those of the avoided endpoints that may only pause.
    pub(crate) fn silent_endpoints(&self) -> BTreeSet<EndpointId> {
        self.avoided().silent_endpoints(Instant::now())
    }

    /// Locks and returns the endpoints and groups that this router avoids.
    pub(crate) fn avoided(&self) -> MutexGuard<'_, AvoidList> {
        self.avoided.lock().expect("avoid list lock")
    }

    /// Takes one retry from this router's share of the budget; returns whether one was
    /// available.
    pub(crate) fn try_take_retry(&self) -> bool {
        // Counts one more router than is known, because a router that was just
        // replaced may have spent its share already.
        let routers = self.router_count() + 1;
        let mut retry_budget = self.retry_budget.lock().expect("retry budget lock");
        retry_budget.try_take(routers, Instant::now())
    }

    /// Returns whether this router's share of the budget has a retry left.
    pub(crate) fn has_retry(&self) -> bool {
        let routers = self.router_count() + 1;
        let mut retry_budget = self.retry_budget.lock().expect("retry budget lock");
        retry_budget.remaining(routers, Instant::now()) >= 1.0
    }

    /// Returns `None` if the store may be called now, else when to check again.
    ///
    /// While the breaker is open, `None` permits a single trial call.
    pub(crate) fn try_store_call(&self) -> Option<Instant> {
        let mut breaker = self.store_breaker.lock().expect("store breaker lock");
        breaker.try_call(Instant::now())
    }

    /// Updates the circuit breaker and the outages of the store with the result of a call.
    pub(crate) fn record_store_result<T>(&self, result: &Result<T, StoreError>) {
        self.store_outages.observe(result);
        let mut breaker = self.store_breaker.lock().expect("store breaker lock");
        match result {
            Err(error) if error.is_outage() => {
                self.session.note_store_failure();
                breaker.record_failure(Instant::now(), fastrand::f64());
            }
            _ => breaker.record_success(),
        }
    }

    /// Returns whether the registry in `view` is older than that of a router that the store serves,
    /// and calls to the store have failed since.
    pub(crate) fn may_miss_changes(&self, view: &FleetView) -> bool {
        view.registry_confirmed_at.is_some_and(|confirmed_at| {
            let outdated_at = confirmed_at + registry_sink::usual_interval(self);
            Instant::now() >= outdated_at && self.store_outages.was_out_since(confirmed_at)
        })
    }

    /// Returns whether this router knows the registry as well as its peers. Otherwise endpoints
    /// may be cold, and the peers know it.
    pub(crate) fn hears_registry(&self, view: &FleetView) -> bool {
        !(self.may_miss_changes(view) && self.store_hearsay.is_reached())
    }

    /// Records contact with an endpoint of a service.
    pub(crate) fn observe_contact(
        &self,
        service: &ServiceId,
        endpoint: &EndpointId,
        address: SocketAddr,
    ) {
        let connected_at = self.pool.opened_at(address);
        let mut paths = self.paths();
        paths.observe_contact(service, endpoint, connected_at, Instant::now());
    }

    /// Records that an endpoint of a service did not respond.
    pub(crate) fn observe_failure(&self, service: &ServiceId, endpoint: &EndpointId) {
        self.paths()
            .observe_failure(service, endpoint, Instant::now());
    }

    /// Returns whether this router has lost its path to a service.
    pub(crate) fn is_severed(&self, service: &ServiceId) -> bool {
        self.paths().is_severed(service, Instant::now())
    }

    /// Returns the services to which this router has lost its path.
    pub(crate) fn severed_services(&self) -> BTreeSet<ServiceId> {
        let Some(config) = self.fleet.view().config else {
            return BTreeSet::new();
        };
        let services = config.services.keys();
        self.paths().severed_services(services, Instant::now())
    }

    /// Returns whether this router has lost its path to engines, so that it can give no orders.
    pub(crate) fn has_lost_engines(&self) -> bool {
        let severed = self.severed_services();
        severed.iter().any(|service| self.has_engines(service))
    }

    /// Returns whether a service serves models in groups.
    pub(crate) fn has_engines(&self, service: &ServiceId) -> bool {
        let config = self.fleet.view().config;
        let profile = config
            .as_ref()
            .and_then(|config| config.services.get(service));
        profile.is_some_and(|profile| profile.engine.is_some())
    }

    /// Returns whether more than half of the targets of a pool do not respond to this router.
    pub(crate) fn misses_most(&self, pool: &PoolKey) -> bool {
        let view = self.fleet.view();
        let targets = view.targets.pool(pool);
        let now = Instant::now();
        let avoided = self.avoided();
        let missed = targets
            .iter()
            .filter(|target| avoided.is_out_of_reach(target, now));
        2 * missed.count() > targets.len()
    }

    /// Locks and returns what this router has seen of its paths.
    pub(crate) fn paths(&self) -> MutexGuard<'_, PathMonitor> {
        self.paths.lock().expect("path lock")
    }

    /// Returns the fencing token under which orders may be sent now, if any.
    pub(crate) fn order_fence(&self) -> Option<Fence> {
        self.session
            .order_fence(self.backends.store.eras().newest())
    }

    /// Returns whether a request may be begun now, which ends by `deadline`.
    pub(crate) fn may_begin(&self, deadline: Instant) -> bool {
        let plan = self.stop_plan.get();
        plan.is_none_or(|plan| plan.may_begin(deadline, Instant::now()))
    }

    /// Returns whether the decisions for overloaded fleets are in force.
    fn handles_overload(&self) -> bool {
        match self.settings.overload_mode {
            OverloadMode::No => false,
            OverloadMode::Yes => true,
            OverloadMode::Uneven => self.is_fleet_uneven.load(Ordering::Relaxed),
        }
    }

    /// Returns whether requests are admitted by the load of the fleet.
    pub(crate) fn orders_waiting(&self) -> bool {
        self.settings.orders_waiting && self.handles_overload()
    }

    /// Returns whether targets are paced.
    pub(crate) fn paces_targets(&self) -> bool {
        self.settings.paces_targets && self.handles_overload()
    }

    /// Returns whether groups follow demand.
    pub(crate) fn follows_demand(&self) -> bool {
        self.settings.follows_demand && self.handles_overload()
    }

    /// Returns whether the process is shutting down.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_plan.get().is_some()
    }
}
