//! Result of an order sent to an engine.

use strum::Display;

/// Known result of an order that has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum OrderAnswer {
    /// The engine has started to execute it.
    Accepted,
    /// The engine is already in the requested state.
    Done,
    /// The order is not applicable in the current state of the engine.
    Conflict,
    /// The engine has seen a higher fence, from a later lease holder.
    Fenced,
    /// A different endpoint now uses the address.
    OtherEndpoint,
    /// The engine does not support the order.
    Unknown,
    /// No answer arrived; the order may still be executed.
    Unanswered,
}
