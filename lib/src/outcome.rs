//! The three ways in which a request can end.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// What a caller is told about the fate of its request.
///
/// The name of each variant is the value of the `jujube-outcome` header.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An endpoint answered and the answer was passed on.
    Answered,
    /// No endpoint ran the request, and none will.
    NotRun,
    /// An endpoint may have run the request; it will not be run again.
    Unknown,
}
