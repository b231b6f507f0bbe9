//! How a run ended.

use strum::Display;

/// How a run of a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RunEnd {
    /// The answer came whole.
    Complete,
    /// The endpoint's connection was closed or reset before the end of the answer.
    ConnectionLost,
    /// Anything else: refused, cancelled, timed out, or never sent.
    Other,
}
