//! Kinds of log lines.

use strum::Display;
use strum::EnumCount;
use strum::EnumIter;

/// Kind of a decision, written to the field `kind` of its line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumCount, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum LogKind {
    /// The process has started.
    Start,
    /// The process begins to stop or has stopped.
    Stop,
    /// The settings were reloaded.
    Reload,
    /// A service that the process depends on became unavailable or available again.
    Dependency,
    /// A configuration was applied or rejected.
    Config,
    /// A zone was taken out of service or back into it.
    Evacuation,
    /// An endpoint was added, changed or removed.
    Endpoint,
    /// A value that cannot be decoded was ignored.
    Damaged,
    /// A group of engines was opened, closed or lost.
    Group,
    /// A group stopped responding, was cleared of the suspicion or confirmed as lost.
    Suspicion,
    /// The lease of the placer was acquired or lost.
    Lease,
    /// An order was sent to an engine.
    Order,
    /// The state of the process and its work in progress, once a second.
    State,
    /// A request was completed by an endpoint.
    Answered,
    /// A request ended without a complete response of an endpoint.
    Failed,
    /// A request was refused before it was sent to an endpoint.
    Refused,
    /// A request was retried at another endpoint.
    Retry,
    /// A stream was resumed at another endpoint.
    Resume,
    /// A request was sent through a peer.
    Relay,
    /// A run lost its connection to an endpoint before it counted as survived.
    Crash,
    /// A part of a prompt began or ceased to be refused.
    Quarantine,
    /// An endpoint asked this router for a rest.
    Rest,
    /// An endpoint named a limit on the rate of its requests, changed it or named none again.
    Limit,
    /// An endpoint became cold, or a request was sent to a cold one.
    Cold,
    /// This router has chosen or lost the hub that sends it the digest of the fleet.
    Hub,
    /// A model became short of slots, or a group is converted for it.
    Demand,
    /// The concurrency limit of a target was cut, or starts anew.
    Pace,
}

impl LogKind {
    /// Returns the maximum number of lines of this kind per second. Failures have the
    /// highest limit, so that they are not suppressed before other kinds.
    pub fn max_lines_per_second(self) -> u32 {
        match self {
            Self::Answered | Self::Pace => 20,
            Self::Endpoint | Self::Damaged | Self::Order => 50,
            _ => 200,
        }
    }
}
