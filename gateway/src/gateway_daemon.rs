//! Builds the gateway and runs it until a stop signal arrives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_signal::Signal;
use async_signal::Signals;
use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::StreamExt;
use jujuberoad::fleet::LoadTable;
use jujuberoad::fleet::QuotaDivider;
use jujuberoad::fleet::RetryAllowance;
use jujuberoad_node::http::HttpHandler;
use jujuberoad_node::http::HttpPool;
use jujuberoad_node::http::HttpServer;
use jujuberoad_node::http::ServerLimits;
use jujuberoad_node::peer::PeerSocket;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::DecisionLog;
use jujuberoad_node::runtime::LogKind;
use jujuberoad_node::runtime::StopSignal;
use serde_json::json;
use smol::Timer;
use smol::net::TcpListener;

use crate::caller_api::CallerApi;
use crate::caller_memory::CallerMemory;
use crate::digest_exchange::DigestExchange;
use crate::era_watch;
use crate::fleet_cache::FleetCache;
use crate::gateway_backends::GatewayBackends;
use crate::gateway_core::GatewayCore;
use crate::gateway_error::GatewayError;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_metrics::MetricsApi;
use crate::gateway_settings::GatewaySettings;
use crate::limit_watch;
use crate::lock_sink::LockSink;
use crate::operator_sink::OperatorSink;
use crate::outage_clock::OutageClock;
use crate::path_watch;
use crate::peer_exchange;
use crate::placer_loop;
use crate::poison_guard;
use crate::poison_guard::PoisonGuard;
use crate::pool_board::PoolBoard;
use crate::readiness_api::ReadinessApi;
use crate::registry_sink::RegistrySink;
use crate::relay_api::RelayApi;
use crate::report_poll;
use crate::router_sink::RouterSink;
use crate::slot_queue::SlotQueue;
use crate::stall_monitor::StallMonitor;
use crate::stall_probe;
use crate::state_log;
use crate::stop_plan::StopPlan;
use crate::store_session;
use crate::store_session::StoreSession;
use crate::store_watch;
use crate::version_notes::VersionNotes;

/// Timeout for connecting to an endpoint. A round trip takes a few milliseconds at
/// most, and the shortest latency objective is 120 ms.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Interval at which a stopping router checks for open connections.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which callers and endpoints may leave sent data unread. Sound ones pause for
/// seconds; the end of a request is bounded by its own deadline.
const UNREAD_DATA_MS: u64 = 10_000;
/// Limits for callers. The head timeout also closes idle connections, so it
/// exceeds the longest idle time that callers may use.
const CALLER_LIMITS: ServerLimits = ServerLimits {
    head_timeout_ms: 20_000,
    max_headers: 100,
    max_head_bytes: 64 << 10,
    unacknowledged_ms: UNREAD_DATA_MS,
};

/// Runs a gateway until SIGTERM or SIGINT, then drains its connections within the
/// grace period.
pub async fn run_gateway(
    settings: GatewaySettings,
    backends: GatewayBackends,
) -> Result<(), Report<GatewayError>> {
    let callers = listen(settings.callers, "callers").await?;
    let readiness = listen(settings.readiness, "readiness").await?;
    let relays = listen(settings.peers, "relayed requests").await?;
    let peers = PeerSocket::bind(settings.id.clone(), settings.peers)
        .await
        .change_context(GatewayError::Listen {
            address: settings.peers,
            purpose: "peers",
        })?;
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .change_context(GatewayError::Signals)?;
    let core = build_core(settings, backends, peers);
    let settings = &core.settings;
    core.log.write(
        LogKind::Start,
        json!({
            "id": settings.id,
            "zone": settings.zone,
            "callers": settings.callers.to_string(),
            "store": settings.store.to_string(),
            "first_start": settings.is_first_start,
            "version": env!("CARGO_PKG_VERSION"),
        }),
    );
    let (caller_stop_guard, stop_callers) = StopSignal::new();
    let (all_stop_guard, stop_all) = StopSignal::new();
    let api = CallerApi::new(Arc::clone(&core));
    let relay_api: Arc<dyn HttpHandler> = RelayApi::new(Arc::clone(&core), Arc::clone(&api));
    let relay_server = HttpServer::new(relays, relay_api).with_limits(CALLER_LIMITS);
    let server = HttpServer::new(callers, api)
        .with_limits(CALLER_LIMITS)
        .with_bound(Arc::clone(&core.caller_memory.connections));
    let open = [server.open_connections(), relay_server.open_connections()];
    let count_open = || -> usize { open.iter().map(|open| open.load(Ordering::Relaxed)).sum() };
    runtime::spawn(server.run(stop_callers.clone()));
    runtime::spawn(relay_server.run(stop_callers));
    let api: Arc<dyn HttpHandler> = ReadinessApi::new(Arc::clone(&core));
    runtime::spawn(HttpServer::new(readiness, api).run(stop_all.clone()));
    serve_metrics(&core, stop_all).await;
    start_tasks(&core);

    wait_for_stop(&core, signals).await;
    let grace = Duration::from_millis(core.settings.grace_ms);
    let plan = StopPlan::new(Instant::now(), grace);
    core.stop_plan.get_or_init(|| plan);
    core.log
        .write(LogKind::Stop, json!({"state": "leaving rotation"}));
    store_session::end(&core).await;
    Timer::at(plan.leaves_at).await;
    drop(caller_stop_guard);
    while count_open() > 0 && Instant::now() < plan.exits_at {
        Timer::after(DRAIN_CHECK_INTERVAL).await;
    }
    store_session::hand_over(&core).await;
    let left = count_open();
    core.log.write(
        LogKind::Stop,
        json!({"state": "stopped", "connections_cut": left}),
    );
    drop(all_stop_guard);
    // A separate thread writes the log; flush what it has buffered.
    spdlog::default_logger().flush();
    Ok(())
}

/// Serves metrics; if the address cannot be bound, the gateway runs without them.
async fn serve_metrics(core: &Arc<GatewayCore>, stop: StopSignal) {
    match listen(core.settings.metrics, "metrics").await {
        Ok(listener) => {
            let api: Arc<dyn HttpHandler> = MetricsApi::new(Arc::clone(core));
            runtime::spawn(HttpServer::new(listener, api).run(stop));
        }
        Err(report) => {
            let reason = format!("{report:?}");
            core.log.write(
                LogKind::Dependency,
                json!({"on": "metrics address", "reason": reason}),
            );
        }
    }
}

async fn listen(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<TcpListener, Report<GatewayError>> {
    TcpListener::bind(address)
        .await
        .change_context(GatewayError::Listen { address, purpose })
}

fn build_core(
    settings: GatewaySettings,
    backends: GatewayBackends,
    peers: Arc<PeerSocket>,
) -> Arc<GatewayCore> {
    let retry_budget = RetryAllowance::new(
        settings.retry_window_ms,
        settings.retry_ratio,
        settings.retry_fixed,
    );
    let quota_divider = QuotaDivider::new(settings.id.clone(), settings.retry_window_ms);
    let digests = DigestExchange::new(&settings);
    let log = DecisionLog::new(settings.id.clone());
    let caller_memory = CallerMemory::new(&settings);
    Arc::new(GatewayCore {
        caller_memory,
        settings,
        backends,
        fleet: FleetCache::default(),
        pool: HttpPool::with_timeouts(CONNECT_TIMEOUT_MS, UNREAD_DATA_MS),
        peers,
        peer_addresses: Mutex::default(),
        relay_buffer: Mutex::default(),
        models_without_room: Mutex::default(),
        unconfirmed_routers: Mutex::default(),
        loads: Mutex::new(LoadTable::default()),
        digests,
        paces: Mutex::default(),
        version_notes: VersionNotes::default(),
        first_events: Mutex::default(),
        caller_retries: Mutex::default(),
        retry_budget: Mutex::new(retry_budget),
        pacer: Mutex::default(),
        quota_divider: Mutex::new(quota_divider),
        limits: Mutex::default(),
        limit_outbox: Mutex::default(),
        store_breaker: Mutex::default(),
        store_outages: OutageClock::default(),
        store_hearsay: Default::default(),
        avoided: Mutex::default(),
        paths: Mutex::default(),
        relays: Mutex::default(),
        stalls: StallMonitor::default(),
        poison: PoisonGuard::default(),
        queue: SlotQueue::default(),
        pool_activity: PoolBoard::default(),
        session: StoreSession::default(),
        log,
        metrics: GatewayMetrics::default(),
        stop_plan: OnceLock::new(),
        is_placer: false.into(),
        is_forming_groups: false.into(),
        is_registry_unavailable: false.into(),
        is_fleet_uneven: false.into(),
        has_traffic: false.into(),
    })
}

fn start_tasks(core: &Arc<GatewayCore>) {
    let dialect = &core.backends.dialect;
    let operator = OperatorSink {
        prefix: dialect.operator_prefix().to_owned(),
    };
    let registry = RegistrySink::new(dialect.registry_prefix().to_owned());
    store_watch::follow(Arc::clone(core), operator);
    store_watch::follow(Arc::clone(core), registry);
    store_watch::follow(Arc::clone(core), LockSink);
    store_watch::follow(Arc::clone(core), RouterSink);
    store_session::start(Arc::clone(core));
    era_watch::start(Arc::clone(core));
    placer_loop::start(Arc::clone(core));
    stall_probe::start(Arc::clone(core));
    peer_exchange::start(Arc::clone(core));
    path_watch::start(Arc::clone(core));
    poison_guard::start(Arc::clone(core));
    limit_watch::start(Arc::clone(core));
    report_poll::start(Arc::clone(core));
    state_log::start(Arc::clone(core));
}

/// Waits for SIGTERM or SIGINT. SIGHUP is only logged, because settings are read at
/// startup.
async fn wait_for_stop(core: &GatewayCore, mut signals: Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => core.log.write(
                LogKind::Reload,
                json!({"outcome": "nothing to do", "reason": "settings are read only at startup"}),
            ),
            Ok(_) => return,
            Err(error) => {
                let reason = error.to_string();
                core.log.write(
                    LogKind::Dependency,
                    json!({"on": "signals", "reason": reason}),
                );
            }
        }
    }
}
