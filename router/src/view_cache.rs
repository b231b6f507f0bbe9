//! Caches the newest view and tracks whether it is fresh.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::time::Instant;

use jujuberoad::config::ConfigRecord;
use jujuberoad::config::FleetConfig;
use jujuberoad::membership::RouterList;
use jujuberoad::membership::ViewGuard;
use jujuberoad::membership::ViewKey;
use jujuberoad::placement::PlacementRecord;
use jujuberoad_node::backends::StoredValue;
use spdlog::error;
use spdlog::info;

use crate::router_view::RouterView;

/// The view shared by all tasks of a router, and its freshness.
#[derive(Default)]
pub(crate) struct ViewCache {
    view: RwLock<Arc<RouterView>>,
    guard: Mutex<ViewGuard>,
}

/// A record that cannot be parsed, or that is older than the held one.
#[derive(Debug, thiserror::Error)]
#[error("record {key:?} version {version}: {message}")]
struct RecordError {
    key: ViewKey,
    version: u64,
    message: String,
}

impl ViewCache {
    /// Returns the newest view.
    pub(crate) fn view(&self) -> Arc<RouterView> {
        Arc::clone(&self.view.read().expect("view lock"))
    }

    /// Calls `use_guard` with the guard locked.
    pub(crate) fn with_guard<T>(&self, use_guard: impl FnOnce(&mut ViewGuard) -> T) -> T {
        use_guard(&mut self.guard.lock().expect("guard lock"))
    }

    /// Returns whether work that depends on all `keys` may start at `now`.
    pub(crate) fn is_fresh(&self, keys: &[ViewKey], now: Instant) -> bool {
        self.with_guard(|guard| keys.iter().all(|key| guard.is_fresh(key, now)))
    }

    /// Installs a record requested at `requested_at`.
    ///
    /// An invalid record is rejected and not confirmed, so that the view becomes
    /// stale and the router stops starting work rather than using the outdated
    /// record.
    pub(crate) fn install(&self, key: &ViewKey, stored: &StoredValue, requested_at: Instant) {
        let mut view = self.view.write().expect("view lock");
        let mut guard = self.guard.lock().expect("guard lock");
        if stored.version > guard.held_versions().get(key) {
            match updated_view(&view, key, stored) {
                Ok(updated) => *view = Arc::new(updated),
                Err(problem) => {
                    error!("view: {problem}");
                    return;
                }
            }
            guard.accept(key, stored.version);
            info!(
                "view: key={key:?} version={} revision={}",
                stored.version, view.revision
            );
        }
        guard.confirm(key, stored.version, requested_at);
    }
}

fn updated_view(
    view: &RouterView,
    key: &ViewKey,
    stored: &StoredValue,
) -> Result<RouterView, RecordError> {
    let fail = |message: String| RecordError {
        key: key.clone(),
        version: stored.version,
        message,
    };
    let mut view = view.clone();
    match key {
        ViewKey::Config => {
            let record: ConfigRecord =
                serde_json::from_slice(&stored.bytes).map_err(|error| fail(error.to_string()))?;
            let config = FleetConfig::parse(&record.files).map_err(|problems| {
                fail(format!(
                    "invalid configuration: {} problems",
                    problems.len()
                ))
            })?;
            if record.revision < view.revision {
                return Err(fail(format!(
                    "older than the installed revision {}",
                    view.revision
                )));
            }
            view.revision = record.revision;
            view.config = Some(config);
        }
        ViewKey::Routers => {
            let list: RouterList =
                serde_json::from_slice(&stored.bytes).map_err(|error| fail(error.to_string()))?;
            if list.epoch < view.list.epoch {
                return Err(fail(format!(
                    "older than the installed epoch {}",
                    view.list.epoch
                )));
            }
            view.list = list;
        }
        ViewKey::Placement(zone) => {
            let record: PlacementRecord =
                serde_json::from_slice(&stored.bytes).map_err(|error| fail(error.to_string()))?;
            view.placements.insert(zone.clone(), record);
        }
    }
    view.rebuild();
    Ok(view)
}
