//! Rates that an endpoint takes.

use crate::ids::RequestRate;

/// Rates of requests that an endpoint takes from all routers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimits {
    /// Requests per second while the endpoint is cold; `None` if it is warm.
    pub cold_per_second: Option<f64>,
    /// Limit that the endpoint has named.
    pub named: Option<RequestRate>,
}
