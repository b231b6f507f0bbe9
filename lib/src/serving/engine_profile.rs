//! How the engines of a service work.

use super::ModelProfile;

/// Figures of a service whose endpoints hold models in groups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineProfile {
    /// Requests that a group runs at once.
    pub slots: u32,
    /// Tokens of KV cache that a group holds.
    pub kv_tokens: u64,
    /// Token steps between two events of a stream.
    pub steps_per_event: u32,
    /// Time of one token step, in milliseconds.
    pub step_ms: f64,
    /// Further time of a step for each running request, in milliseconds.
    pub step_ms_per_request: f64,
    /// Prompt tokens that are read in a second.
    pub prefill_tokens_per_second: f64,
    /// Loads from the weight store that may start in a second.
    pub loads_per_second: f64,
    /// Loads that run at full speed side by side.
    pub parallel_loads: usize,
    /// Models that the engines may hold.
    pub models: Vec<ModelProfile>,
}
