//! A change of one registry entry, as routers relay it.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::EndpointRecord;
use crate::ids::EndpointId;
use crate::ids::Milliseconds;
use crate::ids::StoreVersion;

/// A registry entry that was written or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryChange {
    /// Version of the change.
    pub version: StoreVersion,
    /// Endpoint whose entry changed.
    pub endpoint: EndpointId,
    /// The entry; `None` if it was removed or cannot be read.
    pub record: Option<EndpointRecord>,
    /// Time for which the endpoint stays cold; processes share no clock.
    cold_ms: Milliseconds,
}

impl RegistryChange {
    /// Creates a change that is relayed at `now`.
    pub fn new(
        version: StoreVersion,
        endpoint: EndpointId,
        record: Option<EndpointRecord>,
        now: Instant,
    ) -> Self {
        let cold_until = record.as_ref().and_then(|record| record.cold_until);
        let cold = cold_until.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        Self {
            version,
            endpoint,
            record,
            cold_ms: cold.as_millis() as Milliseconds,
        }
    }

    /// Returns the entry as received at `now`.
    pub fn into_record(self, now: Instant) -> Option<EndpointRecord> {
        let cold_until = now + Duration::from_millis(self.cold_ms);
        let mut record = self.record?;
        record.cold_until = (self.cold_ms > 0).then_some(cold_until);
        Some(record)
    }
}
