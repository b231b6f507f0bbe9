//! Puts the gateway together and runs it until it is told to stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_signal::Signal;
use async_signal::Signals;
use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::StreamExt;
use jujuberoad::fleet::LoadTable;
use jujuberoad::fleet::RetryAllowance;
use jujuberoad::fleet::RouterRoll;
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

use crate::belief_board::BeliefBoard;
use crate::caller_api::CallerApi;
use crate::gateway_core::GatewayCore;
use crate::gateway_error::GatewayError;
use crate::gateway_parts::GatewayParts;
use crate::gateway_settings::GatewaySettings;
use crate::lock_sink::LockSink;
use crate::metric_page::MetricPage;
use crate::metric_page::MetricsApi;
use crate::operator_sink::OperatorSink;
use crate::peer_exchange;
use crate::placer_loop;
use crate::readiness_api::ReadinessApi;
use crate::registry_sink::RegistrySink;
use crate::report_poll;
use crate::router_sink::RouterSink;
use crate::session_keeper;
use crate::session_keeper::Session;
use crate::silence_loop;
use crate::slot_queue::SlotQueue;
use crate::stall_board::StallBoard;
use crate::state_log;
use crate::store_watch;

/// Time within which a connection to an endpoint must be open; one round trip is
/// at most some milliseconds, and the shortest objective 120 ms.
const CONNECT_MS: u64 = 250;
/// Time for which a stopping router still accepts: the balancer notices after
/// two questions, one a second.
const LEAVE_ROTATION: Duration = Duration::from_millis(2_500);
/// Time before the end of the grace period by which the process ends itself.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Pause between two looks at the requests that are still open.
const DRAIN_PACE: Duration = Duration::from_millis(50);
/// Time within which a caller must have sent a head; idle connections count as
/// well, so it lies above the longest idle time that callers may use.
const HEAD_LIMITS: ServerLimits = ServerLimits {
    head_ms: 20_000,
    headers: 100,
    head_bytes: 64 << 10,
};

/// Runs a gateway until SIGTERM or SIGINT and its last request has ended.
pub async fn run_gateway(
    settings: GatewaySettings,
    parts: GatewayParts,
) -> Result<(), Report<GatewayError>> {
    let callers = listen(settings.callers, "callers").await?;
    let readiness = listen(settings.readiness, "readiness").await?;
    let peers = PeerSocket::bind(settings.id.clone(), settings.peers)
        .await
        .change_context(GatewayError::Listen {
            address: settings.peers,
            purpose: "peers",
        })?;
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .change_context(GatewayError::Signals)?;
    let core = build_core(settings, parts, peers);
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
    let (accepting, stop_callers) = StopSignal::new();
    let (serving, stop_all) = StopSignal::new();
    let api: Arc<dyn HttpHandler> = CallerApi::new(Arc::clone(&core));
    let server = HttpServer::new(callers, api).with_limits(HEAD_LIMITS);
    let open = server.open_connections();
    runtime::spawn(server.run(stop_callers));
    let api: Arc<dyn HttpHandler> = ReadinessApi::new(Arc::clone(&core));
    runtime::spawn(HttpServer::new(readiness, api).run(stop_all.clone()));
    serve_metrics(&core, stop_all).await;
    start_parts(&core);

    wait_for_stop(&core, signals).await;
    let asked_at = Instant::now();
    let grace_ends = asked_at + Duration::from_millis(core.settings.grace_ms) - GRACE_MARGIN;
    core.is_stopping.store(true, Ordering::Relaxed);
    core.log
        .write(LogKind::Stop, json!({"state": "leaving rotation"}));
    session_keeper::end(&core).await;
    Timer::at((asked_at + LEAVE_ROTATION).min(grace_ends)).await;
    drop(accepting);
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < grace_ends {
        Timer::after(DRAIN_PACE).await;
    }
    session_keeper::hand_over(&core).await;
    let left = open.load(Ordering::Relaxed);
    core.log.write(
        LogKind::Stop,
        json!({"state": "stopped", "connections_cut": left}),
    );
    drop(serving);
    // The log is written by a thread of its own; what it still holds gets out.
    spdlog::default_logger().flush();
    Ok(())
}

/// Serves metrics; callers are served also where that address is taken.
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
    parts: GatewayParts,
    peers: Arc<PeerSocket>,
) -> Arc<GatewayCore> {
    let allowance = RetryAllowance::new(
        settings.retry_window_ms,
        settings.retry_ratio,
        settings.retry_fixed,
    );
    let roll = RouterRoll::new(settings.id.clone(), settings.retry_window_ms);
    let log = DecisionLog::new(settings.id.clone());
    Arc::new(GatewayCore {
        settings,
        parts,
        board: BeliefBoard::default(),
        pool: HttpPool::with_connect_limit(CONNECT_MS),
        peers,
        peer_addresses: Mutex::default(),
        loads: Mutex::new(LoadTable::default()),
        first_events: Mutex::default(),
        returns: Mutex::default(),
        allowance: Mutex::new(allowance),
        cold_gate: Mutex::default(),
        roll: Mutex::new(roll),
        store_breaker: Mutex::default(),
        avoided: Mutex::default(),
        stalls: StallBoard::default(),
        queue: SlotQueue::default(),
        session: Session::default(),
        log,
        metrics: MetricPage::default(),
        is_stopping: false.into(),
        is_placer: false.into(),
        is_mending: false.into(),
        is_registry_lost: false.into(),
        has_traffic: false.into(),
    })
}

fn start_parts(core: &Arc<GatewayCore>) {
    let dialect = &core.parts.dialect;
    let operator = OperatorSink {
        prefix: dialect.operator_prefix().to_owned(),
    };
    let registry = RegistrySink::new(dialect.registry_prefix().to_owned());
    store_watch::follow(Arc::clone(core), operator);
    store_watch::follow(Arc::clone(core), registry);
    store_watch::follow(Arc::clone(core), LockSink);
    store_watch::follow(Arc::clone(core), RouterSink);
    session_keeper::start(Arc::clone(core));
    placer_loop::start(Arc::clone(core));
    silence_loop::start(Arc::clone(core));
    peer_exchange::start(Arc::clone(core));
    report_poll::start(Arc::clone(core));
    state_log::start(Arc::clone(core));
}

/// Waits for SIGTERM or SIGINT; SIGHUP is noted, as all settings bind at start.
async fn wait_for_stop(core: &GatewayCore, mut signals: Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => core.log.write(
                LogKind::Reload,
                json!({"outcome": "nothing to do", "reason": "settings are read at start"}),
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
