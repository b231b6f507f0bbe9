//! Builds a placer from its settings and runs it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::FutureExt;
use jujuberoad::config::ConfigRecord;
use jujuberoad::config::FleetConfig;
use jujuberoad::ids::StoreVersion;
use jujuberoad::membership::RouterList;
use jujuberoad::placement::DomainPlanner;
use jujuberoad_node::backends::HttpEngineControl;
use jujuberoad_node::backends::HttpPlatformStore;
use jujuberoad_node::backends::HttpVmDirectory;
use jujuberoad_node::http::HttpPool;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::MetricSink;
use jujuberoad_node::runtime::StopSignal;
use jujuberoad_node::settings::NodeSettings;
use serde::de::DeserializeOwned;
use spdlog::info;
use spdlog::warn;

use crate::placer_core::PlacerCore;
use crate::zone_lease::STORE_TIMEOUT;
use crate::zone_placer::ZonePlacer;

/// Interval between reads of the configuration until it names a zone.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between reads of the configuration after that.
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Failure to start a placer or to wait for its termination.
#[derive(Clone, Debug, thiserror::Error)]
#[error("placer {placer}: {step} failed")]
pub struct StartError {
    placer: String,
    step: &'static str,
}

/// A placer with its settings.
pub struct PlacerDaemon {
    settings: NodeSettings,
}

impl PlacerDaemon {
    /// Creates a placer, which does nothing until `run`.
    pub fn new(settings: NodeSettings) -> Self {
        Self { settings }
    }

    /// Runs the placer until the process is asked to terminate.
    pub async fn run(self) -> Result<(), Report<StartError>> {
        let placer = self.settings.id.to_string();
        let start_error = |step| StartError {
            placer: placer.clone(),
            step,
        };
        let metrics = MetricSink::open("jujube.placer", self.settings.statsd)
            .change_context_lazy(|| start_error("opening the metrics sink"))?;
        let pool = HttpPool::new();
        let platform = self.settings.platform;
        let core = Arc::new(PlacerCore {
            store: Arc::new(HttpPlatformStore::new(Arc::clone(&pool), platform)),
            directory: Arc::new(HttpVmDirectory::new(pool, platform)),
            control: Arc::new(HttpEngineControl::new(HttpPool::for_control())),
            planner: Box::new(DomainPlanner),
            metrics,
            list: Mutex::default(),
            settings: self.settings,
        });
        info!("start: placer={placer}");
        let terminated = async { StopSignal::wait_for_termination().await };
        let running = async {
            run_zone_placers(core).await;
            Ok(())
        };
        terminated
            .or(running)
            .await
            .change_context_lazy(|| start_error("waiting for signals"))?;
        info!("stop: placer={placer}");
        Ok(())
    }
}

/// Polls the configuration and the list of routers, and starts a `ZonePlacer`
/// for each availability zone that the configuration names.
async fn run_zone_placers(core: Arc<PlacerCore>) {
    let mut started = BTreeSet::new();
    let (mut config_version, mut list_version) = (0, 0);
    loop {
        if let Some(config) =
            read_if_changed::<ConfigRecord>(&core, "config", &mut config_version).await
            && let Ok(config) = FleetConfig::parse(&config.files)
        {
            for zone in config.zones.keys() {
                if started.insert(zone.clone()) {
                    runtime::spawn(ZonePlacer::new(Arc::clone(&core), zone.clone()).run());
                }
            }
        }
        if let Some(list) = read_if_changed::<RouterList>(&core, "routers", &mut list_version).await
        {
            *core.list.lock().expect("list lock") = list;
        }
        let period = if started.is_empty() {
            STARTUP_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        smol::Timer::after(period).await;
    }
}

/// Reads a record if its version differs from `version`, which is then updated.
///
/// Returns `None` if the record is unchanged, unreadable or cannot be decoded.
async fn read_if_changed<T: DeserializeOwned>(
    core: &PlacerCore,
    key: &str,
    version: &mut StoreVersion,
) -> Option<T> {
    let deadline = Instant::now() + STORE_TIMEOUT / 4;
    match core.store.watch(key, *version, deadline).await {
        Ok(Some(stored)) => {
            *version = stored.version;
            serde_json::from_slice(&stored.bytes).ok()
        }
        Ok(None) => None,
        Err(problem) => {
            warn!("watch: reading record {key:?} failed: {problem}");
            None
        }
    }
}
