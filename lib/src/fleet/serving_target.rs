//! One place to which requests can be sent.

use std::net::SocketAddr;
use std::time::Instant;

use super::GroupKey;
use crate::ids::EndpointId;
use crate::ids::ZoneId;

/// A plain endpoint, or the head of a group that serves.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingTarget {
    /// The endpoint that takes the request.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its group, where it heads one.
    pub group: Option<GroupKey>,
    /// All members of the group with their addresses; empty for plain endpoints.
    pub members: Vec<(EndpointId, SocketAddr)>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Moment until which it is cold.
    pub cold_until: Option<Instant>,
    /// Requests a second that it bears while cold.
    pub cold_requests_per_second: f64,
    /// Time for which it reads one prompt token, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Time between two events with no other request, in milliseconds.
    pub event_interval_ms: f64,
    /// Time that each running request adds to that, in milliseconds.
    pub event_interval_ms_per_request: f64,
}
