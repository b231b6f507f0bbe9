//! Specification of a route.

use smol_str::SmolStr;

use super::RouteKind;
use super::ServiceShare;
use crate::ids::Milliseconds;

/// Which requests a route matches and how they are served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: SmolStr,
    /// Host that requests must name, in lower case and without a port.
    pub host: SmolStr,
    /// Path prefix that it matches; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Retry semantics of its requests.
    pub kind: RouteKind,
    /// Time limit of a request over all attempts.
    pub timeout_ms: Milliseconds,
    /// Latency objective for the response or the first event of a stream.
    pub objective_ms: Milliseconds,
    /// Objective for the longest gap between two events of a stream.
    pub max_event_gap_ms: Milliseconds,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u32,
    /// Services that its requests are distributed to.
    pub shares: Vec<ServiceShare>,
    /// Maximum number of attempts for one request, each at one endpoint.
    pub max_attempts: u32,
    /// Whether it accepts requests without an API key.
    pub is_public: bool,
    /// Whether a stream may be resumed at another endpoint.
    pub is_resumable: bool,
}

impl RouteSpec {
    /// Returns whether a request may be sent again after it may have been executed.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Streaming => self.is_resumable,
            RouteKind::NonIdempotent => false,
        }
    }

    /// Picks a service by weight; `random` is a number in `0..1`.
    pub fn pick_service(&self, random: f64) -> Option<&ServiceShare> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = random * total;
        for share in &self.shares {
            if share.weight <= 0.0 {
                continue;
            }
            remaining -= share.weight;
            if remaining < 0.0 {
                return Some(share);
            }
        }
        self.shares.iter().rev().find(|share| share.weight > 0.0)
    }
}
