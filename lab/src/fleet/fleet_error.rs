//! Errors of starting a fleet and of the lab's commands.

/// Error of starting a fleet or of a command.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// An operation on a file, socket or process failed.
    #[error("{step}: {source}")]
    Io {
        /// The operation that failed.
        step: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// A call of the `jujube` client failed.
    #[error(transparent)]
    Command(#[from] jujube::CommandError),
    /// The arguments or input of a command are invalid.
    #[error("{0}")]
    Usage(String),
    /// The fleet or a load did not reach the expected state.
    #[error("the fleet is not ready: {0}")]
    NotReady(String),
}

impl FleetError {
    /// Returns a function that adds the failed operation to an I/O error.
    pub fn io(step: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let step = step.into();
        move |source| Self::Io { step, source }
    }
}
