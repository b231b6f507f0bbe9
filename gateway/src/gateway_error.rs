//! Why the gateway could not start.

use std::net::SocketAddr;

/// A step of the start that failed.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An address could not be listened on.
    #[error("cannot listen on {address} for {purpose}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        purpose: &'static str,
    },
    /// Signals could not be received.
    #[error("cannot receive signals")]
    Signals,
}
