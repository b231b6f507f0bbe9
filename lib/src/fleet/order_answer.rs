//! How an engine answered an order.

use strum::Display;

/// What is known of an order once it has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum OrderAnswer {
    /// It has begun.
    Accepted,
    /// What it asks for already holds.
    Done,
    /// It does not fit the state of the engine.
    Conflict,
    /// Another holder of the lease has given orders since.
    Fenced,
    /// Another endpoint has the address.
    OtherEndpoint,
    /// The engine does not know such an order.
    Unknown,
    /// No answer came; the order may still be carried out.
    Unanswered,
}
