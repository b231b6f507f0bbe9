//! Renews this router's lease and keeps it on the router list.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::membership::ROUTER_LEASE_MS;
use jujuberoad::membership::ROUTER_RENEW_MS;
use jujuberoad::membership::RouterEntry;
use jujuberoad::membership::RouterList;
use jujuberoad::membership::ViewKey;
use jujuberoad_node::backends::StoreError;
use jujuberoad_node::runtime;
use spdlog::info;
use spdlog::warn;

use crate::router_core::RouterCore;

/// Timeout of one call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before retrying after a failed call.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Attempts to remove the router from the list before its lease is left to expire.
const MAX_LEAVE_ATTEMPTS: usize = 5;

/// Keeps the lease alive and this router's entry on the router list current.
pub(crate) struct LeaseKeeper {
    core: Arc<RouterCore>,
    lease: Option<u64>,
}

impl LeaseKeeper {
    /// Starts the renewal task.
    pub(crate) fn start(core: Arc<RouterCore>) {
        let keeper = Self { core, lease: None };
        runtime::spawn(keeper.run());
    }

    async fn run(mut self) {
        while !self.core.is_stopping() {
            let delay = match self.maintain().await {
                Ok(()) => Duration::from_millis(ROUTER_RENEW_MS),
                Err(problem) => {
                    warn!("lease: {problem}");
                    FAILURE_RETRY_DELAY
                }
            };
            smol::Timer::after(delay).await;
        }
    }

    /// Renews or acquires the lease and adds this router to the list if it is missing.
    async fn maintain(&mut self) -> Result<(), StoreError> {
        if let Some(lease) = self.lease {
            match self
                .core
                .store
                .renew_lease(lease, Instant::now() + STORE_TIMEOUT)
                .await
            {
                Ok(()) => {}
                Err(StoreError::LeaseExpired(_)) => self.lease = None,
                Err(problem) => return Err(problem),
            }
        }
        if self.lease.is_none() {
            self.acquire_lease().await?;
        }
        update_list(&self.core, |list, entry, nonce| {
            list.with_router(entry, nonce)
        })
        .await
    }

    async fn acquire_lease(&mut self) -> Result<(), StoreError> {
        let store = &self.core.store;
        let lease = store
            .open_lease(ROUTER_LEASE_MS, Instant::now() + STORE_TIMEOUT)
            .await?;
        let key = format!("lease/router/{}", self.core.settings.id);
        let current = store.get(&key, Instant::now() + STORE_TIMEOUT).await?;
        let expected = current.map_or(0, |current| current.version);
        let value = self.core.incarnation.to_string().into();
        let deadline = Instant::now() + STORE_TIMEOUT;
        store
            .put(&key, expected, value, Some(lease), deadline)
            .await?;
        self.lease = Some(lease);
        info!("lease: acquired {key}");
        Ok(())
    }
}

/// Removes this router from the list, so that its targets and claim shards move to
/// other homes immediately rather than when the lease expires.
pub(crate) async fn leave_list(core: &RouterCore) {
    let removed = BTreeSet::from([core.settings.id.clone()]);
    for _ in 0..MAX_LEAVE_ATTEMPTS {
        match update_list(core, |list, _, nonce| list.without_routers(&removed, nonce)).await {
            Ok(()) => return,
            Err(problem) => warn!("lease: failed to leave the router list: {problem}"),
        }
        smol::Timer::after(FAILURE_RETRY_DELAY).await;
    }
}

/// Replaces the stored router list by the result of `update`, if there is one.
///
/// The write fails if the stored list has changed since it was read.
async fn update_list(
    core: &RouterCore,
    update: impl Fn(&RouterList, &RouterEntry, u64) -> Option<RouterList>,
) -> Result<(), StoreError> {
    let key = ViewKey::Routers;
    let requested_at = Instant::now();
    let stored = core
        .store
        .get(&key.store_key(), requested_at + STORE_TIMEOUT)
        .await?;
    let version = stored.as_ref().map_or(0, |stored| stored.version);
    let list = stored.and_then(|stored| serde_json::from_slice(&stored.bytes).ok());
    let list: RouterList = list.unwrap_or_default();
    let Some(updated) = update(&list, &core.entry(), fastrand::u64(..)) else {
        return Ok(());
    };
    let value = serde_json::to_vec(&updated).unwrap_or_default().into();
    let deadline = Instant::now() + STORE_TIMEOUT;
    core.store
        .put(&key.store_key(), version, value, None, deadline)
        .await?;
    info!(
        "lease: updated router list epoch={} routers={}",
        updated.epoch,
        updated.routers.len()
    );
    Ok(())
}
