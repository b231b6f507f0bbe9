//! Access to the configuration in the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::config::ConfigEdit;
use jujuberoad::config::ConfigRecord;
use jujuberoad::ids::StoreVersion;
use jujuberoad::membership::RouterList;
use jujuberoad::placement::PlacementRecord;
use jujuberoad_node::backends::HttpPlatformStore;
use jujuberoad_node::backends::PlatformStore;
use jujuberoad_node::backends::StoreError;
use jujuberoad_node::http::HttpPool;
use serde::de::DeserializeOwned;

use crate::CommandError;

/// Time within which the store must answer.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Reads after which a write without an answer is reported as in doubt.
const CONFIRM_READS: usize = 5;
/// Interval between these reads.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Reads the configuration and edits it by compare-and-swap.
pub struct ConfigStore {
    store: Arc<dyn PlatformStore>,
    pool: Arc<HttpPool>,
}

impl ConfigStore {
    /// Creates a client of the platform's store at `address`.
    pub fn at(address: SocketAddr) -> Self {
        let pool = HttpPool::new();
        let store = Arc::new(HttpPlatformStore::new(Arc::clone(&pool), address));
        Self { store, pool }
    }

    /// Returns the connection pool, which is also used for calls to routers.
    pub(crate) fn pool(&self) -> &Arc<HttpPool> {
        &self.pool
    }

    /// Returns the configuration and the version of its record.
    pub async fn read(&self) -> Result<(ConfigRecord, StoreVersion), CommandError> {
        let found = self.read_record("config").await?;
        Ok(found.unwrap_or_default())
    }

    /// Returns the list of routers.
    pub async fn routers(&self) -> Result<RouterList, CommandError> {
        let found = self.read_record("routers").await?;
        Ok(found.map(|(list, _)| list).unwrap_or_default())
    }

    /// Returns the placement record of an availability zone, or `None` if there is none.
    pub async fn placement(&self, zone: &str) -> Result<Option<PlacementRecord>, CommandError> {
        let found = self.read_record(&format!("placement/{zone}")).await?;
        Ok(found.map(|(record, _)| record))
    }

    /// Applies `edit` to the configuration in force; returns the accepted record.
    pub async fn edit(&self, edit: &ConfigEdit) -> Result<ConfigRecord, CommandError> {
        loop {
            let (current, version) = self.read().await?;
            let next = edit.apply(&current, fastrand::u64(..))?;
            let value = serde_json::to_vec(&next).unwrap_or_default().into();
            let deadline = Instant::now() + STORE_TIMEOUT;
            match self
                .store
                .put("config", version, value, None, deadline)
                .await
            {
                Ok(_) => return Ok(next),
                // Another writer changed the record first; retry the edit on the new record.
                Err(StoreError::Conflict { .. }) => {}
                Err(problem) if problem.is_in_doubt() => return self.confirm_write(next).await,
                Err(source) => {
                    return Err(CommandError::Store {
                        step: "write",
                        source,
                    });
                }
            }
        }
    }

    /// Reads the configuration, at most `CONFIRM_READS` times, until it shows that `next` was
    /// accepted.
    async fn confirm_write(&self, next: ConfigRecord) -> Result<ConfigRecord, CommandError> {
        for _ in 0..CONFIRM_READS {
            if let Ok((found, _)) = self.read().await
                && found.nonce == next.nonce
            {
                return Ok(next);
            }
            smol::Timer::after(CONFIRM_INTERVAL).await;
        }
        Err(CommandError::InDoubt {
            revision: next.revision,
        })
    }

    async fn read_record<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(T, StoreVersion)>, CommandError> {
        let read = self.store.get(key, Instant::now() + STORE_TIMEOUT).await;
        let stored = read.map_err(|source| CommandError::Store {
            step: "read",
            source,
        })?;
        let Some(stored) = stored else {
            return Ok(None);
        };
        let record =
            serde_json::from_slice(&stored.bytes).map_err(|error| CommandError::Record {
                key: key.to_owned(),
                message: error.to_string(),
            })?;
        Ok(Some((record, stored.version)))
    }
}
