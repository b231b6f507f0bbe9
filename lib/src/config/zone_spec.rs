//! Configuration of an availability zone.

use crate::ids::ZoneId;

/// A `[zone NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSpec {
    /// Name of the availability zone.
    pub zone: ZoneId,
    /// Region that the zone belongs to.
    pub region: smol_str::SmolStr,
    /// Whether operators have taken the zone out of service.
    pub out: bool,
}
