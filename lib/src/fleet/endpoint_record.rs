//! What the registry says of one endpoint.

use std::net::SocketAddr;
use std::time::Instant;

use smol_str::SmolStr;

use super::EndpointState;
use super::EngineReport;
use super::GroupMembership;
use crate::ids::DomainId;
use crate::ids::EndpointId;
use crate::ids::Incarnation;
use crate::ids::ModelId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;

/// One registered endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Name of the endpoint, mostly new with each start.
    pub id: EndpointId,
    /// Number that differs between two starts under one name.
    pub incarnation: Incarnation,
    /// Service to which it belongs.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone in which it stands.
    pub zone: ZoneId,
    /// Fabric domain in which it stands; empty for plain endpoints.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes part.
    pub state: EndpointState,
    /// Moment until which it is cold.
    pub cold_until: Option<Instant>,
    /// Group that it has joined.
    pub membership: Option<GroupMembership>,
    /// Model that it holds as a member.
    pub model: Option<ModelId>,
    /// Models whose weights lie on its host.
    pub staged: Vec<ModelId>,
    /// Writes of its entry in the registry; the same number means the same entry.
    pub entry_writes: u64,
    /// Whether its group was learned from the endpoint itself since that write.
    pub is_reported: bool,
    /// Version of its software.
    pub version: SmolStr,
}

impl EndpointRecord {
    /// Tells whether its host holds the weights of `model`.
    pub fn has_staged(&self, model: &str) -> bool {
        self.staged.iter().any(|staged| staged == model)
    }

    /// Returns what it would report of itself; the count of orders and its
    /// pace are not known.
    pub fn report(&self) -> EngineReport {
        EngineReport {
            incarnation: self.incarnation,
            membership: self.membership.clone(),
            model: self.model.clone(),
            staged: self.staged.clone(),
            ..EngineReport::default()
        }
    }

    /// Tells whether it is cold at `now`.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}
