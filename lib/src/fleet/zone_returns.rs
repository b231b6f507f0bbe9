//! Zones that were returned to service and whose endpoints may have become cold meanwhile.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Milliseconds;
use crate::ids::StoreVersion;
use crate::ids::ZoneId;

/// Time by which a heartbeat may be late in the store, and a read of the registry older than its
/// answer.
const HEARTBEAT_MARGIN: Duration = Duration::from_millis(300);

/// Zones that the operator has returned to service, until the registry shows which of their
/// endpoints are cold.
///
/// The operator's keys and the registry are read independently, so a router may know that a zone
/// is back before it has the entries that the zone's endpoints wrote earlier. Until the registry
/// includes them, and what endpoints write with their next heartbeat, all endpoints of the zone
/// have to be taken for cold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneReturns {
    zones: BTreeMap<ZoneId, ZoneReturn>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ZoneReturn {
    /// Store version of the return.
    version: StoreVersion,
    /// Time by which endpoints that were cold at the return have written so.
    written_by: Instant,
}

impl ZoneReturns {
    /// Records that `zone` is back since `version`; its endpoints write their entries at least
    /// once in `heartbeat_ms` if these change.
    pub fn record(
        &mut self,
        zone: ZoneId,
        version: StoreVersion,
        heartbeat_ms: Milliseconds,
        now: Instant,
    ) {
        let written_by = now + Duration::from_millis(heartbeat_ms) + HEARTBEAT_MARGIN;
        let zone_return = ZoneReturn {
            version,
            written_by,
        };
        self.zones.insert(zone, zone_return);
    }

    /// Records that `zone` is out of service again.
    pub fn remove(&mut self, zone: &str) {
        self.zones.remove(zone);
    }

    /// Records that the registry is known as of `version`, as it was at `confirmed_at`.
    pub fn observe_registry(&mut self, version: StoreVersion, confirmed_at: Instant) {
        self.zones.retain(|_, zone_return| {
            version < zone_return.version || confirmed_at < zone_return.written_by
        });
    }

    /// Returns whether endpoints of `zone` may be cold although their known entries do not say so.
    pub fn may_be_cold(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns when endpoints of `zone` may be known to be warm at the earliest; `None` if they
    /// are known already.
    pub fn settles_at(&self, zone: &str) -> Option<Instant> {
        let zone_return = self.zones.get(zone);
        zone_return.map(|zone_return| zone_return.written_by)
    }

    /// Returns when the registry has to be read next for a zone; `None` if it needs not be.
    pub fn next_read_at(&self) -> Option<Instant> {
        let returns = self.zones.values();
        returns.map(|zone_return| zone_return.written_by).min()
    }
}
