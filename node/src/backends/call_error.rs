//! Error of a network call to another machine.

use std::net::SocketAddr;
use std::time::Instant;

use strum::{Display, IntoStaticStr};

/// Step at which a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallStep {
    /// Opening the connection.
    Connect,
    /// Sending the request and waiting for the response head.
    Send,
    /// Reading the response body.
    Read,
    /// Interpreting the response: its status or its contents.
    Decode,
    /// Keeping the response within its limits; the peer sends bytes that are no response.
    Limit,
}

/// A failed call: the step, the peer and whether the request may have arrived.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} to {peer} failed: {message}")]
pub struct CallError {
    /// Step at which the call failed.
    pub step: CallStep,
    /// Address that was called.
    pub peer: SocketAddr,
    /// Whether any part of the request may have been sent.
    pub was_sent: bool,
    /// Time at which the connection that failed had been opened, if there was one.
    pub connected_at: Option<Instant>,
    /// Cause of the failure.
    pub message: String,
}

impl CallError {
    /// Creates an error for a request of which no byte was sent.
    pub fn unsent(step: CallStep, peer: SocketAddr, message: impl ToString) -> Self {
        Self {
            step,
            peer,
            was_sent: false,
            connected_at: None,
            message: message.to_string(),
        }
    }

    /// Creates an error for a request that the peer may have received.
    pub fn sent(step: CallStep, peer: SocketAddr, message: impl ToString) -> Self {
        Self {
            step,
            peer,
            was_sent: true,
            connected_at: None,
            message: message.to_string(),
        }
    }

    /// Adds the time at which the connection that failed had been opened.
    #[must_use]
    pub fn on_connection_of(mut self, connected_at: Instant) -> Self {
        self.connected_at = Some(connected_at);
        self
    }
}
