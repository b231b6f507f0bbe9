//! Whether an endpoint takes part.

use strum::Display;

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It is about to leave.
    Draining,
}
