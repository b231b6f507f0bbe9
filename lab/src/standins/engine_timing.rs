//! Latencies of a stand-in engine.

/// Latencies of an engine, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTiming {
    /// Time to load a model.
    pub load_ms: u64,
    /// Time from loaded to warm.
    pub warm_ms: u64,
    /// Time to the first token when the prompt's prefix is not cached.
    pub prefill_ms: u64,
    /// Time between two tokens at no load.
    pub token_ms: u64,
}
