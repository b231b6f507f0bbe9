//! What a log line is about.

use strum::Display;
use strum::EnumCount;
use strum::EnumIter;

/// Kind of a decision, as the field `kind` of its line names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumCount, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum LogKind {
    /// The process has started.
    Start,
    /// The process is about to stop, or has.
    Stop,
    /// Settings were read again.
    Reload,
    /// Something that the process depends on was lost or is back.
    Dependency,
    /// A configuration came into force or was refused.
    Config,
    /// A zone was taken out of service or back.
    Evacuation,
    /// An endpoint came, changed or went.
    Endpoint,
    /// A value that cannot be understood was passed over.
    Damaged,
    /// A group was opened, closed or lost.
    Group,
    /// A group fell silent, was cleared or confirmed as lost.
    Suspicion,
    /// The lease of the placer was won or lost.
    Lease,
    /// An order was given to an engine.
    Order,
    /// What a process believes and has under way, once a second.
    State,
    /// A request was answered.
    Answered,
    /// A request ended without an answer of an endpoint.
    Failed,
    /// A request was refused before it was sent.
    Refused,
    /// A request was sent to another endpoint.
    Retry,
    /// A stream went on at another endpoint.
    Resume,
}

impl LogKind {
    /// Lines of this kind that are written in a second; failures are never the
    /// ones left out before others.
    pub fn max_lines_per_second(self) -> u32 {
        match self {
            Self::Answered => 20,
            Self::Endpoint | Self::Damaged | Self::Order => 50,
            _ => 200,
        }
    }
}
