//! Performance profile of the engines of a service.

use super::ModelProfile;

/// Capacity and timing of the engines of a service that serves models in groups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineProfile {
    /// Number of requests that a group processes concurrently.
    pub slots: u32,
    /// KV cache capacity of a group, in tokens.
    pub kv_tokens: u64,
    /// Number of decode steps per event of a stream.
    pub steps_per_event: u32,
    /// Time of one decode step, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a step per running request, in milliseconds.
    pub step_ms_per_request: f64,
    /// Prefill throughput, in prompt tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Number of loads from the weight store that may start per second.
    pub loads_per_second: f64,
    /// Number of concurrent loads that run at full speed.
    pub parallel_loads: usize,
    /// Models that the engines can serve.
    pub models: Vec<ModelProfile>,
}
