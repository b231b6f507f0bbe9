//! Removes routers whose leases have expired from the list of routers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::ids::RouterId;
use jujuberoad::ids::ZoneId;
use jujuberoad::membership::ROUTER_LEASE_MS;
use jujuberoad::membership::RouterList;
use jujuberoad_node::backends::StoreError;
use spdlog::info;

use crate::placer_core::PlacerCore;
use crate::zone_lease::STORE_TIMEOUT;

/// Interval between checks of the router leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Removes the expired routers of one availability zone from the list.
///
/// A router is removed only after its lease has been missing for the duration of
/// a lease, with no failed read in between. All leases expire during an outage
/// of the store, and this delay gives every router time to open a new one.
#[derive(Debug)]
pub(crate) struct RouterExpiry {
    next_check_at: Instant,
    missing_since: BTreeMap<RouterId, Instant>,
}

impl RouterExpiry {
    /// Creates the check; the first one is due at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            next_check_at: now,
            missing_since: BTreeMap::new(),
        }
    }

    /// Checks the leases if a check is due, and removes expired routers from the list.
    pub(crate) async fn run(&mut self, core: &PlacerCore, zone: &ZoneId) -> Result<(), StoreError> {
        let now = Instant::now();
        if now < self.next_check_at {
            return Ok(());
        }
        self.next_check_at = now + LEASE_CHECK_INTERVAL;
        let found = self.find_expired(core, zone, now).await;
        if found.is_err() {
            self.missing_since.clear();
        }
        let Some((list, version, expired)) = found? else {
            return Ok(());
        };
        let Some(updated) = list.without_routers(&expired, fastrand::u64(..)) else {
            return Ok(());
        };
        let value = serde_json::to_vec(&updated).unwrap_or_default().into();
        let deadline = Instant::now() + STORE_TIMEOUT;
        core.store
            .put("routers", version, value, None, deadline)
            .await?;
        info!("fold: zone={zone} epoch={} gone={expired:?}", updated.epoch);
        Ok(())
    }

    async fn find_expired(
        &mut self,
        core: &PlacerCore,
        zone: &ZoneId,
        now: Instant,
    ) -> Result<Option<(RouterList, u64, BTreeSet<RouterId>)>, StoreError> {
        let stored = core.store.get("routers", now + STORE_TIMEOUT).await?;
        let Some(stored) = stored else {
            return Ok(None);
        };
        let list: RouterList = serde_json::from_slice(&stored.bytes).unwrap_or_default();
        let lease_keys = core
            .store
            .list("lease/router/", Instant::now() + STORE_TIMEOUT)
            .await?;
        let mut expired = BTreeSet::new();
        for (router, entry) in &list.routers {
            let has_lease = lease_keys
                .iter()
                .any(|key| key.ends_with(&format!("/{router}")));
            if has_lease || entry.zone != *zone {
                self.missing_since.remove(router);
                continue;
            }
            let since = *self.missing_since.entry(router.clone()).or_insert(now);
            if now >= since + Duration::from_millis(ROUTER_LEASE_MS) {
                expired.insert(router.clone());
            }
        }
        let has_expired = !expired.is_empty();
        Ok(has_expired.then_some((list, stored.version, expired)))
    }
}
