//! One group or plain endpoint as routers see it.

use std::net::SocketAddr;

use super::ClosedReason;
use super::TargetKind;
use crate::ids::Generation;
use crate::ids::TargetId;
use crate::ids::ZoneId;
use crate::placement::GroupRecord;

/// Something that takes requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the group or endpoint.
    pub target: TargetId,
    /// What it serves.
    pub kind: TargetKind,
    /// Availability zone in which it stands.
    pub zone: ZoneId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Generation of the group; 0 for a plain endpoint.
    pub generation: Generation,
    /// Requests that it bears at a time when warm.
    pub slots: u32,
    /// Requests that it bears at a time in cold start.
    pub cold_slots: u32,
    /// Placement of the group; nothing for a plain endpoint.
    pub group: Option<GroupRecord>,
    /// Why it takes no new work, if the records say so.
    pub closed: Option<ClosedReason>,
}
