//! Kinds of calls in a load.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// What a call asks for.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A stream of tokens.
    Stream,
    /// A whole answer of a model.
    Whole,
    /// A record in a plain service that must be made at most once.
    Entry,
}
