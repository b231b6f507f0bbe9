//! One route.

use smol_str::SmolStr;

use super::RouteKind;
use super::ServiceShare;
use crate::ids::Milliseconds;

/// Which requests a route takes and how they are served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: SmolStr,
    /// Host that requests name, in lower case and without a port.
    pub host: SmolStr,
    /// Start of the paths that it takes; begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept.
    pub timeout_ms: Milliseconds,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub objective_ms: Milliseconds,
    /// Longest pause between two events that is still on time.
    pub max_event_gap_ms: Milliseconds,
    /// Rank of its requests; 0 is the most urgent.
    pub priority: u32,
    /// Services that may run its requests.
    pub shares: Vec<ServiceShare>,
    /// Endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether it takes requests without a key.
    pub is_public: bool,
    /// Whether a stream may go on at another endpoint.
    pub is_resumable: bool,
}

impl RouteSpec {
    /// Tells whether a request that may have run may be sent once more.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Streaming => self.is_resumable,
            RouteKind::NonIdempotent => false,
        }
    }

    /// Picks a service by weight; `draw` lies in 0..1.
    pub fn pick_service(&self, random: f64) -> Option<&ServiceShare> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = random * total;
        for share in &self.shares {
            if share.weight <= 0.0 {
                continue;
            }
            left -= share.weight;
            if left < 0.0 {
                return Some(share);
            }
        }
        self.shares.iter().rev().find(|share| share.weight > 0.0)
    }
}
