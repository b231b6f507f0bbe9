//! How an endpoint fails to respond.

use strum::Display;

/// What a failed call says about the endpoint that was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum SilenceKind {
    /// Its VM refuses connections: no process listens there.
    Refused,
    /// Nothing answers the attempt to open a connection: the VM is gone or cut off.
    NotAccepted,
    /// Its VM accepts connections, but no answer comes: the process may pause.
    Unanswered,
}
