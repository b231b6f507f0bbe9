//! What the era of an answer says about it.

use strum::Display;

/// How the era of an answer compares with the newest one known.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum EraVerdict {
    /// The answer belongs to the newest era.
    Current,
    /// The answer begins a new era: the store was restored from a copy.
    Begun,
    /// The answer was given before the store was restored and must not be used.
    Outdated,
}
