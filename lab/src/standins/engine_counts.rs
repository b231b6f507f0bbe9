//! What a stand-in engine has seen.

use serde::Serialize;

/// Counters of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounts {
    /// Requests in progress.
    pub in_flight: u64,
    /// Requests begun.
    pub begun: u64,
    /// Most requests in progress in cold start.
    pub cold_peak: u64,
    /// Requests refused.
    pub refused: u64,
    /// Prompts whose prefix was cached.
    pub prefix_hits: u64,
}
