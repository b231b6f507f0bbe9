//! Puts a placer together and runs it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::FutureExt;
use jujuberoad::config::ConfigRecord;
use jujuberoad::config::FleetConfig;
use jujuberoad::placement::DomainPlanner;
use jujuberoad_node::backends::HttpEngineControl;
use jujuberoad_node::backends::HttpPlatformStore;
use jujuberoad_node::backends::HttpVmDirectory;
use jujuberoad_node::http::HttpPool;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::MetricSink;
use jujuberoad_node::runtime::StopSignal;
use jujuberoad_node::settings::NodeSettings;
use spdlog::info;
use spdlog::warn;

use crate::placer_core::PlacerCore;
use crate::zone_lease::STORE_LIMIT;
use crate::zone_placer::ZonePlacer;

/// Time between two looks for new availability zones.
const ZONE_PERIOD: Duration = Duration::from_millis(1_000);

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
            settings: self.settings,
        });
        info!("start: placer={placer}");
        let ended = async { StopSignal::terminated().await };
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

/// Starts a placer for each availability zone that the configuration names.
async fn place_for_ever(core: Arc<PlacerCore>) {
    let mut started = BTreeSet::new();
    loop {
        match core.store.get("config", Instant::now() + STORE_LIMIT).await {
            Ok(Some(stored)) => {
                let record = serde_json::from_slice::<ConfigRecord>(&stored.bytes);
                let config = record
                    .ok()
                    .and_then(|record| FleetConfig::parse(&record.files).ok());
                for zone in config.iter().flat_map(|config| config.zones.keys()) {
                    if started.insert(zone.clone()) {
                        runtime::spawn(ZonePlacer::new(Arc::clone(&core), zone.clone()).run());
                    }
                }
            }
            Ok(None) => {}
            Err(problem) => warn!("start: configuration: {problem}"),
        }
        smol::Timer::after(ZONE_PERIOD).await;
    }
}
