//! Kinds of calls in a load.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Which kind of answer a call requests.
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
    /// A chat completion, sent as a stream of tokens.
    Stream,
    /// A chat completion, sent as one response.
    Whole,
    /// A record in a plain service, which must be created at most once.
    Entry,
}
