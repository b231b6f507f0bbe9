//! What may be repeated on a route.

use strum::Display;
use strum::EnumString;

/// How the requests of a route behave when they are sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// Answered by a stream of events.
    Streaming,
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    #[default]
    NonIdempotent,
}
