//! Error of a network call to another machine.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use jujuberoad::fleet::SilenceKind;
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
    /// Whether the peer refused the connection, so that no process listens there.
    pub was_refused: bool,
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
            was_refused: false,
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
            was_refused: false,
            connected_at: None,
            message: message.to_string(),
        }
    }

    /// Creates an error of the operating system for a connection that was not opened.
    pub fn not_connected(peer: SocketAddr, error: &io::Error) -> Self {
        let was_refused = matches!(
            error.kind(),
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
        );
        Self {
            was_refused,
            ..Self::unsent(CallStep::Connect, peer, error)
        }
    }

    /// Returns what a call without an answer says of its peer.
    pub fn silence_kind(&self) -> SilenceKind {
        match self.step {
            CallStep::Connect if self.was_refused => SilenceKind::Refused,
            CallStep::Connect => SilenceKind::NotAccepted,
            _ => SilenceKind::Unanswered,
        }
    }

    /// Adds the time at which the connection that failed had been opened.
    #[must_use]
    pub fn on_connection_of(mut self, connected_at: Instant) -> Self {
        self.connected_at = Some(connected_at);
        self
    }
}
