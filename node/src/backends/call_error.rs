//! Failure of a call to another machine.

use std::net::SocketAddr;

use strum::{Display, IntoStaticStr};

/// Step of a call at which it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum CallStep {
    /// Opening a connection.
    Connect,
    /// Sending the request and waiting for the head of the answer.
    Send,
    /// Reading the body of the answer.
    Read,
    /// Making sense of the answer.
    Decode,
}

/// A call that failed, with its step and peer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{step} to {peer} failed: {message}")]
pub struct CallError {
    /// Step at which it failed.
    pub step: CallStep,
    /// Machine that was called.
    pub peer: SocketAddr,
    /// Whether any byte of the request may have left.
    pub was_sent: bool,
    /// What went wrong.
    pub message: String,
}

impl CallError {
    /// Describes a failure before any byte of the request left.
    pub fn unsent(step: CallStep, peer: SocketAddr, message: impl ToString) -> Self {
        Self {
            step,
            peer,
            was_sent: false,
            message: message.to_string(),
        }
    }

    /// Describes a failure after which the request may have arrived.
    pub fn sent(step: CallStep, peer: SocketAddr, message: impl ToString) -> Self {
        Self {
            step,
            peer,
            was_sent: true,
            message: message.to_string(),
        }
    }
}
