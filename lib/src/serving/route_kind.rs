//! Retry semantics of a route.

use strum::Display;
use strum::EnumString;

/// Whether the requests of a route may be sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// The response is an event stream; retries depend on whether streams are resumable.
    Streaming,
    /// A request may be executed more than once.
    Idempotent,
    /// A request must be executed at most once.
    #[default]
    NonIdempotent,
}
