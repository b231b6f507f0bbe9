//! The lease that ensures that one placer is active in an availability zone.

use std::time::Duration;
use std::time::Instant;

use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::ZoneId;
use jujuberoad::membership::LeaseTerm;
use jujuberoad_node::backends::StoreError;
use spdlog::info;

use crate::placer_core::PlacerCore;
use crate::zone_error::ZoneError;

/// Duration of the lease without renewal.
const LEASE_TTL_MS: Milliseconds = 5_000;
/// Time before the end of the lease at which its holder stops acting on it.
const LEASE_MARGIN_MS: Milliseconds = 1_000;
/// Time within which the store must answer.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The lease on an availability zone, as held by this placer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneLease {
    id: u64,
    term: LeaseTerm,
}

impl ZoneLease {
    /// Tries to become the active placer of `zone`; returns `None` if another one is active.
    pub(crate) async fn acquire(
        core: &PlacerCore,
        zone: &ZoneId,
    ) -> Result<Option<Self>, ZoneError> {
        let store_error = |source| ZoneError::Store {
            zone: zone.clone(),
            step: "lease",
            source,
        };
        let key = format!("lease/placer/{zone}");
        let store = &core.store;
        let existing = store
            .get(&key, Instant::now() + STORE_TIMEOUT)
            .await
            .map_err(store_error)?;
        if existing.is_some() {
            return Ok(None);
        }
        let called_at = Instant::now();
        let id = store
            .open_lease(LEASE_TTL_MS, called_at + STORE_TIMEOUT)
            .await
            .map_err(store_error)?;
        let holder = core.settings.id.to_string().into();
        match store
            .put(&key, 0, holder, Some(id), Instant::now() + STORE_TIMEOUT)
            .await
        {
            Ok(_) => {
                info!("lease: zone={zone} holder={}", core.settings.id);
                let term = LeaseTerm::begin(LEASE_TTL_MS, LEASE_MARGIN_MS, called_at);
                Ok(Some(Self { id, term }))
            }
            Err(StoreError::Conflict { .. }) => Ok(None),
            Err(source) => Err(store_error(source)),
        }
    }

    /// Tells whether the holder may act on the lease at `now`.
    pub(crate) fn is_held(&self, now: Instant) -> bool {
        self.term.is_held(now)
    }

    /// Renews the lease if a renewal is due; fails if the lease has expired.
    pub(crate) async fn renew(
        &mut self,
        core: &PlacerCore,
        zone: &ZoneId,
    ) -> Result<(), ZoneError> {
        let called_at = Instant::now();
        if !self.term.is_renewal_due(called_at) {
            return Ok(());
        }
        let renewed = core
            .store
            .renew_lease(self.id, called_at + STORE_TIMEOUT)
            .await;
        renewed.map_err(|source| ZoneError::Store {
            zone: zone.clone(),
            step: "lease",
            source,
        })?;
        self.term.record_renewal(called_at);
        Ok(())
    }
}
