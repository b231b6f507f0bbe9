//! The limit on the rate of requests that a response names.

use jujuberoad::ids::RequestRate;

/// Rate of requests that an endpoint takes from all routers together, by one of its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedLimit {
    /// The response names no limit.
    #[default]
    None,
    /// The response names this limit.
    Rate(RequestRate),
    /// The response names a limit that is no rate.
    Invalid,
}
