//! The registry entry of one endpoint.

use std::net::SocketAddr;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Name of the endpoint; usually changes with each start.
    pub id: EndpointId,
    /// Distinguishes starts of an endpoint under the same name.
    pub incarnation: Incarnation,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: ZoneId,
    /// Fabric domain of its VM; empty for endpoints that form no groups.
    pub domain: DomainId,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: EndpointState,
    /// Time until which its request rate is limited after a start.
    #[serde(skip)]
    pub cold_until: Option<Instant>,
    /// Membership in the group that it has joined.
    pub membership: Option<GroupMembership>,
    /// Model that it has loaded as a group member.
    pub model: Option<ModelId>,
    /// Models whose weights are stored on its host.
    pub staged: Vec<ModelId>,
    /// Number of writes of its registry entry; an unchanged number means an unchanged entry.
    pub entry_writes: u64,
    /// Whether a report made after that write has replaced its membership, model and
    /// staged models.
    pub has_newer_report: bool,
    /// Software version.
    pub version: SmolStr,
}

impl EndpointRecord {
    /// Returns whether its host stores the weights of `model`.
    pub fn has_staged(&self, model: &str) -> bool {
        self.staged.iter().any(|staged| staged == model)
    }

    /// Returns the entry as a report. The registry does not hold the order count and the
    /// relative step time, so these have their defaults.
    pub fn report(&self) -> EngineReport {
        EngineReport {
            incarnation: self.incarnation,
            membership: self.membership.clone(),
            model: self.model.clone(),
            staged: self.staged.clone(),
            ..EngineReport::default()
        }
    }

    /// Returns whether its request rate is still limited at `now`.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}
