//! An entry of the agreed list of routers.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::RouterId;
use crate::ids::ZoneId;

/// Location and addresses of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterEntry {
    /// Name of the router.
    pub router: RouterId,
    /// Random number that changes each time the process starts.
    pub incarnation: Incarnation,
    /// Availability zone of the router.
    pub zone: ZoneId,
    /// UDP address of the peer protocol.
    pub peer: SocketAddr,
    /// TCP address for callers.
    pub http: SocketAddr,
}
