//! Startup and shutdown of a router.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use jujuberoad::routing::PrefixChooser;
use jujuberoad_node::backends::HttpDataPath;
use jujuberoad_node::backends::HttpEngineControl;
use jujuberoad_node::backends::HttpPlatformStore;
use jujuberoad_node::backends::SystemClock;
use jujuberoad_node::http::HttpPool;
use jujuberoad_node::http::HttpServer;
use jujuberoad_node::peer::PeerSocket;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::MetricSink;
use jujuberoad_node::runtime::StopSignal;
use jujuberoad_node::settings::NodeSettings;
use smol::channel;
use smol::net::TcpListener;
use spdlog::info;

use crate::caller_api::CallerApi;
use crate::claim_coordinator::ClaimCoordinator;
use crate::home_registry::HomeRegistry;
use crate::lease_keeper;
use crate::lease_keeper::LeaseKeeper;
use crate::outage_detector::OutageDetector;
use crate::peer_responder::PeerResponder;
use crate::report_poller;
use crate::router_core::RouterCore;
use crate::slot_requester;
use crate::slot_scheduler::SlotScheduler;
use crate::view_cache::ViewCache;
use crate::view_updater::ViewUpdater;

/// Time for which a stopping router still accepts connections after its readiness
/// check fails, so that the platform's load balancer can remove it first.
const READINESS_GRACE: Duration = Duration::from_millis(2_000);
/// Maximum time to wait for open connections to finish during shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(300);
/// Interval at which the number of open connections is checked during shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An error at startup, or while waiting for the stop signal.
#[derive(Clone, Debug, thiserror::Error)]
#[error("router {router}: {step} failed")]
pub struct StartError {
    router: String,
    step: &'static str,
}

/// A router process.
pub struct RouterDaemon {
    settings: NodeSettings,
}

impl RouterDaemon {
    /// Creates a router with `settings`; `run` starts it.
    pub fn new(settings: NodeSettings) -> Self {
        Self { settings }
    }

    /// Runs the router until SIGTERM, then until its open connections have finished
    /// or `DRAIN_TIMEOUT` has passed.
    pub async fn run(self) -> Result<(), Report<StartError>> {
        let fail = |step| StartError {
            router: self.settings.id.to_string(),
            step,
        };
        let listener = TcpListener::bind(self.settings.http)
            .await
            .change_context_lazy(|| fail("listening for callers"))?;
        let peers = PeerSocket::bind(self.settings.id.clone(), self.settings.peer)
            .await
            .change_context_lazy(|| fail("listening for peers"))?;
        let metrics = MetricSink::open("jujube.router", self.settings.statsd)
            .change_context_lazy(|| fail("opening the metrics sink"))?;
        let (shortage_sender, shortage) = channel::bounded(1);
        let core = build_core(self.settings.clone(), peers, metrics, shortage_sender);
        let (trigger, stop) = StopSignal::new();
        let server = HttpServer::new(listener, CallerApi::new(Arc::clone(&core)));
        let open_connections = server.open_connections();
        runtime::spawn(server.run(stop));
        start_tasks(&core, shortage);
        info!(
            "start: router={} http={}",
            core.settings.id, core.settings.http
        );
        StopSignal::wait_for_termination()
            .await
            .change_context_lazy(|| fail("waiting for signals"))?;

        info!(
            "stop: router={} waiting for requests in progress",
            core.settings.id
        );
        core.stopping.store(true, Ordering::Relaxed);
        smol::Timer::after(READINESS_GRACE).await;
        lease_keeper::leave_list(&core).await;
        drop(trigger);
        let drain_deadline = Instant::now() + DRAIN_TIMEOUT;
        while open_connections.load(Ordering::Relaxed) > 0 && Instant::now() < drain_deadline {
            smol::Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        info!("stop: router={} stopped", core.settings.id);
        Ok(())
    }
}

fn build_core(
    settings: NodeSettings,
    peers: Arc<PeerSocket>,
    metrics: MetricSink,
    shortage: channel::Sender<()>,
) -> Arc<RouterCore> {
    let pool = HttpPool::new();
    let view_cache = Arc::new(ViewCache::default());
    let incarnation = fastrand::u64(..);
    let scheduler = SlotScheduler::new(
        settings.id.clone(),
        settings.zone.clone(),
        incarnation,
        Arc::clone(&view_cache),
        Box::new(PrefixChooser),
        shortage,
    );
    Arc::new(RouterCore {
        incarnation,
        store: Arc::new(HttpPlatformStore::new(HttpPool::new(), settings.platform)),
        engine_control: Arc::new(HttpEngineControl::new(HttpPool::for_control())),
        data_path: Arc::new(HttpDataPath::new(pool)),
        clock: Arc::new(SystemClock),
        peers,
        metrics,
        view_cache,
        scheduler,
        homes: HomeRegistry::default(),
        claims: ClaimCoordinator::default(),
        stopping: AtomicBool::new(false),
        settings,
    })
}

fn start_tasks(core: &Arc<RouterCore>, shortage: channel::Receiver<()>) {
    let responder = PeerResponder::new(Arc::clone(core));
    runtime::spawn(Arc::clone(&core.peers).run(responder));
    ViewUpdater::start(Arc::clone(core));
    OutageDetector::start(Arc::clone(core));
    LeaseKeeper::start(Arc::clone(core));
    report_poller::start(Arc::clone(core));
    slot_requester::start(Arc::clone(core), shortage);
}
