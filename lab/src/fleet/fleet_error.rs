//! Why a fleet could not be brought up.

/// A step at which bringing up a fleet failed.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A file, socket or process.
    #[error("{step}: {source}")]
    Io {
        /// What was being done.
        step: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The configuration was refused.
    #[error(transparent)]
    Command(#[from] jujube::CommandError),
    /// The command's words are off.
    #[error("{0}")]
    Usage(String),
    /// The fleet did not become ready.
    #[error("the fleet is not ready: {0}")]
    NotReady(String),
}

impl FleetError {
    /// Wraps an input or output error with its step.
    pub fn io(step: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let step = step.into();
        move |source| Self::Io { step, source }
    }
}
