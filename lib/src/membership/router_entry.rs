//! One router of the agreed list.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::RouterId;
use crate::ids::ZoneId;

/// Where a router stands and how its peers reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterEntry {
    /// Name of the router.
    pub router: RouterId,
    /// Drawn anew each time the process starts.
    pub incarnation: Incarnation,
    /// Availability zone in which the router stands.
    pub zone: ZoneId,
    /// UDP address of the peer protocol.
    pub peer: SocketAddr,
    /// TCP address for callers.
    pub http: SocketAddr,
}
