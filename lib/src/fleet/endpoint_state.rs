//! Whether an endpoint accepts requests.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

/// State that an endpoint declares in its registry entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Is shutting down and gets no new requests.
    Draining,
}
