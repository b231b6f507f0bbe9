//! Speed of a stand-in engine.

/// How long engines take, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTiming {
    /// To load a model.
    pub load_ms: u64,
    /// From loaded to warm.
    pub warm_ms: u64,
    /// To the first token of a prompt whose prefix is not cached.
    pub prefill_ms: u64,
    /// Between two tokens of a group that serves one request.
    pub token_ms: u64,
}
