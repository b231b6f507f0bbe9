//! Reads the inputs of placement for one availability zone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use jujuberoad::config::ConfigRecord;
use jujuberoad::config::FleetConfig;
use jujuberoad::ids::StoreVersion;
use jujuberoad::ids::VmId;
use jujuberoad::ids::ZoneId;
use jujuberoad::placement::PlacementRecord;
use jujuberoad_node::backends::StoreError;
use jujuberoad_node::backends::VmListing;
use serde::de::DeserializeOwned;

use crate::placer_core::PlacerCore;
use crate::zone_error::ZoneError;
use crate::zone_lease::STORE_TIMEOUT;

/// Reads store records and the list of VMs, and adds the zone and step to each error.
pub(crate) struct ZoneReader {
    core: Arc<PlacerCore>,
    zone: ZoneId,
    config: Option<CachedConfig>,
}

/// The last configuration that was read, with its version in the store.
#[derive(Clone, Debug)]
struct CachedConfig {
    version: StoreVersion,
    config: Arc<FleetConfig>,
}

impl ZoneReader {
    pub(crate) fn new(core: Arc<PlacerCore>, zone: ZoneId) -> Self {
        Self {
            core,
            zone,
            config: None,
        }
    }

    /// Returns the configuration in force, or `None` if there is none.
    ///
    /// It is parsed and checked again only when its version has changed.
    pub(crate) async fn read_config(&mut self) -> Result<Option<Arc<FleetConfig>>, ZoneError> {
        let cached_version = self.config.as_ref().map_or(0, |cached| cached.version);
        let read = self
            .core
            .store
            .watch("config", cached_version, Instant::now() + STORE_TIMEOUT / 4)
            .await;
        let stored = read.map_err(|source| self.store_error("config", source))?;
        let Some(stored) = stored else {
            return Ok(self
                .config
                .as_ref()
                .map(|cached| Arc::clone(&cached.config)));
        };
        let record: ConfigRecord = self.decode("config", &stored.bytes)?;
        let config = FleetConfig::parse(&record.files).map_err(|problems| ZoneError::Record {
            zone: self.zone.clone(),
            key: "config".to_owned(),
            message: format!("invalid configuration: {} problems", problems.len()),
        })?;
        let config = Arc::new(config);
        self.config = Some(CachedConfig {
            version: stored.version,
            config: Arc::clone(&config),
        });
        Ok(Some(config))
    }

    /// Returns the placement record and its version, or `None` if there is none.
    pub(crate) async fn read_record(
        &self,
    ) -> Result<Option<(PlacementRecord, StoreVersion)>, ZoneError> {
        let key = self.record_key();
        let read = self
            .core
            .store
            .get(&key, Instant::now() + STORE_TIMEOUT)
            .await;
        let stored = read.map_err(|source| self.store_error("read", source))?;
        let Some(stored) = stored else {
            return Ok(None);
        };
        let record = self.decode(&key, &stored.bytes)?;
        Ok(Some((record, stored.version)))
    }

    /// Returns the platform's list of VMs, by name.
    pub(crate) async fn read_listings(&self) -> Result<BTreeMap<VmId, VmListing>, ZoneError> {
        let listed = self
            .core
            .directory
            .list(Instant::now() + STORE_TIMEOUT)
            .await;
        let listed = listed.map_err(|source| ZoneError::Directory {
            zone: self.zone.clone(),
            source,
        })?;
        Ok(listed
            .into_iter()
            .map(|listing| (listing.vm.clone(), listing))
            .collect())
    }

    /// Returns the key of the placement record.
    pub(crate) fn record_key(&self) -> String {
        format!("placement/{}", self.zone)
    }

    /// Wraps an error of the store with the zone and the failed step.
    pub(crate) fn store_error(&self, step: &'static str, source: StoreError) -> ZoneError {
        ZoneError::Store {
            zone: self.zone.clone(),
            step,
            source,
        }
    }

    fn decode<T: DeserializeOwned>(&self, key: &str, bytes: &[u8]) -> Result<T, ZoneError> {
        serde_json::from_slice(bytes).map_err(|error| ZoneError::Record {
            zone: self.zone.clone(),
            key: key.to_owned(),
            message: error.to_string(),
        })
    }
}
