//! State shared by all tasks of a router.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use jujuberoad::ids::Incarnation;
use jujuberoad::membership::RouterEntry;
use jujuberoad_node::backends::BackendClock;
use jujuberoad_node::backends::DataPath;
use jujuberoad_node::backends::EngineControl;
use jujuberoad_node::backends::PlatformStore;
use jujuberoad_node::peer::PeerSocket;
use jujuberoad_node::runtime::MetricSink;
use jujuberoad_node::settings::NodeSettings;

use crate::claim_coordinator::ClaimCoordinator;
use crate::home_registry::HomeRegistry;
use crate::slot_scheduler::SlotScheduler;
use crate::view_cache::ViewCache;

/// Settings, external interfaces and state of one router.
pub(crate) struct RouterCore {
    pub(crate) settings: NodeSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) store: Arc<dyn PlatformStore>,
    pub(crate) engine_control: Arc<dyn EngineControl>,
    pub(crate) data_path: Arc<dyn DataPath>,
    pub(crate) clock: Arc<dyn BackendClock>,
    pub(crate) peers: Arc<PeerSocket>,
    pub(crate) metrics: MetricSink,
    pub(crate) view_cache: Arc<ViewCache>,
    pub(crate) scheduler: Arc<SlotScheduler>,
    pub(crate) homes: HomeRegistry,
    pub(crate) claims: ClaimCoordinator,
    pub(crate) stopping: AtomicBool,
}

impl RouterCore {
    /// Returns this router's entry for the router list.
    pub(crate) fn entry(&self) -> RouterEntry {
        RouterEntry {
            router: self.settings.id.clone(),
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
            peer: self.settings.peer,
            http: self.settings.http,
        }
    }

    /// Returns whether the router is shutting down.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}
