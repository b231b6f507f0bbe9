//! Keeps this router's lease and its place on the agreed list.

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

/// Time within which the store must answer.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Attempts to leave the list before the lease is left to lapse.
const LEAVE_ATTEMPTS: usize = 5;

/// Keeps the lease alive and the list complete.
pub(crate) struct LeaseKeeper {
    core: Arc<RouterCore>,
    lease: Option<u64>,
}

impl LeaseKeeper {
    /// Starts to keep the lease.
    pub(crate) fn start(core: Arc<RouterCore>) {
        let keeper = Self { core, lease: None };
        runtime::spawn(keeper.run());
    }

    async fn run(mut self) {
        while !self.core.is_stopping() {
            let next = match self.keep().await {
                Ok(()) => Duration::from_millis(ROUTER_RENEW_MS),
                Err(problem) => {
                    warn!("lease: {problem}");
                    FAILURE_PAUSE
                }
            };
            smol::Timer::after(next).await;
        }
    }

    async fn keep(&mut self) -> Result<(), StoreError> {
        if let Some(lease) = self.lease {
            match self
                .core
                .store
                .renew_lease(lease, Instant::now() + CALL_LIMIT)
                .await
            {
                Ok(()) => {}
                Err(StoreError::LeaseExpired(_)) => self.lease = None,
                Err(problem) => return Err(problem),
            }
        }
        if self.lease.is_none() {
            self.open().await?;
        }
        change_list(&self.core, |list, entry, nonce| {
            list.with_router(entry, nonce)
        })
        .await
    }

    async fn open(&mut self) -> Result<(), StoreError> {
        let store = &self.core.store;
        let lease = store
            .open_lease(ROUTER_LEASE_MS, Instant::now() + CALL_LIMIT)
            .await?;
        let key = format!("lease/router/{}", self.core.settings.id);
        let held = store.get(&key, Instant::now() + CALL_LIMIT).await?;
        let expected = held.map_or(0, |held| held.version);
        let value = self.core.incarnation.to_string().into();
        let deadline = Instant::now() + CALL_LIMIT;
        store
            .put(&key, expected, value, Some(lease), deadline)
            .await?;
        self.lease = Some(lease);
        info!("lease: opened {key}");
        Ok(())
    }
}

/// Takes this router off the agreed list, so that its homes move at once.
pub(crate) async fn leave_list(core: &RouterCore) {
    let gone = BTreeSet::from([core.settings.id.clone()]);
    for _ in 0..LEAVE_ATTEMPTS {
        match change_list(core, |list, _, nonce| list.without_routers(&gone, nonce)).await {
            Ok(()) => return,
            Err(problem) => warn!("lease: leaving the list failed: {problem}"),
        }
        smol::Timer::after(FAILURE_PAUSE).await;
    }
}

/// Writes the list that `change` makes of the stored one, if it makes another.
async fn change_list(
    core: &RouterCore,
    change: impl Fn(&RouterList, &RouterEntry, u64) -> Option<RouterList>,
) -> Result<(), StoreError> {
    let key = ViewKey::Routers;
    let asked_at = Instant::now();
    let stored = core
        .store
        .get(&key.store_key(), asked_at + CALL_LIMIT)
        .await?;
    let version = stored.as_ref().map_or(0, |stored| stored.version);
    let list = stored.and_then(|stored| serde_json::from_slice(&stored.bytes).ok());
    let list: RouterList = list.unwrap_or_default();
    let Some(changed) = change(&list, &core.entry(), fastrand::u64(..)) else {
        return Ok(());
    };
    let value = serde_json::to_vec(&changed).unwrap_or_default().into();
    let deadline = Instant::now() + CALL_LIMIT;
    core.store
        .put(&key.store_key(), version, value, None, deadline)
        .await?;
    info!(
        "lease: list of routers epoch={} routers={}",
        changed.epoch,
        changed.routers.len()
    );
    Ok(())
}
