//! Request counters of a stand-in engine.

use serde::Serialize;

/// Counters of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounts {
    /// Requests in progress.
    pub in_flight: u64,
    /// Requests accepted since the last restart.
    pub begun: u64,
    /// Highest number of requests in progress while the engine was cold.
    pub cold_peak: u64,
    /// Requests refused since the last restart.
    pub refused: u64,
    /// Requests whose prompt prefix was in the cache.
    pub prefix_hits: u64,
}
