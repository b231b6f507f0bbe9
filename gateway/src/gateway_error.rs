//! Errors that prevent the gateway from starting.

use std::net::SocketAddr;

/// A failed startup step.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// A socket could not be bound.
    #[error("cannot listen on {address} for {purpose}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the listener serves.
        purpose: &'static str,
    },
    /// The signal handlers could not be installed.
    #[error("cannot receive signals")]
    Signals,
}
