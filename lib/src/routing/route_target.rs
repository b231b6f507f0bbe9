//! A group or plain endpoint as an entry of the routing table.

use std::net::SocketAddr;

use super::ClosedReason;
use super::TargetKind;
use crate::ids::Generation;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::placement::GroupRecord;

/// A group or endpoint to which requests can be routed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the group or endpoint.
    pub target: TargetId,
    /// What it serves.
    pub kind: TargetKind,
    /// Availability zone in which it runs.
    pub zone: ZoneId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Generation of the group; 0 for a plain endpoint.
    pub generation: Generation,
    /// Maximum number of concurrent requests when warm.
    pub slots: u32,
    /// Maximum number of concurrent requests during cold start.
    pub cold_slots: u32,
    /// Placement of the group; `None` for a plain endpoint.
    pub group: Option<GroupRecord>,
    /// Why it accepts no new requests, if the configuration or the placement closes it.
    pub closed: Option<ClosedReason>,
}
