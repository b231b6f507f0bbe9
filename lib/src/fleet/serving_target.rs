//! A routing target.

use std::net::SocketAddr;
use std::time::Instant;

use super::GroupKey;
use crate::ids::EndpointId;
use crate::ids::ZoneId;

/// A target for requests: an endpoint without groups, or the head of a serving group.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingTarget {
    /// Endpoint that receives the request.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: ZoneId,
    /// Group that it is the head of, if any.
    pub group: Option<GroupKey>,
    /// Members of the group with their addresses; empty without a group.
    pub members: Vec<(EndpointId, SocketAddr)>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Time until which its request rate is limited after a start.
    pub cold_until: Option<Instant>,
    /// Limit on requests per second while cold, over all routers.
    pub cold_requests_per_second: f64,
    /// Prefill time per prompt token, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Time between two events of a stream when no other request runs, in milliseconds.
    pub event_interval_ms: f64,
    /// Time that each running request adds to the event interval, in milliseconds.
    pub event_interval_ms_per_request: f64,
}
