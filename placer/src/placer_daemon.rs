//! Puts a placer together and runs it.

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
use crate::zone_lease::STORE_LIMIT;
use crate::zone_placer::ZonePlacer;

/// Time between two looks at the records before there is a configuration.
const START_PERIOD: Duration = Duration::from_millis(1_000);
/// Time between two looks at the records after that.
const FOLLOW_PERIOD: Duration = Duration::from_secs(10);

/// A step at which a placer could not start.
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
    /// Prepares a placer.
    pub fn new(settings: NodeSettings) -> Self {
        Self { settings }
    }

    /// Runs the placer until it is asked to end.
    pub async fn run(self) -> Result<(), Report<StartError>> {
        let placer = self.settings.id.to_string();
        let fail = |step| StartError {
            placer: placer.clone(),
            step,
        };
        let metrics = MetricSink::open("jujube.placer", self.settings.statsd)
            .change_context_lazy(|| fail("opening the metrics sink"))?;
        let pool = HttpPool::new();
        let platform = self.settings.platform;
        let core = Arc::new(PlacerCore {
            store: Arc::new(HttpPlatformStore::new(Arc::clone(&pool), platform)),
            directory: Arc::new(HttpVmDirectory::new(pool, platform)),
            control: Arc::new(HttpEngineControl::new(HttpPool::new())),
            planner: Box::new(DomainPlanner),
            metrics,
            list: Mutex::default(),
            settings: self.settings,
        });
        info!("start: placer={placer}");
        let ended = async { StopSignal::wait_for_termination().await };
        let worked = async {
            place_for_ever(core).await;
            Ok(())
        };
        ended
            .or(worked)
            .await
            .change_context_lazy(|| fail("waiting for signals"))?;
        info!("stop: placer={placer}");
        Ok(())
    }
}

/// Follows the configuration and the list of routers, and starts a placer for
/// each availability zone that the configuration names.
async fn place_for_ever(core: Arc<PlacerCore>) {
    let mut started = BTreeSet::new();
    let (mut config_version, mut list_version) = (0, 0);
    loop {
        if let Some(config) = read_new::<ConfigRecord>(&core, "config", &mut config_version).await
            && let Ok(config) = FleetConfig::parse(&config.files)
        {
            for zone in config.zones.keys() {
                if started.insert(zone.clone()) {
                    runtime::spawn(ZonePlacer::new(Arc::clone(&core), zone.clone()).run());
                }
            }
        }
        if let Some(list) = read_new::<RouterList>(&core, "routers", &mut list_version).await {
            *core.list.lock().expect("list lock") = list;
        }
        let period = if started.is_empty() {
            START_PERIOD
        } else {
            FOLLOW_PERIOD
        };
        smol::Timer::after(period).await;
    }
}

/// Reads a record if its version is not the known one.
async fn read_new<T: DeserializeOwned>(
    core: &PlacerCore,
    key: &str,
    version: &mut StoreVersion,
) -> Option<T> {
    let deadline = Instant::now() + STORE_LIMIT / 4;
    match core.store.watch(key, *version, deadline).await {
        Ok(Some(stored)) => {
            *version = stored.version;
            serde_json::from_slice(&stored.bytes).ok()
        }
        Ok(None) => None,
        Err(problem) => {
            warn!("start: {key}: {problem}");
            None
        }
    }
}
